//! Subcommands that talk to a daemon.

use crate::standin::Daemon;
use crate::{anvilgw, file, stderr, stdout};
use anvilgw_config::ConfigChange;
use serde_json::Value;
use std::process::Output;

/// A loopback port that nothing listens on and that the system gives to nobody.
const CLOSED: &str = "127.0.0.1:1";

fn run(daemon: &Daemon, arguments: &[&str]) -> Output {
    let admin = daemon.address.to_string();
    anvilgw(&[arguments, &["--admin", &admin]].concat())
}

fn json(output: &Output) -> Value {
    serde_json::from_str(&stdout(output)).unwrap_or_else(|_| panic!("{}", stderr(output)))
}

/// Guards against a change that the operator believes to be made and that is not.
#[test]
fn domain_out_and_in_change_the_configuration() {
    let daemon = Daemon::start();
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

/// Guards against an operator who does not learn that another change came first.
#[test]
fn the_loser_of_a_race_learns_the_current_version() {
    let daemon = Daemon::start();
    daemon.add_rival(ConfigChange::DomainOut("braga".to_owned()));
    let output = run(&daemon, &["domain", "out", "porto"]);
    assert_eq!(output.status.code(), Some(3), "{}", stderr(&output));
    assert!(
        stderr(&output).contains("version 1 is current"),
        "{}",
        stderr(&output)
    );
    daemon.add_rival(ConfigChange::DomainIn("braga".to_owned()));
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

/// Guards against a change that is made twice or reported as failed when an answer is lost.
#[test]
fn a_lost_answer_is_repeated_with_the_same_record() {
    let daemon = Daemon::start();
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

/// Guards against `--wait` that returns before every daemon uses the change.
#[test]
fn wait_ends_when_the_change_is_in_force_everywhere() {
    let daemon = Daemon::start();
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

/// Guards against a list that is applied to another version than the one it was made from.
#[test]
fn lists_are_shown_compared_and_applied() {
    let daemon = Daemon::start();
    let text = "[workspace foz]\nmodels = lumen-8b\n";
    let path = file("list.ini", text);
    let without_version = run(&daemon, &["entitlements", "apply", &path]);
    assert_eq!(without_version.status.code(), Some(2));
    let differences = run(&daemon, &["entitlements", "diff", &path, "--json"]);
    assert_eq!(json(&differences)["differences"][0]["after"], "lumen-8b");
    let applied = run(&daemon, &["entitlements", "apply", &path, "--expect", "0"]);
    assert_eq!(applied.status.code(), Some(0), "{}", stderr(&applied));
    let late = run(&daemon, &["entitlements", "apply", &path, "--expect", "0"]);
    assert_eq!(late.status.code(), Some(3), "{}", stderr(&late));
    let shown = stdout(&run(&daemon, &["entitlements", "show", "--ini"]));
    let shown_path = file("shown.ini", &shown);
    let same = run(&daemon, &["entitlements", "diff", &shown_path]);
    assert!(stdout(&same).contains("no differences"), "{shown}");
    let table = stdout(&run(&daemon, &["entitlements", "show"]));
    assert!(
        table.contains("entitlements at version 1") && table.contains("lumen-8b"),
        "{table}"
    );
    let faulty = file("faulty.ini", "[workspace foz]\nmodel = lumen-8b\n");
    assert_eq!(
        run(&daemon, &["plans", "apply", &faulty, "--expect", "1"])
            .status
            .code(),
        Some(2)
    );
    assert_eq!(daemon.version(), 1);
}

/// Guards against a command that gives up although another daemon can be reached, and against a
/// refusal that looks like success.
#[test]
fn unreachable_and_refusing_daemons() {
    let daemon = Daemon::start();
    let output = run(&daemon, &["status", "--admin", CLOSED]);
    assert_eq!(output.status.code(), Some(0), "{}", stderr(&output));
    assert!(stdout(&output).contains("0@1"), "{}", stdout(&output));
    let output = anvilgw(&["domain", "out", "porto", "--expect", "0", "--admin", CLOSED]);
    assert_eq!(output.status.code(), Some(1), "{}", stderr(&output));
    let key = file("wrong-key", "agw_wrong\n");
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
