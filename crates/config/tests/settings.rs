//! Settings file: every fault is reported with its line, key, reason and an example.

use anvilgw_config::{Faults, KeyHash, Settings};
use quickcheck::{Gen, QuickCheck};

const VALID: &str = "\
[daemon]
index = 3
instance = entry-3
failure_domain = north
listen = 127.0.0.1:8080
admin_listen = 127.0.0.1:8081
peer_listen = 127.0.0.1:8082
[log]
addresses = 127.0.0.1:9000
[domain north]
[domain south]
region = lisbon
[model lumen]
weight_version = v1
kv_bytes_per_token = 1_024
prefill_tokens_per_s = 9000
decode_ms_per_token = 22.5
[server a]
address = 127.0.0.1:9200
failure_domain = south
models = lumen
capacity_concurrency = 8
link_bytes_per_s = 1000000
[service courts]
servers = 127.0.0.1:9300@north, 127.0.0.1:9301@south
idempotent = POST /lookup, PUT /notes/*
non_idempotent = GET /toggle
[keys]
foz = af1349b9f5f9a1a6a0404dea36dcc9499bcb25c9adc112b7cc9a93cae41f3262
";

struct Case {
    name: &'static str,
    /// Text in `VALID` and its replacement, which adds the fault.
    edit: (&'static str, &'static str),
    /// Line, section and key of the expected fault, and a part of its reason.
    fault: (Option<u32>, &'static str, &'static str, &'static str),
}

macro_rules! cases {
    ($($name:literal: $from:literal => $to:literal, $line:expr, $section:literal, $key:literal, $reason:literal;)*) => {
        const CASES: &[Case] = &[$(Case {
            name: $name,
            edit: ($from, $to),
            fault: ($line, $section, $key, $reason),
        },)*];
    };
}

cases! {
    "unknown key": "index = 3" => "index = 3\ncolour = red", Some(3), "daemon", "colour", "unknown key; known are index";
    "wrong unit": "index = 3" => "index = 3\ndrain_s = 150", Some(3), "daemon", "drain_s", "`drain_ms`";
    "unit text": "index = 3" => "index = 3\ndrain_ms = 150s", Some(3), "daemon", "drain_ms", "unit text \"s\"";
    "not a number": "index = 3" => "index = three", Some(2), "daemon", "index", "not a whole number";
    "out of range": "index = 3" => "index = 65536", Some(2), "daemon", "index", "outside 0 to 65535";
    "larger than 64 bits": "index = 3" => "index = 99999999999999999999", Some(2), "daemon", "index", "not a whole number";
    "missing key": "index = 3\n" => "", Some(1), "daemon", "index", "missing";
    "missing section": "[log]\naddresses = 127.0.0.1:9000\n" => "", None, "log", "", "missing";
    "unknown section": "[log]" => "[lock]\n[log]", Some(8), "lock", "", "unknown section";
    "duplicate key": "index = 3" => "index = 3\nindex = 4", Some(3), "daemon", "index", "already given on line 2";
    "duplicate section": "[domain south]" => "[domain south]\n[domain  south]", Some(12), "domain south", "", "already given on line 11";
    "section without its name": "[domain north]" => "[domain]", Some(10), "domain", "", "needs a name";
    "section with a name too many": "[log]" => "[log x]", Some(8), "log x", "", "takes no name";
    "host name": "127.0.0.1:9000" => "log.example:9000", Some(9), "log", "addresses", "host name";
    "no port": "127.0.0.1:9000" => "127.0.0.1", Some(9), "log", "addresses", "no port";
    "port 0": "127.0.0.1:9000" => "127.0.0.1:0", Some(9), "log", "addresses", "port 0";
    "invalid address": "127.0.0.1:9000" => "127.0.0.400:9000", Some(9), "log", "addresses", "not an IP address";
    "empty item": "@north, " => "@north, , ", Some(25), "service courts", "servers", "empty item";
    "server without domain": "9300@north" => "9300", Some(25), "service courts", "servers", "no failure domain";
    "invalid path rule": "PUT /notes/*" => "PUT /*/notes", Some(26), "service courts", "idempotent", "not its last";
    "invalid hash": "= af13" => "= zz13", Some(29), "keys", "foz", "64 hexadecimal digits";
    "text before sections": "[daemon]\n" => "index = 1\n[daemon]\n", Some(1), "", "index", "before the first section";
    "no INI": "index = 3" => "index = 3\nnonsense", Some(3), "daemon", "", "not INI";
    "open header": "[log]" => "[log]]", Some(8), "log", "", "one pair of brackets";
    "cold above capacity": "capacity_concurrency = 8" => "capacity_concurrency = 8\ncold_concurrency = 9", Some(23), "server a", "cold_concurrency", "above capacity_concurrency (8)";
    "drain below deadline": "index = 3" => "index = 3\ndrain_ms = 100000", Some(3), "daemon", "drain_ms", "below deadline_max_ms (120000)";
    "deadline above maximum": "index = 3" => "index = 3\ndeadline_default_ms = 130000", Some(3), "daemon", "deadline_default_ms", "above deadline_max_ms";
    "lifetime above retention": "[log]" => "[claims]\nlifetime_s = 604700\n[log]", Some(9), "claims", "lifetime_s", "above retention_s (604800)";
    "lifetime below deadline": "[log]" => "[claims]\nlifetime_s = 100\n[log]", Some(9), "claims", "lifetime_s", "stay open for 125 s";
    "claims above the log's rate": "[log]" => "[log]\nappends_per_s = 100", None, "claims", "appends_per_s", "above appends_per_s (100)";
    "interval too short": "[log]" => "[claims]\nmin_interval_ms = 50\n[log]", Some(9), "claims", "min_interval_ms", "exceed appends_per_s (250)";
    "unknown domain": "failure_domain = south" => "failure_domain = east", Some(20), "server a", "failure_domain", "no [domain east]";
    "unknown domain of a service": "9301@south" => "9301@east", Some(25), "service courts", "servers", "no [domain east]";
    "unknown model": "models = lumen" => "models = lumen, ember", Some(21), "server a", "models", "no [model ember]";
    "model without server": "[server a]" => "[model ember]\nweight_version = v1\nkv_bytes_per_token = 1\nprefill_tokens_per_s = 1\ndecode_ms_per_token = 1\n[server a]", Some(18), "model ember", "", "no server runs";
    "unreachable peer address": "peer_listen = 127.0.0.1" => "peer_listen = 0.0.0.0", Some(1), "daemon", "advertise", "unspecified";
    "address used twice": "127.0.0.1:9301" => "127.0.0.1:9200", Some(25), "service courts", "servers", "also address of [server a]";
    "comment behind a path": "[keys]" => "[logging]\noutput = stderr ; for now\n[keys]", Some(29), "logging", "output", "comments need a line";
    "relative path": "[keys]" => "[trace]\noutput = spans.json\n[keys]", Some(29), "trace", "output", "nor an absolute path";
    "key of two owners": "[keys]" => "[operators]\nana = af1349b9f5f9a1a6a0404dea36dcc9499bcb25c9adc112b7cc9a93cae41f3262\n[keys]", Some(28), "operators", "", "also the key of foz";
}

