//! What `domain` and `instance` have in common.

use crate::admin::Admin;
use crate::error::{CliError, EXIT_CODES};
use crate::options::{ADMIN_HELP, CHANGE_HELP, Options};
use crate::render::print;
use crate::submit::submit;
use anvilgw_config::ConfigChange;
use lexopt::Parser;
use std::process::ExitCode;

/// Something that is in or out of service.
pub(super) struct Switch {
    pub(super) name: &'static str,
    pub(super) what: &'static str,
    pub(super) out: fn(String) -> ConfigChange,
    pub(super) back: fn(String) -> ConfigChange,
}

pub(super) fn run(parser: &mut Parser, switch: &Switch) -> Result<ExitCode, CliError> {
    let allowed = [
        "admin",
        "key-file",
        "json",
        "expect",
        "record-id",
        "wait",
        "wait-s",
    ];
    let options = Options::parse(parser, &allowed)?;
    let (name, what) = (switch.name, switch.what);
    if options.help {
        print(&format!(
            "Takes a {what} out of service or returns it\n\n\
             Usage: anvilgw {name} out NAME [--wait]\n       anvilgw {name} in NAME [--wait]\n\n\
             Out of service: no new work; streams finish or resume elsewhere. Without --expect the\n\
             change applies to the version that is current when the command starts.\n\n\
             Options:\n{CHANGE_HELP}{ADMIN_HELP}\n{EXIT_CODES}"
        ));
        return Ok(ExitCode::SUCCESS);
    }
    let words: Vec<&str> = options.words.iter().map(String::as_str).collect();
    let change = match words.as_slice() {
        ["out", target] => (switch.out)((*target).to_owned()),
        ["in", target] => (switch.back)((*target).to_owned()),
        _ => {
            let detail = format!("expected `{name} out NAME` or `{name} in NAME`; see --help");
            return Err(CliError::Usage(detail));
        }
    };
    change
        .check()
        .map_err(|faults| CliError::Faulty(words[1].to_owned(), faults))?;
    let admin = Admin::new(&options)?;
    let expected_version = match options.expect {
        Some(version) => version,
        None => admin.config()?.state.version,
    };
    submit(&admin, &options, expected_version, change)
}
