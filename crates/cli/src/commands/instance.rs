//! `anvilgw instance`: takes instances out of service and returns them.

use super::service_state::{self, ServiceStateCommand};
use crate::error::CliError;
use anvilgw_config::ConfigChange;
use lexopt::Parser;
use std::process::ExitCode;

pub(super) fn run(parser: &mut Parser) -> Result<ExitCode, CliError> {
    let command = ServiceStateCommand {
        name: "instance",
        target_noun: "instance",
        take_out: ConfigChange::InstanceOut,
        put_back: ConfigChange::InstanceIn,
    };
    service_state::run(parser, &command)
}
