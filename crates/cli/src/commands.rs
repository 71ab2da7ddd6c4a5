//! The subcommands, one file each.

mod check;
mod demo;
mod domain;
mod entitlements;
mod epoch;
mod explain;
mod gateway;
mod instance;
mod key;
mod operator_list;
mod plans;
mod rollout;
mod serve;
mod service_state;
mod status;

use crate::error::CliError;
use lexopt::Parser;
use std::process::ExitCode;

/// A subcommand: its name, its line in the help text and the function that runs it. The function
/// reads the rest of the command line from the parser.
pub(crate) struct Command {
    pub(crate) name: &'static str,
    pub(crate) about: &'static str,
    pub(crate) run: fn(&mut Parser) -> Result<ExitCode, CliError>,
}

const fn command(
    name: &'static str,
    about: &'static str,
    run: fn(&mut Parser) -> Result<ExitCode, CliError>,
) -> Command {
    Command { name, about, run }
}

/// All subcommands, in the order of the help text.
pub(crate) const COMMANDS: &[Command] = &[
    command("serve", "run the entry daemon", serve::run),
    command(
        "gateway",
        "run the gateway daemon on the operators' platform",
        gateway::run,
    ),
    command(
        "demo",
        "run daemons with stand-ins and show a mixed load",
        demo::run,
    ),
    command("check", "report all faults of a settings file", check::run),
    command(
        "plans",
        "show, compare or replace the plans list",
        plans::run,
    ),
    command(
        "entitlements",
        "show, compare or replace the entitlements list",
        entitlements::run,
    ),
    command(
        "domain",
        "take a failure domain out of service or return it",
        domain::run,
    ),
    command(
        "instance",
        "take an instance out of service or return it",
        instance::run,
    ),
    command(
        "status",
        "show the state of the fleet as one daemon sees it",
        status::run,
    ),
    command(
        "epoch",
        "allow an epoch after most daemons are gone for good",
        epoch::run,
    ),
    command(
        "rollout",
        "show the rollouts of software versions and why they are where they are",
        rollout::run,
    ),
    command("explain", "show what happened to one request", explain::run),
    command("key", "make a bearer key", key::run),
];