fn parse_edited(edit: (&str, &str)) -> Result<Settings, Faults> {
    assert!(
        VALID.contains(edit.0),
        "the edit {:?} changes nothing",
        edit.0
    );
    Settings::parse(&VALID.replacen(edit.0, edit.1, 1))
}

/// Guards against a fault that is accepted, reported at the wrong place, or causes reports of other
/// faults.
#[test]
fn each_fault_is_reported_once_at_its_line_and_key() {
    for case in CASES {
        let faults = parse_edited(case.edit).expect_err(case.name);
        let fault = faults.iter().next().expect(case.name);
        let (line, section, key, reason) = case.fault;
        assert_eq!(
            (fault.line, &*fault.section, &*fault.key),
            (line, section, key),
            "{}",
            case.name
        );
        assert!(fault.reason.contains(reason), "{}: {fault}", case.name);
        assert!(!fault.example.is_empty(), "{}: {fault}", case.name);
        assert_eq!(faults.len(), 1, "{}: {faults}", case.name);
    }
}

/// Guards against validation that stops at the first fault.
#[test]
fn all_faults_are_reported_together_in_line_order() {
    let mut text = VALID.to_owned();
    for edit in [
        ("index = 3", "index = 3x"),
        ("listen = 127.0.0.1:8080", "listen = localhost:8080"),
        ("region = lisbon", "region = lisbon\ncapital = lisbon"),
        ("failure_domain = south", "failure_domain = east"),
        ("[keys]", "[keys"),
    ] {
        text = text.replacen(edit.0, edit.1, 1);
    }
    let faults = Settings::parse(&text).unwrap_err();
    let lines: Vec<_> = faults.iter().filter_map(|fault| fault.line).collect();
    assert_eq!(lines, [2, 5, 13, 21, 29], "{faults}");
}

