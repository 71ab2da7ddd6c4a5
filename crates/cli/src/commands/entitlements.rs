//! `anvilgw entitlements`: shows, compares and replaces the entitlements list.

use super::operator_list;
use crate::error::CliError;
use anvilgw_config::Entitlements;
use lexopt::Parser;
use std::process::ExitCode;

pub(super) fn run(parser: &mut Parser) -> Result<ExitCode, CliError> {
    operator_list::run::<Entitlements>(parser)
}
