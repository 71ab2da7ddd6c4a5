//! `anvilgw status`: shows the state of the fleet as one daemon sees it.

use crate::admin::AdminClient;
use crate::error::{CliError, EXIT_CODES};
use crate::options::{ADMIN_HELP, Options};
use crate::render::{print, print_json, report};
use lexopt::Parser;
use serde_json::Value;
use std::process::ExitCode;

pub(super) fn run(parser: &mut Parser) -> Result<ExitCode, CliError> {
    let options = Options::parse(parser, &["admin", "key-file", "json"])?;
    if options.help {
        print(&format!(
            "Shows the state of the fleet as one daemon sees it\n\n\
             Usage: anvilgw status\n\nOptions:\n{ADMIN_HELP}\n{EXIT_CODES}"
        ));
        return Ok(ExitCode::SUCCESS);
    }
    if !options.positionals.is_empty() {
        return Err(CliError::Usage(
            "`status` takes no arguments; see --help".to_owned(),
        ));
    }
    let status: Value = AdminClient::new(&options)?.get("/admin/status")?;
    if options.json {
        print_json(&status);
    } else {
        print(&report(&status));
    }
    Ok(ExitCode::SUCCESS)
}
