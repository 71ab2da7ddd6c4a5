//! `anvilgw plans`: the plans list.

use super::list;
use crate::error::CliError;
use anvilgw_config::Plans;
use lexopt::Parser;
use std::process::ExitCode;

pub(super) fn run(parser: &mut Parser) -> Result<ExitCode, CliError> {
    list::run::<Plans>(parser)
}
