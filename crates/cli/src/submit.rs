//! Submits a change and waits until it is in force at every daemon.

use crate::admin::AdminClient;
use crate::error::CliError;
use crate::options::Options;
use crate::render::{print, print_json, print_table};
use anvilgw_config::{
    ChangeRequest, ChangeResponse, ChangeVerdict, ConfigChange, DaemonConfigVersion, RecordId,
    Rejection,
};
use serde::Serialize;
use std::process::ExitCode;
use std::time::{Duration, Instant};

/// Pause between two reads of the versions that are in force.
const IN_FORCE_POLL_INTERVAL: Duration = Duration::from_millis(200);

#[derive(Serialize)]
struct SubmittedChange<'a> {
    record_id: RecordId,
    verdict: &'a str,
    version: u64,
    reason: &'a str,
    in_force: &'a [DaemonConfigVersion],
}

/// Submits a change, waits until it is in force if the options say so, and prints the outcome. A
/// change that has no effect because the configuration is already in that state counts as success.
pub(crate) fn submit(
    admin: &AdminClient,
    options: &Options,
    expected_version: u64,
    change: ConfigChange,
) -> Result<ExitCode, CliError> {
    let description = change.to_string();
    let record_id = options.record_id.unwrap_or_else(RecordId::generate);
    let request = ChangeRequest {
        expected_version,
        record_id,
        change,
    };
    let mut answer = admin.post(&request)?;
    let rejected = answer.verdict == ChangeVerdict::Rejected;
    let unchanged = answer.rejection == Some(Rejection::NoEffect);
    let mut wait_result = Ok(());
    if let Some(wait) = options.wait.filter(|_| !rejected || unchanged) {
        wait_result = wait_until_in_force(admin, &mut answer, wait);
    }
    if options.json {
        print_json(&SubmittedChange {
            record_id,
            verdict: if rejected { "rejected" } else { "accepted" },
            version: answer.version,
            reason: &answer.reason,
            in_force: &answer.in_force,
        });
    }
    if rejected && !unchanged {
        return Err(rejection_error(expected_version, answer));
    }
    if !options.json {
        let verdict = if unchanged {
            "is already so"
        } else {
            "accepted"
        };
        print(&format!(
            "{description}: {verdict}, version {}\n",
            answer.version
        ));
        print_in_force(answer.version, &answer.in_force);
    }
    wait_result.map(|()| ExitCode::SUCCESS)
}

fn rejection_error(expected_version: u64, answer: ChangeResponse) -> CliError {
    match answer.rejection {
        Some(Rejection::VersionConflict { .. }) => {
            CliError::VersionConflict(expected_version, answer.version)
        }
        None if answer.version != expected_version => {
            CliError::VersionConflict(expected_version, answer.version)
        }
        _ => CliError::InvalidChange(answer.reason),
    }
}

/// Returns the daemons that report an older version than that of the answer.
fn daemons_behind(answer: &ChangeResponse) -> Vec<String> {
    let behind = answer
        .in_force
        .iter()
        .filter(|in_force| in_force.version < answer.version);
    behind.map(|in_force| in_force.daemon.clone()).collect()
}

fn wait_until_in_force(
    admin: &AdminClient,
    answer: &mut ChangeResponse,
    wait: Duration,
) -> Result<(), CliError> {
    let start = Instant::now();
    loop {
        let behind = daemons_behind(answer);
        // An empty list says nothing about the daemons, so it does not end the wait.
        if behind.is_empty() && !answer.in_force.is_empty() {
            return Ok(());
        }
        if start.elapsed() >= wait {
            let none_reported = || vec!["no daemon has reported yet".to_owned()];
            let behind = if behind.is_empty() {
                none_reported()
            } else {
                behind
            };
            return Err(CliError::NotInForce(answer.version, behind));
        }
        std::thread::sleep(IN_FORCE_POLL_INTERVAL);
        answer.in_force = admin.config()?.in_force;
    }
}

fn print_in_force(version: u64, in_force: &[DaemonConfigVersion]) {
    let row = |report: &DaemonConfigVersion| {
        let state = if report.version >= version {
            "in force"
        } else {
            "not yet"
        };
        vec![
            report.daemon.clone(),
            report.version.to_string(),
            state.to_owned(),
        ]
    };
    if !in_force.is_empty() {
        print_table(
            &["daemon", "version", "state"],
            &in_force.iter().map(row).collect::<Vec<_>>(),
        );
    }
}
