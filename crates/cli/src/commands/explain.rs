//! `anvilgw explain`: what happened to one request.

use crate::admin::Admin;
use crate::error::{CliError, EXIT_CODES};
use crate::options::{ADMIN_HELP, Options};
use crate::render::{print, print_json, report};
use anvilgw_core::RequestId;
use lexopt::Parser;
use serde_json::Value;
use std::process::ExitCode;

pub(super) fn run(parser: &mut Parser) -> Result<ExitCode, CliError> {
    let options = Options::parse(parser, &["admin", "key-file", "json"])?;
    if options.help {
        print(&format!(
            "Shows what happened to one request\n\n\
             Usage: anvilgw explain REQUEST_ID\n\n\
             REQUEST_ID is the value of the answer's `x-request-id` header. Only the daemon that\n\
             handled the request has its events; ask that daemon's admin address.\n\n\
             Options:\n{ADMIN_HELP}\n{EXIT_CODES}"
        ));
        return Ok(ExitCode::SUCCESS);
    }
    let [id] = options.words.as_slice() else {
        return Err(CliError::Usage(
            "expected `explain REQUEST_ID`; see --help".to_owned(),
        ));
    };
    let id: RequestId = id
        .parse()
        .map_err(|_| CliError::Usage(format!("{id:?} is not a request id (hexadecimal digits)")))?;
    let events: Value = Admin::new(&options)?.get(&format!("/admin/explain/{id}"))?;
    if options.json {
        print_json(&events);
    } else {
        print(&report(&events));
    }
    Ok(ExitCode::SUCCESS)
}
