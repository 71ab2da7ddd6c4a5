//! `anvilgw epoch`: allows the next epoch without a majority of the members of the last one.

use crate::admin::AdminClient;
use crate::error::{CliError, EXIT_CODES};
use crate::options::{ADMIN_HELP, Options};
use crate::render::{print, print_json};
use lexopt::Parser;
use std::process::ExitCode;

const HELP: &str = "\
Allows the next epoch although most members of the last one are gone

Usage: anvilgw epoch force --admin ADDR [--admin ADDR ...]

Normally an epoch needs a majority of the last one to be alive or to have left, because members that
do not answer may run on the other side of a partition and use their shares. Use this only if you know
that the missing daemons do not run. Name the admin addresses of all daemons: the one that holds the
duty takes the command; `anvilgw status` shows which one that is.

Options:
";

pub(super) fn run(parser: &mut Parser) -> Result<ExitCode, CliError> {
    let options = Options::parse(parser, &["admin", "key-file", "json"])?;
    if options.help {
        print(&format!("{HELP}{ADMIN_HELP}\n{EXIT_CODES}"));
        return Ok(ExitCode::SUCCESS);
    }
    if options.positionals != ["force"] {
        let detail = "expected `epoch force`; see --help".to_owned();
        return Err(CliError::Usage(detail));
    }
    let forced = AdminClient::new(&options)?.force_epoch()?;
    if !forced {
        let detail = "none of the daemons at the admin addresses holds the duty of epochs";
        return Err(CliError::Failed(detail.to_owned()));
    }
    if options.json {
        print_json(&serde_json::json!({ "forced": true }));
    } else {
        print("the next epoch needs no majority of the last one\n");
    }
    Ok(ExitCode::SUCCESS)
}
