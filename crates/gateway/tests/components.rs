//! Small components without I/O to other processes: age of the configuration and lookups in it,
//! event streams, load reports and the log.

use anvilgw_gateway::configuration::{
    ClientLimits, Configuration, Route, RouteKind, RouteTarget, Workspace,
};
use anvilgw_gateway::freshness::ConfigurationFreshness;
use anvilgw_gateway::log::{Event, EventLog, Importance};
use anvilgw_gateway::peer_message::PeerMessage;
use anvilgw_gateway::peers::{
    DATAGRAM_MAX_BYTES, EngineLoad, EngineTotal, LoadReporter, ReportScope,
};
use anvilgw_gateway::sse::{EventScanner, EventSplitter};
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::Duration;

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Guards against withdrawn keys that keep working at a daemon that cannot read the metadata store.
#[test]
fn configuration_copy_is_current_for_a_limited_time_after_its_read_began() {
    let mut freshness = ConfigurationFreshness::new(at(3_500));
    assert!(!freshness.is_current(at(0)), "nothing was read");
    freshness.on_verified(at(1_000));
    assert!(freshness.is_current(at(4_499)));
    assert!(!freshness.is_current(at(4_500)));
    freshness.on_verified(at(500));
    assert!(
        !freshness.is_current(at(4_500)),
        "an older read proves nothing new"
    );
}

fn route(name: &str, host: &str, path_prefix: &str) -> Route {
    Route {
        name: name.to_owned(),
        host: host.to_owned(),
        path_prefix: path_prefix.to_owned(),
        kind: RouteKind::Idempotent,
        timeout: at(1_000),
        latency_target: at(100),
        priority: 1,
        targets: vec![RouteTarget {
            service: "s".to_owned(),
            weight: 1.0,
        }],
        attempts_max: 1,
        is_public: false,
        allowed_regions: Vec::new(),
    }
}

struct RouteCase {
    host: &'static str,
    path: &'static str,
    route: Option<&'static str>,
}

/// Guards against requests that reach the service of another route.
#[test]
fn longest_path_prefix_of_the_host_selects_the_route() {
    let routes = vec![
        route("all", "a.example", "/"),
        route("manual", "a.example", "/manual/"),
        route("manual-part", "a.example", "/manual/part/"),
        route("other", "b.example", "/manual/"),
    ];
    let configuration = Configuration::new(1, routes, Vec::new(), None, ClientLimits::default());
    let cases = [
        RouteCase {
            host: "a.example",
            path: "/manual/part/3",
            route: Some("manual-part"),
        },
        RouteCase {
            host: "a.example",
            path: "/manual/parts",
            route: Some("manual"),
        },
        RouteCase {
            host: "a.example",
            path: "/manual",
            route: Some("all"),
        },
        RouteCase {
            host: "A.Example:8080",
            path: "/manual/x",
            route: Some("manual"),
        },
        RouteCase {
            host: "b.example",
            path: "/manual/part/",
            route: Some("other"),
        },
        RouteCase {
            host: "b.example",
            path: "/",
            route: None,
        },
        RouteCase {
            host: "c.example",
            path: "/manual/",
            route: None,
        },
    ];
    for case in cases {
        let found = configuration.route_for(case.host, case.path);
        let name = found.map(|route| route.name.as_str());
        assert_eq!(name, case.route, "{} {}", case.host, case.path);
    }
}

/// Guards against keys that reach another workspace.
#[test]
fn a_key_belongs_to_one_workspace() {
    let workspace = |name: &str, keys: &[&str]| Workspace {
        name: name.to_owned(),
        keys: keys.iter().map(|key| (*key).to_owned()).collect(),
        priority: None,
        is_isolated: false,
        allowed_regions: Vec::new(),
    };
    let workspaces = vec![workspace("club", &["k1", "k2"]), workspace("lab", &["k3"])];
    let configuration = Configuration::new(
        1,
        Vec::new(),
        Vec::new(),
        Some(workspaces),
        ClientLimits::default(),
    );
    let name = |key| configuration.workspace_for(key).map(|one| one.name.clone());
    assert_eq!(name("k2").as_deref(), Some("club"));
    assert_eq!(name("k3").as_deref(), Some("lab"));
    assert_eq!(name(""), None);
}

/// What a splitter made of a stream that arrived in chunks.
struct SplitStream {
    splitter: EventSplitter,
    ids: Vec<Option<u64>>,
    passed: Vec<u8>,
}

