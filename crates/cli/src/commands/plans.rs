//! `anvilgw plans`: shows, compares and replaces the plans list.

use super::operator_list;
use crate::error::CliError;
use anvilgw_config::Plans;
use lexopt::Parser;
use std::process::ExitCode;

pub(super) fn run(parser: &mut Parser) -> Result<ExitCode, CliError> {
    operator_list::run::<Plans>(parser)
}
