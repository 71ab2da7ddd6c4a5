//! Submission of a change and the wait until it is in force.

use crate::admin::Admin;
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

/// Pause between two looks at the versions in force.
const WAIT_POLL: Duration = Duration::from_millis(200);

#[derive(Serialize)]
struct Submitted<'a> {
    record_id: RecordId,
    verdict: &'a str,
    version: u64,
    reason: &'a str,
    in_force: &'a [DaemonConfigVersion],
}

/// Submits a change and prints what became of it.
pub(crate) fn submit(
    admin: &Admin,
    options: &Options,
    expected_version: u64,
    change: ConfigChange,
) -> Result<ExitCode, CliError> {
    let title = change.to_string();
    let record_id = options.record_id.unwrap_or_else(RecordId::generate);
    let request = ChangeRequest {
        expected_version,
        record_id,
        change,
    };
    let mut answer = admin.post(&request)?;
    let rejected = answer.verdict == ChangeVerdict::Rejected;
    let unchanged = answer.rejection == Some(Rejection::NoEffect);
    let mut waited = Ok(());
    if let Some(wait) = options.wait.filter(|_| !rejected || unchanged) {
        waited = wait_until_in_force(admin, &mut answer, wait);
    }
    if options.json {
        print_json(&Submitted {
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
        print(&format!("{title}: {verdict}, version {}\n", answer.version));
        print_in_force(answer.version, &answer.in_force);
    }
    waited.map(|()| ExitCode::SUCCESS)
}

fn rejection_error(expected_version: u64, answer: ChangeResponse) -> CliError {
    match answer.rejection {
        Some(Rejection::VersionConflict { .. }) => {
            CliError::LostRace(expected_version, answer.version)
        }
        None if answer.version != expected_version => {
            CliError::LostRace(expected_version, answer.version)
        }
        _ => CliError::InvalidChange(answer.reason),
    }
}

fn behind(answer: &ChangeResponse) -> Vec<String> {
    let behind = answer
        .in_force
        .iter()
        .filter(|in_force| in_force.version < answer.version);
    behind.map(|in_force| in_force.daemon.clone()).collect()
}

fn wait_until_in_force(
    admin: &Admin,
    answer: &mut ChangeResponse,
    wait: Duration,
) -> Result<(), CliError> {
    let start = Instant::now();
    loop {
        let behind = behind(answer);
        // An empty list says nothing about the daemons, so it does not end the wait.
        if behind.is_empty() && !answer.in_force.is_empty() {
            return Ok(());
        }
        if start.elapsed() >= wait {
            let unknown = || vec!["no daemon has reported yet".to_owned()];
            let behind = if behind.is_empty() { unknown() } else { behind };
            return Err(CliError::NotInForce(answer.version, behind));
        }
        std::thread::sleep(WAIT_POLL);
        answer.in_force = admin.config()?.in_force;
    }
}

fn print_in_force(version: u64, in_force: &[DaemonConfigVersion]) {
    let row = |one: &DaemonConfigVersion| {
        let state = if one.version >= version {
            "in force"
        } else {
            "not yet"
        };
        vec![
            one.daemon.clone(),
            one.version.to_string(),
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
