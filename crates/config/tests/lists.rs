//! Plans list and entitlements list: faults, differences and contradictions.

use anvilgw_config::{
    ConfigChange, Entitlements, ListDifference, Plans, Priority, Settings, WorkspaceList,
    find_contradictions, reference_markdown,
};

const PLANS: &str = "\
[workspace foz]
requests_per_s = 20
tokens_per_s = 20_000
burst_requests = 40
burst_tokens = 60000
concurrency = 16
[workspace liga]
requests_per_s = 5
tokens_per_s = 9000
burst_requests = 10
burst_tokens = 20000
concurrency = 4
weight = 10
priority = batch
";

const ENTITLEMENTS: &str = "\
[workspace foz]
models = lumen-8b
adapters = fixture-manual
services = court-control
[workspace liga]
models = lumen-2b, lumen-8b
";

/// Guards against values that are lost or changed when a list is written as INI and parsed again.
#[test]
fn a_list_written_as_ini_parses_to_the_same_list() {
    let plans = Plans::parse(PLANS).unwrap();
    assert_eq!(plans.workspaces["foz"].weight, 100);
    assert_eq!(plans.workspaces["liga"].priority, Priority::Batch);
    assert_eq!(plans.workspace_id("liga").map(|id| id.0), Some(1));
    assert_eq!(Plans::parse(&plans.to_ini()).unwrap(), plans);
    let entitlements = Entitlements::parse(ENTITLEMENTS).unwrap();
    assert_eq!(
        Entitlements::parse(&entitlements.to_ini()).unwrap(),
        entitlements
    );
}

/// Guards against a workspace that may use a model, adapter or service without an entitlement, also
/// one whose name is a prefix of an entitled workspace.
#[test]
fn a_workspace_may_use_only_what_is_listed() {
    let list = Entitlements::parse(ENTITLEMENTS).unwrap();
    assert!(list.allows_model("foz", "lumen-8b"));
    assert!(!list.allows_model("foz", "lumen-2b"));
    assert!(!list.allows_model("fo", "lumen-8b"));
    assert!(list.allows_adapter("foz", "fixture-manual"));
    assert!(!list.allows_adapter("liga", "fixture-manual"));
    assert!(list.allows_service("foz", "court-control"));
    assert!(!list.allows_service("liga", "court-control"));
    assert!(!list.allows_service("", ""));
}

/// Guards against validation of a list that stops at the first fault.
#[test]
fn all_faults_of_a_list_are_reported() {
    let text = PLANS
        .replace("tokens_per_s = 20_000", "tokens_per_s = 20k")
        .replace("concurrency = 4\n", "")
        .replace("priority = batch", "priority = low\ncolour = red");
    let faults = Plans::parse(&text).unwrap_err();
    let found: Vec<_> = faults
        .iter()
        .map(|fault| (fault.line, fault.key.as_str()))
        .collect();
    let expected = [
        (Some(3), "tokens_per_s"),
        (Some(7), "concurrency"),
        (Some(13), "priority"),
        (Some(14), "colour"),
    ];
    assert_eq!(found, expected, "{faults}");
}

/// Guards against a change that an operator does not see in the difference before applying a list.
#[test]
fn diff_contains_every_changed_value() {
    let before = Plans::parse(PLANS).unwrap();
    let after = PLANS
        .replace("concurrency = 16", "concurrency = 17")
        .replace("liga", "minho");
    let after = Plans::parse(&after).unwrap();
    let differences = before.diff(&after);
    let differences_of = |workspace| {
        differences
            .iter()
            .filter(move |d: &&ListDifference| d.workspace == workspace)
    };
    let foz: Vec<_> = differences_of("foz").collect();
    assert_eq!(foz.len(), 1);
    assert_eq!(
        (foz[0].key, foz[0].before.as_deref()),
        ("concurrency", Some("16"))
    );
    assert_eq!(foz[0].after.as_deref(), Some("17"));
    assert_eq!(
        differences_of("liga")
            .filter(|d| d.after.is_none() && d.before.is_some())
            .count(),
        7
    );
    assert_eq!(
        differences_of("minho")
            .filter(|d| d.before.is_none() && d.after.is_some())
            .count(),
        7
    );
    assert!(before.diff(&before).is_empty());
}

