//! Tests of the subcommands that call a daemon.

use crate::standin::StandinDaemon;
use crate::{anvilgw, stderr, stdout, write_file};
use anvilgw_config::ConfigChange;
use serde_json::Value;
use std::process::Output;

/// A loopback address that nothing listens on. The operating system does not assign port 1.
const CLOSED_ADDRESS: &str = "127.0.0.1:1";

fn run(daemon: &StandinDaemon, arguments: &[&str]) -> Output {
    let admin = daemon.address.to_string();
    anvilgw(&[arguments, &["--admin", &admin]].concat())
}

fn json(output: &Output) -> Value {
    serde_json::from_str(&stdout(output)).unwrap_or_else(|_| panic!("{}", stderr(output)))
}

/// Guards against a command that reports success although the configuration did not change.
#[test]
fn domain_and_instance_commands_change_the_configuration() {
    let daemon = StandinDaemon::start();
    let output = run(&daemon, &["domain", "out", "porto"]);
    assert_eq!(output.status.code(), Some(0), "{}", stderr(&output));
    assert!(stdout(&output).contains("domain porto out: accepted, version 1"));
    let again = run(&daemon, &["domain", "out", "porto"]);
    assert_eq!(again.status.code(), Some(0), "{}", stderr(&again));
    assert!(stdout(&again).contains("already so"));
    let back = json(&run(&daemon, &["domain", "in", "porto", "--json"]));
    assert_eq!(
        (&back["verdict"], &back["version"]),
        (&"accepted".into(), &2.into())
    );
    let instance = run(&daemon, &["instance", "out", "127.0.0.1:9300"]);
    assert_eq!(instance.status.code(), Some(0), "{}", stderr(&instance));
    assert_eq!(daemon.version(), 3);
}

/// Guards against a change that is lost without notice because another operator's change came
/// first.
#[test]
fn version_conflict_reports_current_version() {
    let daemon = StandinDaemon::start();
    daemon.add_competing_change(ConfigChange::DomainOut("braga".to_owned()));
    let output = run(&daemon, &["domain", "out", "porto"]);
    assert_eq!(output.status.code(), Some(3), "{}", stderr(&output));
    assert!(
        stderr(&output).contains("version 1 is current"),
        "{}",
        stderr(&output)
    );
    daemon.add_competing_change(ConfigChange::DomainIn("braga".to_owned()));
    let output = run(&daemon, &["domain", "out", "porto", "--json"]);
    assert_eq!(output.status.code(), Some(3));
    let answer = json(&output);
    assert_eq!(
        (&answer["verdict"], &answer["version"]),
        (&"rejected".into(), &2.into())
    );
    assert_eq!(
        run(&daemon, &["domain", "out", "porto"]).status.code(),
        Some(0)
    );
}

/// Guards against a change that takes effect twice, or is reported as failed, because the daemon's
/// answer was lost.
#[test]
fn lost_answer_is_retried_with_the_same_record_id() {
    let daemon = StandinDaemon::start();
    daemon.lose_answers(1);
    let output = run(&daemon, &["domain", "out", "porto"]);
    assert_eq!(output.status.code(), Some(0), "{}", stderr(&output));
    assert_eq!((daemon.version(), daemon.appended()), (1, 2));

    daemon.lose_answers(100);
    let output = run(&daemon, &["domain", "in", "porto"]);
    assert_eq!(output.status.code(), Some(5), "{}", stderr(&output));
    let message = stderr(&output);
    let id = message
        .split("--record-id ")
        .nth(1)
        .and_then(|rest| rest.split(' ').next())
        .unwrap();
    daemon.lose_answers(0);
    let repeat = ["domain", "in", "porto", "--expect", "1", "--record-id", id];
    let output = run(&daemon, &repeat);
    assert_eq!(output.status.code(), Some(0), "{}", stderr(&output));
    assert_eq!(daemon.version(), 2);
}