/// Guards against defaults that differ between a parsed file and settings built by a program, and
/// against lost values.
#[test]
fn valid_settings_keep_their_values_and_defaults() {
    let settings = Settings::parse(VALID).unwrap_or_else(|faults| panic!("{faults}"));
    assert_eq!(settings.check(), Ok(()));
    assert_eq!(settings.daemon.advertise, settings.daemon.peer_listen);
    assert_eq!(settings.models["lumen"].kv_bytes_per_token, 1024);
    assert_eq!(settings.limits, anvilgw_config::LimitSettings::default());
    assert_eq!(settings.log.stream_name("config"), "anvilgw-config");
    assert_eq!(settings.domain_id("south").map(|id| id.0), Some(1));
    assert_eq!(settings.domain_id("east"), None);
    let servers: Vec<_> = settings
        .backend_servers()
        .map(|(id, server)| {
            (
                id.0,
                server.address().port(),
                server.failure_domain().to_owned(),
            )
        })
        .collect();
    let expected = [(0, 9200, "south"), (1, 9300, "north"), (2, 9301, "south")];
    assert_eq!(
        servers,
        expected.map(|(id, port, domain)| (id, port, domain.to_owned()))
    );
}

/// Guards against a non-idempotent call that is treated as idempotent and may run twice.
#[test]
fn path_rules_decide_which_calls_are_idempotent() {
    let settings = Settings::parse(VALID).unwrap();
    let courts = &settings.services["courts"];
    for (method, path, idempotent) in [
        ("GET", "/status", true),
        ("HEAD", "/status", true),
        ("GET", "/toggle", false),
        ("GET", "/toggle?court=1", false),
        ("POST", "/lookup", true),
        ("POST", "/lookup?q=GET", true),
        ("POST", "/lookup/more", false),
        ("PUT", "/notes/7", true),
        ("PUT", "/lights/7", false),
        ("DELETE", "/notes/7", false),
    ] {
        assert_eq!(
            courts.is_idempotent(method, path),
            idempotent,
            "{method} {path}"
        );
    }
}

/// Guards against example files that are no longer valid, or whose keys are not the documented
/// ones.
#[test]
fn example_files_are_valid() {
    for text in [
        include_str!("../../../examples/luzquadra.ini"),
        include_str!("../../../examples/ode-thermal.ini"),
    ] {
        let settings = Settings::parse(text).unwrap_or_else(|faults| panic!("{faults}"));
        let sizes = (
            settings.servers.len(),
            settings.stores.len(),
            settings.keys.len(),
        );
        assert_eq!(sizes, (18, 2, 10));
        for (workspace, hashes) in &settings.keys {
            let key = format!("example-key-{workspace}");
            assert_eq!(hashes, &[blake3::hash(key.as_bytes())]);
        }
        for (operator, hashes) in &settings.operators {
            let key = format!("example-operator-key-{operator}");
            assert_eq!(
                hashes,
                &[KeyHash::from(*blake3::hash(key.as_bytes()).as_bytes())]
            );
        }
    }
}

/// Guards against a panic on malformed text, which is random text inserted into a valid file.
#[test]
fn parsing_random_text_does_not_panic() {
    #[allow(clippy::needless_pass_by_value)] // quickcheck generates owned values only
    fn edited(position: usize, insert: String) -> bool {
        let boundary = position % VALID.len();
        let text = format!("{}{insert}{}", &VALID[..boundary], &VALID[boundary..]);
        let whole = Settings::parse(&text).is_ok() || Settings::parse(&text).is_err();
        let alone = Settings::parse(&insert).is_err();
        whole && alone
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(40, 7))
        .tests(300)
        .quickcheck(edited as fn(usize, String) -> bool);
}