fn split(stream: &[u8], chunk_bytes: usize) -> SplitStream {
    let mut split = SplitStream {
        splitter: EventSplitter::default(),
        ids: Vec::new(),
        passed: Vec::new(),
    };
    for chunk in stream.chunks(chunk_bytes) {
        split.splitter.push(chunk);
        while let Some(event) = split.splitter.next_event() {
            split.ids.push(event.id);
            split.passed.extend_from_slice(&event.bytes);
        }
    }
    split
}

/// Guards against events that are passed on in part, lost or duplicated, depending on how their
/// bytes are divided into chunks.
#[test]
fn event_splitting_does_not_depend_on_chunk_boundaries() {
    let stream = b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 30\ndata: c\n\nid: 31\nda";
    for chunk_bytes in 1..stream.len() {
        let SplitStream {
            splitter,
            ids,
            passed,
        } = split(stream, chunk_bytes);
        assert_eq!(ids, [Some(1), Some(2), Some(30)], "chunks of {chunk_bytes}");
        assert!(stream.starts_with(&passed), "chunks of {chunk_bytes}");
        assert!(splitter.has_partial_event(), "chunks of {chunk_bytes}");
    }
}

/// Guards against whole streams that are changed or taken for truncated ones because their lines
/// end with CR or CRLF.
#[test]
fn event_splitting_keeps_whole_streams_with_any_line_end() {
    let lf = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
    for stream in [
        lf.to_owned(),
        lf.replace('\n', "\r\n"),
        lf.replace('\n', "\r"),
    ] {
        for chunk_bytes in 1..stream.len() {
            let mut split = split(stream.as_bytes(), chunk_bytes);
            let case = format!("{stream:?} in chunks of {chunk_bytes}");
            assert_eq!(split.ids, [Some(1), Some(2)], "{case}");
            assert!(!split.splitter.has_partial_event(), "{case}");
            split.passed.extend_from_slice(&split.splitter.take_rest());
            assert_eq!(split.passed, stream.as_bytes(), "{case}");
        }
    }
}

/// Guards against a stream that ends within an event and is taken for a complete one, and the
/// reverse, for each way to end a line and however its bytes are divided into pieces.
#[test]
fn the_end_of_an_event_is_an_empty_line() {
    struct Case {
        stream: &'static str,
        is_between_events: bool,
    }
    let cases = [
        ("", true),
        ("id: 1\ndata: a\n\n", true),
        ("id: 1\r\ndata: a\r\n\r\n", true),
        ("id: 1\rdata: a\r\r", true),
        ("id: 1\ndata: a\r\n\n", true),
        ("id: 1\n\nid: 2\n\n", true),
        (":\n\n", true),
        ("data: a\n\n\n", true),
        ("i", false),
        ("id: 1\ndata: a", false),
        ("id: 1\ndata: a\n", false),
        ("id: 1\r\ndata: a\r\n", false),
        ("id: 1\r\ndata: a\r", false),
        ("id: 1\n\nid: 2", false),
        ("id: 1\r\n\r\ni", false),
        ("data: a\n\n:", false),
    ]
    .map(|(stream, is_between_events)| Case {
        stream,
        is_between_events,
    });
    for case in cases {
        for piece_bytes in 1..=case.stream.len().max(1) {
            let mut scanner = EventScanner::default();
            for piece in case.stream.as_bytes().chunks(piece_bytes) {
                scanner.scan(piece);
            }
            assert_eq!(
                scanner.is_between_events(),
                case.is_between_events,
                "{:?} in pieces of {piece_bytes}",
                case.stream
            );
        }
    }
}

/// Guards against reports that do not fit into a datagram, and against datagrams that are not
/// reports.
#[test]
fn load_reports_fit_into_a_datagram() {
    let loads: Vec<EngineLoad> = (0..600)
        .map(|index| EngineLoad::new(u32::MAX - index, u64::MAX - 7))
        .collect();
    let mut reporter = LoadReporter::new(ReportScope::Fleet, u64::MAX);
    let parts = reporter.next_reports(&loads, loads.len(), u64::MAX);
    let mut reported = 0;
    for part in parts {
        let message = PeerMessage::Load(part.fit_datagram());
        let datagram = message.encode().expect("encodes");
        let length = datagram.len();
        assert!(length <= DATAGRAM_MAX_BYTES, "{length} bytes");
        let decoded = PeerMessage::decode(&datagram).expect("decodes");
        let PeerMessage::Load(report) = decoded else {
            panic!("not a load report: {decoded:?}");
        };
        reported += report.loads.len();
        assert!(PeerMessage::decode(&datagram[..20]).is_err());
    }
    // A part to which more engines hash than fit omits a few of them.
    assert!(reported >= 560, "{reported} of 600 engines reported");
    assert!(PeerMessage::decode(b"").is_err());
}