/// Guards against a change over HTTP that is accepted although the same list as INI text is not.
#[test]
fn changes_from_json_are_checked_with_the_same_rules() {
    let list = r#"{"plans": {"foz": {"requests_per_s": 1, "tokens_per_s": 1, "burst_requests": 1,
        "burst_tokens": 1, "concurrency": 1, "weight": 1, "priority": "batch"}}}"#;
    for (name, text, accepted) in [
        ("valid plans", list.to_owned(), true),
        (
            "zero rate",
            list.replace("\"requests_per_s\": 1", "\"requests_per_s\": 0"),
            false,
        ),
        (
            "name with a line break",
            list.replace("foz", "foz]\\n[workspace x"),
            false,
        ),
        ("name with a space", list.replace("foz", "foz norte"), false),
        ("empty name", list.replace("foz", ""), false),
        (
            "item with a comma",
            r#"{"entitlements": {"a": {"models": ["a, b"], "adapters": [], "services": []}}}"#
                .to_owned(),
            false,
        ),
        (
            "item twice",
            r#"{"entitlements": {"a": {"models": ["b", "b"], "adapters": [], "services": []}}}"#
                .to_owned(),
            false,
        ),
        ("domain", r#"{"domain_out": "porto"}"#.to_owned(), true),
        (
            "domain without name",
            r#"{"domain_out": ""}"#.to_owned(),
            false,
        ),
        (
            "instance by name",
            r#"{"instance_in": "porto-3"}"#.to_owned(),
            true,
        ),
        (
            "instance by address",
            r#"{"instance_out": "127.0.0.1:9300"}"#.to_owned(),
            true,
        ),
        (
            "instance by host name",
            r#"{"instance_out": "host:9300"}"#.to_owned(),
            false,
        ),
    ] {
        let change: ConfigChange =
            serde_json::from_str(&text).unwrap_or_else(|e| panic!("{name}: {e}"));
        assert_eq!(
            change.check().is_ok(),
            accepted,
            "{name}: {:?}",
            change.check()
        );
    }
}

/// Guards against a misspelt name in a list that is not reported.
#[test]
fn contradictions_between_lists_and_settings_are_reported() {
    let settings = Settings::parse(include_str!("../../../examples/luzquadra.ini")).unwrap();
    let plans = Plans::parse(&PLANS.replace("[workspace foz]", "[workspace clube-foz]")).unwrap();
    let entitlements = ENTITLEMENTS
        .replace("foz", "clube-foz")
        .replace("lumen-2b", "lumen-3b");
    let entitlements = Entitlements::parse(&entitlements.replace("liga", "liga-minho")).unwrap();
    let faults = find_contradictions(&plans, &entitlements, &settings);
    let reasons_for = |workspace: &str| -> Vec<_> {
        let section = format!("workspace {workspace}");
        faults
            .iter()
            .filter(|f| f.section == section)
            .map(|f| f.reason.as_str())
            .collect()
    };
    assert_eq!(reasons_for("clube-foz"), [""; 0]);
    let liga = reasons_for("liga");
    assert!(
        liga[0].contains("no entitlements") && liga[1].contains("no bearer key"),
        "{liga:?}"
    );
    let minho = reasons_for("liga-minho");
    assert!(
        minho[0].contains("no plan") && minho[2].contains("no model \"lumen-3b\""),
        "{minho:?}"
    );
    let change = ConfigChange::Entitlements(entitlements);
    assert_eq!(change.unknown_names(&settings).len(), 1);
    assert_eq!(
        ConfigChange::DomainOut("porto".into())
            .unknown_names(&settings)
            .len(),
        0
    );
    assert_eq!(
        ConfigChange::DomainOut("Porto".into())
            .unknown_names(&settings)
            .len(),
        1
    );
}

/// Guards against a reference page that differs from the table of keys. After a change of the
/// table, put the output of `anvilgw check --reference` into the page.
#[test]
fn docs_contain_the_generated_reference() {
    let page = include_str!("../../../docs/settings.md");
    assert!(page.contains(&reference_markdown()));
}

/// Guards against example lists that have faults or contradict their settings.
#[test]
fn example_lists_do_not_contradict_their_settings() {
    for (settings, plans, entitlements) in [
        (
            include_str!("../../../examples/luzquadra.ini"),
            include_str!("../../../examples/luzquadra-plans.ini"),
            include_str!("../../../examples/luzquadra-entitlements.ini"),
        ),
        (
            include_str!("../../../examples/ode-thermal.ini"),
            include_str!("../../../examples/ode-thermal-plans.ini"),
            include_str!("../../../examples/ode-thermal-entitlements.ini"),
        ),
    ] {
        let settings = Settings::parse(settings).unwrap();
        let plans = Plans::parse(plans).unwrap();
        let entitlements = Entitlements::parse(entitlements).unwrap();
        assert_eq!(find_contradictions(&plans, &entitlements, &settings), []);
    }
}
