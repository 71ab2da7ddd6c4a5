//! `anvilgw entitlements`: the entitlements list.

use super::list;
use crate::error::CliError;
use anvilgw_config::Entitlements;
use lexopt::Parser;
use std::process::ExitCode;

pub(super) fn run(parser: &mut Parser) -> Result<ExitCode, CliError> {
    list::run::<Entitlements>(parser)
}