/// Guards against `--wait` returning before every daemon uses the change.
#[test]
fn wait_ends_when_every_daemon_uses_the_change() {
    let daemon = StandinDaemon::start();
    daemon.delay_in_force(3);
    let output = json(&run(
        &daemon,
        &["domain", "out", "porto", "--wait", "--json"],
    ));
    assert_eq!(output["in_force"][1]["version"], 1);
    daemon.delay_in_force(1_000_000);
    let output = run(&daemon, &["domain", "in", "porto", "--wait-s", "0"]);
    assert_eq!(output.status.code(), Some(4), "{}", stderr(&output));
    assert!(stderr(&output).contains("1@1") && !stderr(&output).contains("0@1"));
}

/// Guards against an edited list that overwrites changes made since the version it was made from.
#[test]
fn list_is_applied_only_to_the_expected_version() {
    let daemon = StandinDaemon::start();
    let text = "[workspace foz]\nmodels = lumen-8b\n";
    let path = write_file("list.ini", text);
    let without_version = run(&daemon, &["entitlements", "apply", &path]);
    assert_eq!(without_version.status.code(), Some(2));
    let differences = run(&daemon, &["entitlements", "diff", &path, "--json"]);
    assert_eq!(json(&differences)["differences"][0]["after"], "lumen-8b");
    let applied = run(&daemon, &["entitlements", "apply", &path, "--expect", "0"]);
    assert_eq!(applied.status.code(), Some(0), "{}", stderr(&applied));
    let late = run(&daemon, &["entitlements", "apply", &path, "--expect", "0"]);
    assert_eq!(late.status.code(), Some(3), "{}", stderr(&late));
    let shown = stdout(&run(&daemon, &["entitlements", "show", "--ini"]));
    let shown_file = write_file("shown.ini", &shown);
    let same = run(&daemon, &["entitlements", "diff", &shown_file]);
    assert!(stdout(&same).contains("no differences"), "{shown}");
    let table = stdout(&run(&daemon, &["entitlements", "show"]));
    assert!(
        table.contains("entitlements at version 1") && table.contains("lumen-8b"),
        "{table}"
    );
    let faulty = write_file("faulty.ini", "[workspace foz]\nmodel = lumen-8b\n");
    assert_eq!(
        run(&daemon, &["plans", "apply", &faulty, "--expect", "1"])
            .status
            .code(),
        Some(2)
    );
    assert_eq!(daemon.version(), 1);
}

/// Guards against a command that fails although another daemon can be reached, and against a
/// refusal that is reported as success.
#[test]
fn unreachable_daemons_are_skipped_and_refusals_fail() {
    let daemon = StandinDaemon::start();
    let output = run(&daemon, &["status", "--admin", CLOSED_ADDRESS]);
    assert_eq!(output.status.code(), Some(0), "{}", stderr(&output));
    assert!(stdout(&output).contains("0@1"), "{}", stdout(&output));
    let output = anvilgw(&[
        "domain",
        "out",
        "porto",
        "--expect",
        "0",
        "--admin",
        CLOSED_ADDRESS,
    ]);
    assert_eq!(output.status.code(), Some(1), "{}", stderr(&output));
    let key = write_file("wrong-key", "agw_wrong\n");
    let output = run(&daemon, &["domain", "out", "porto", "--key-file", &key]);
    assert_eq!(output.status.code(), Some(1));
    assert!(stderr(&output).contains("no operator key"));
    assert!(
        !stderr(&output).contains("agw_wrong"),
        "keys are never printed"
    );
    assert_eq!(daemon.version(), 0);
    let explained = stdout(&run(&daemon, &["explain", "abc"]));
    assert!(explained.contains("Queued"), "{explained}");
    assert!(explained.contains("attempt 1 at porto-1"), "{explained}");
    let unknown = run(&daemon, &["explain", "abd"]);
    assert_eq!(unknown.status.code(), Some(1));
    assert!(stderr(&unknown).contains("nothing is known"));
}
