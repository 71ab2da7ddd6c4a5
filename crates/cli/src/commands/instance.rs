//! `anvilgw instance`: instances out of service and back.

use super::switch::{self, Switch};
use crate::error::CliError;
use anvilgw_config::ConfigChange;
use lexopt::Parser;
use std::process::ExitCode;

pub(super) fn run(parser: &mut Parser) -> Result<ExitCode, CliError> {
    let switch = Switch {
        name: "instance",
        what: "instance",
        out: ConfigChange::InstanceOut,
        back: ConfigChange::InstanceIn,
    };
    switch::run(parser, &switch)
}