/// Guards against load reports with the work at engines that do not fit into a datagram, lose the
/// work, or change the datagrams of daemons that do not report it.
#[test]
fn load_reports_with_work_fit_into_a_datagram() {
    let total = EngineTotal {
        tokens: u64::MAX - 7,
        uncomputed_tokens: 1_000_000_000,
        requests: 1_000_000,
    };
    let loads: Vec<EngineLoad> = (0..600)
        .map(|index| EngineLoad::with_work(u32::MAX - index, total))
        .collect();
    let mut reporter = LoadReporter::new(ReportScope::Fleet, u64::MAX).with_work();
    let mut reported = 0;
    for part in reporter.next_reports(&loads, loads.len(), u64::MAX) {
        let part = part.fit_datagram();
        let datagram = PeerMessage::Load(part.clone()).encode().expect("encodes");
        assert!(datagram.len() <= DATAGRAM_MAX_BYTES, "{}", datagram.len());
        let decoded = PeerMessage::decode(&datagram).expect("decodes");
        reported += part.loads.len();
        assert_eq!(decoded, PeerMessage::Load(part));
        assert!(PeerMessage::decode(&datagram[..20]).is_err());
    }
    assert!(reported >= 560, "{reported} of 600 engines reported");
    let plain = [EngineLoad::new(7, 64)];
    let reports = LoadReporter::new(ReportScope::Daemon, 1).next_reports(&plain, 1, 2);
    let datagrams = reports
        .into_iter()
        .map(|report| PeerMessage::Load(report).encode().expect("encodes"));
    let expected: &[u8] = &[0, 1, 2, 0, 1, 7, 2];
    assert_eq!(datagrams.collect::<Vec<_>>(), [expected]);
}

/// Guards against idle daemons that wake all others with reports that contain nothing new.
#[test]
fn idle_daemon_reports_zero_load_once() {
    struct Case {
        name: &'static str,
        tokens: &'static [u64],
        reports: usize,
    }
    let cases = [
        Case {
            name: "the first report is sent",
            tokens: &[],
            reports: 1,
        },
        Case {
            name: "nothing new to report",
            tokens: &[],
            reports: 0,
        },
        Case {
            name: "load",
            tokens: &[100],
            reports: 1,
        },
        Case {
            name: "unchanged load, since others drop old reports",
            tokens: &[100],
            reports: 1,
        },
        Case {
            name: "the load has ended",
            tokens: &[],
            reports: 1,
        },
        Case {
            name: "zero load was reported already",
            tokens: &[],
            reports: 0,
        },
    ];
    let mut reporter = LoadReporter::new(ReportScope::Daemon, 1);
    for (sequence, case) in cases.iter().enumerate() {
        let loads = case.tokens.iter().map(|tokens| EngineLoad::new(7, *tokens));
        let reports = reporter.next_reports(&loads.collect::<Vec<_>>(), 18, sequence as u64);
        assert_eq!(reports.len(), case.reports, "{}", case.name);
    }
}

/// An output that blocks forever.
struct BlockedOutput;

impl Write for BlockedOutput {
    fn write(&mut self, _: &[u8]) -> std::io::Result<usize> {
        loop {
            std::thread::park();
        }
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Guards against requests that wait because the log's output is blocked. The test ends only if
/// writing never blocks.
#[test]
fn writing_the_log_never_blocks() {
    let log = EventLog::start(BlockedOutput).expect("thread");
    for index in 0..20_000 {
        let importance = if index % 2 == 0 {
            Importance::Routine
        } else {
            Importance::Notable
        };
        log.write(importance, index, &Event::Stopping { in_flight: 0 });
    }
}

/// An output whose contents the test can inspect.
#[derive(Clone, Default)]
struct SharedOutput(Arc<Mutex<Vec<u8>>>);

impl Write for SharedOutput {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.lock().expect("lock").extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Guards against a daemon that exits while its last lines are still buffered, so that its log
/// does not show that it stopped.
#[test]
fn flush_returns_after_the_last_lines_are_written() {
    let output = SharedOutput::default();
    let log = EventLog::start(output.clone()).expect("thread");
    let stopped = Event::Stopped { in_flight: 0 };
    log.write(Importance::Notable, 1, &stopped);
    log.flush(Duration::from_secs(30));
    let written = output.0.lock().expect("lock").clone();
    let text = String::from_utf8(written).expect("text");
    assert!(text.contains("stopped"), "{text}");
}
