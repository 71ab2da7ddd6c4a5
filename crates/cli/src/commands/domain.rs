//! `anvilgw domain`: takes failure domains out of service and returns them.

use super::service_state::{self, ServiceStateCommand};
use crate::error::CliError;
use anvilgw_config::ConfigChange;
use lexopt::Parser;
use std::process::ExitCode;

pub(super) fn run(parser: &mut Parser) -> Result<ExitCode, CliError> {
    let command = ServiceStateCommand {
        name: "domain",
        target_noun: "failure domain",
        take_out: ConfigChange::DomainOut,
        put_back: ConfigChange::DomainIn,
    };
    service_state::run(parser, &command)
}
