//! Tests of the subcommands that need no daemon.

use crate::{anvilgw, example_path, stderr, stdout, write_file};
use serde_json::Value;

/// Guards against a subcommand without a help text, or one that needs a daemon or a key to print
/// it.
#[test]
fn every_subcommand_has_help() {
    let top = stdout(&anvilgw(&["--help"]));
    for name in [
        "check",
        "plans",
        "entitlements",
        "domain",
        "instance",
        "status",
        "explain",
        "key",
    ] {
        assert!(top.contains(&format!("\n  {name} ")), "{name} in {top}");
        for flag in ["--help", "-h"] {
            let output = anvilgw(&[name, flag]);
            assert_eq!(output.status.code(), Some(0), "{name}");
            assert!(
                stdout(&output).contains(&format!("Usage: anvilgw {name}")),
                "{name}"
            );
        }
    }
}

/// Guards against wrong usage that a script cannot tell from success or from a failed request.
#[test]
fn wrong_usage_exits_with_code_2() {
    for arguments in [
        &["chek"][..],
        &["check"],
        &["check", "a", "b"],
        &["check", "--wait"],
        &["plans"],
        &["plans", "show"],
        &["domain", "porto"],
        &["domain", "out", "not a name", "--admin", "127.0.0.1:1"],
        &["domain", "out", "porto", "--admin", "localhost:1"],
        &["explain", "xyz", "--admin", "127.0.0.1:1"],
        &["key"],
    ] {
        let output = anvilgw(arguments);
        assert_eq!(
            output.status.code(),
            Some(2),
            "{arguments:?}: {}",
            stderr(&output)
        );
        assert!(!output.stderr.is_empty(), "{arguments:?}");
    }
}

/// Guards against a check that accepts a faulty file or reports only some of its faults.
#[test]
fn check_reports_all_faults_with_exit_code_2() {
    let good = anvilgw(&["check", &example_path("luzquadra.ini")]);
    assert_eq!(good.status.code(), Some(0), "{}", stdout(&good));
    let text = std::fs::read_to_string(example_path("ode-thermal.ini")).unwrap();
    let text = text.replacen("index = 0", "index = zero", 1).replacen(
        "drain_ms = 90000",
        "drain_ms = 90s",
        1,
    );
    let path = write_file("two-faults.ini", &text);
    let human = anvilgw(&["check", &path]);
    assert_eq!(human.status.code(), Some(2));
    assert!(stdout(&human).contains("2 faults"), "{}", stdout(&human));
    let json = anvilgw(&["check", &path, "--json"]);
    assert_eq!(json.status.code(), Some(2));
    let report: Value = serde_json::from_str(&stdout(&json)).unwrap();
    assert_eq!(report["good"], false);
    let keys: Vec<_> = report["faults"]
        .as_array()
        .unwrap()
        .iter()
        .map(|fault| &fault["key"])
        .collect();
    assert_eq!(keys, ["index", "drain_ms"]);
    assert_eq!(
        anvilgw(&["check", "/nonexistent.ini"]).status.code(),
        Some(1)
    );
}

/// Guards against an entitlement to a model that the settings do not define: each file is valid
/// alone.
#[test]
fn check_reports_contradictions_between_files() {
    let settings = example_path("luzquadra.ini");
    let (plans, entitlements) = (
        example_path("luzquadra-plans.ini"),
        example_path("luzquadra-entitlements.ini"),
    );
    let arguments = ["check", &settings, "--plans", &plans, "--entitlements"];
    let good = anvilgw(&[&arguments[..], &[&entitlements]].concat());
    assert_eq!(good.status.code(), Some(0), "{}", stdout(&good));
    let text = std::fs::read_to_string(&entitlements)
        .unwrap()
        .replacen("lumen-8b", "lumen-9b", 1);
    let wrong = write_file("wrong-model.ini", &text);
    let output = anvilgw(&[&arguments[..], &[&wrong]].concat());
    assert_eq!(output.status.code(), Some(2));
    assert!(
        stdout(&output).contains("no model \"lumen-9b\""),
        "{}",
        stdout(&output)
    );
}

/// Guards against a hash that does not belong to the printed key, and against keys that repeat.
#[test]
fn key_new_prints_a_key_with_its_hash() {
    let new =
        || -> Value { serde_json::from_str(&stdout(&anvilgw(&["key", "new", "--json"]))).unwrap() };
    let (first, second) = (new(), new());
    let key = first["key"].as_str().unwrap();
    assert_eq!(
        first["hash"],
        blake3::hash(key.as_bytes()).to_hex().as_str()
    );
    assert_ne!(first["key"], second["key"]);
    assert!(key.len() > 40);
}
