//! `anvilgw domain`: failure domains out of service and back.

use super::switch::{self, Switch};
use crate::error::CliError;
use anvilgw_config::ConfigChange;
use lexopt::Parser;
use std::process::ExitCode;

pub(super) fn run(parser: &mut Parser) -> Result<ExitCode, CliError> {
    let switch = Switch {
        name: "domain",
        what: "failure domain",
        out: ConfigChange::DomainOut,
        back: ConfigChange::DomainIn,
    };
    switch::run(parser, &switch)
}
