//! `anvilgw rollout`: shows the state of rollouts as one gateway daemon sees it, and why.

use crate::error::{CliError, EXIT_CODES};
use crate::metrics_text::{Sample, read};
use crate::options::Options;
use crate::render::{print, print_table};
use lexopt::Parser;
use std::fmt::Write;
use std::process::ExitCode;

/// Metric with one value for each rollout.
const ROLLOUT: &str = "anvilgw_rollout";

/// Meaning of a reason in the metrics.
struct Reason {
    name: &'static str,
    meaning: &'static str,
}

const fn reason(name: &'static str, meaning: &'static str) -> Reason {
    Reason { name, meaning }
}

const REASONS: &[Reason] = &[
    reason("no_target_servers", "no server of the target is ready"),
    reason("few_reports", "too few daemons have reported lately"),
    reason(
        "store_unavailable",
        "the metadata store does not answer, so the phase goes on",
    ),
    reason("scheduled", "the phase goes on according to the schedule"),
    reason(
        "suspicion",
        "the target may be worse, so the phase goes on for more evidence",
    ),
    reason(
        "capacity_missing",
        "the warm servers of the target cannot take the load yet",
    ),
    reason("draining", "requests are in flight at the old servers"),
    reason("drained", "no request is in flight at the old servers"),
    reason(
        "drain_timeout",
        "the time for requests at the old servers is over",
    ),
    reason("already_in_force", "the order names the version in force"),
    reason(
        "bad_failures",
        "the target fails more often than the version in force",
    ),
    reason(
        "bad_slow",
        "part of the target's answers are several times slower than those of the version in force",
    ),
    reason(
        "bad_servers_fail",
        "most servers of the target fail, unlike those of the version in force",
    ),
    reason(
        "bad_unanswered",
        "the target leaves most requests unanswered",
    ),
    reason(
        "deadline",
        "the conditions for completion were not met by the deadline",
    ),
    reason("withdrawn", "the order was removed"),
    reason("adopted", "another daemon has decided to roll back"),
    reason("stored", "a final status is stored"),
];

pub(super) fn run(parser: &mut Parser) -> Result<ExitCode, CliError> {
    let options = Options::parse(parser, &["metrics"])?;
    if options.help {
        print(&format!(
            "Shows the rollouts of software versions as one gateway daemon sees them, and why\n\n\
             Usage: anvilgw rollout --metrics ADDR [SERVICE]\n\n\
             The daemon that decides on a service also shows the figures of the whole fleet and the\n\
             reason for its decision; its log has the event `rollout_decision`.\n\n\
             Options:\n  --metrics ADDR    IP:port of the daemon's metrics or readiness address\n  \
             -h, --help        print this help\n\n{EXIT_CODES}"
        ));
        return Ok(ExitCode::SUCCESS);
    }
    let Some(address) = options.metrics else {
        return Err(CliError::Usage(
            "`rollout` needs --metrics IP:port; see --help".to_owned(),
        ));
    };
    let samples = read(address)?;
    let wanted = options.positionals.first();
    let is_wanted = |sample: &&Sample| {
        sample.name == ROLLOUT && wanted.is_none_or(|service| sample.label("service") == service)
    };
    let rollouts: Vec<&Sample> = samples.iter().filter(is_wanted).collect();
    if rollouts.is_empty() {
        print("The daemon knows no rollout.\n");
    }
    for rollout in rollouts {
        print_rollout(rollout, &samples);
    }
    Ok(ExitCode::SUCCESS)
}

fn print_rollout(rollout: &Sample, samples: &[Sample]) {
    let service = rollout.label("service");
    let mut text = format!(
        "service {service}: from version {} to {}\n  state {}, phase {}\n",
        or_dash(rollout.label("in_force")),
        rollout.label("target"),
        or_dash(rollout.label("state")),
        or_dash(rollout.label("phase"))
    );
    let name = rollout.label("reason");
    // Writing to a string does not fail.
    let _ = match REASONS.iter().find(|reason| reason.name == name) {
        Some(reason) => writeln!(text, "  because {}", reason.meaning),
        None => writeln!(text, "  this daemon does not decide on the service"),
    };
    let of_service = |sample: &&Sample| sample.label("service") == service;
    for sample in samples.iter().filter(of_service) {
        let value = &sample.value;
        let _ = match sample.name.as_str() {
            "anvilgw_rollout_share" => writeln!(text, "  share of the target: {value}"),
            "anvilgw_rollout_llr" => {
                let test = sample.label("test");
                writeln!(text, "  log likelihood ratio of {test}: {value}")
            }
            "anvilgw_rollout_requests" => {
                let side = sample.label("side");
                writeln!(text, "  requests of this daemon, {side}: {value}")
            }
            _ => Ok(()),
        };
    }
    print(&text);
    let answers = samples
        .iter()
        .filter(of_service)
        .filter(|sample| sample.name == "anvilgw_rollout_answers");
    let rows: Vec<Vec<String>> = answers
        .map(|sample| {
            let failures = samples.iter().find(|other| {
                other.name == "anvilgw_rollout_failures" && other.labels == sample.labels
            });
            vec![
                sample.label("scope").to_owned(),
                sample.label("side").to_owned(),
                sample.value.clone(),
                failures.map_or_else(String::new, |failures| failures.value.clone()),
            ]
        })
        .collect();
    print_table(&["seen by", "version", "answers", "failures"], &rows);
}

fn or_dash(text: &str) -> &str {
    if text.is_empty() { "-" } else { text }
}
