//! Implementation of `domain` and `instance`, which take something out of service and return it.

use crate::admin::AdminClient;
use crate::error::{CliError, EXIT_CODES};
use crate::options::{ADMIN_HELP, CHANGE_HELP, Options};
use crate::render::print;
use crate::submit::submit;
use anvilgw_config::ConfigChange;
use lexopt::Parser;
use std::process::ExitCode;

/// Name of a subcommand, what it takes out of service, and the changes that it submits.
pub(super) struct ServiceStateCommand {
    pub(super) name: &'static str,
    pub(super) target_noun: &'static str,
    pub(super) take_out: fn(String) -> ConfigChange,
    pub(super) put_back: fn(String) -> ConfigChange,
}

pub(super) fn run(
    parser: &mut Parser,
    command: &ServiceStateCommand,
) -> Result<ExitCode, CliError> {
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
    let (name, target_noun) = (command.name, command.target_noun);
    if options.help {
        print(&format!(
            "Takes a {target_noun} out of service or returns it\n\n\
             Usage: anvilgw {name} out NAME [--wait]\n       anvilgw {name} in NAME [--wait]\n\n\
             Out of service: no new work; streams finish or resume elsewhere. Without --expect the\n\
             change applies to the version that is current when the command starts.\n\n\
             Options:\n{CHANGE_HELP}{ADMIN_HELP}\n{EXIT_CODES}"
        ));
        return Ok(ExitCode::SUCCESS);
    }
    let positionals: Vec<&str> = options.positionals.iter().map(String::as_str).collect();
    let change = match positionals.as_slice() {
        ["out", target] => (command.take_out)((*target).to_owned()),
        ["in", target] => (command.put_back)((*target).to_owned()),
        _ => {
            let detail = format!("expected `{name} out NAME` or `{name} in NAME`; see --help");
            return Err(CliError::Usage(detail));
        }
    };
    change
        .check()
        .map_err(|faults| CliError::FaultyInput(positionals[1].to_owned(), faults))?;
    let admin = AdminClient::new(&options)?;
    let expected_version = match options.expect {
        Some(version) => version,
        None => admin.config()?.state.version,
    };
    submit(&admin, &options, expected_version, change)
}
