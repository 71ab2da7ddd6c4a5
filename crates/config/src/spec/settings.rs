//! Specification of the sections and keys of the settings file.

use super::ValueKind::*;
use super::{KeySpec, Occurrence, SectionKeys, SectionSpec, keys};

const MINUTE_MS: u64 = 60_000;
const HOUR_MS: u64 = 60 * MINUTE_MS;
const DAY_S: u64 = 86_400;
const U32_MAX: u64 = u32::MAX as u64;
const LINK_BYTES_PER_S_MAX: u64 = 1 << 50;
const EXAMPLE_HASH: &str = "af1349b9f5f9a1a6a0404dea36dcc9499bcb25c9adc112b7cc9a93cae41f3262";

const fn required_section(
    kind: &'static str,
    keys: &'static [KeySpec],
    description: &'static str,
) -> SectionSpec {
    SectionSpec {
        kind,
        occurrence: Occurrence::Required,
        keys: SectionKeys::Fixed(keys),
        description,
    }
}

const fn optional_section(
    kind: &'static str,
    keys: &'static [KeySpec],
    description: &'static str,
) -> SectionSpec {
    SectionSpec {
        kind,
        occurrence: Occurrence::Optional,
        keys: SectionKeys::Fixed(keys),
        description,
    }
}

const fn named_section(
    kind: &'static str,
    keys: &'static [KeySpec],
    description: &'static str,
) -> SectionSpec {
    SectionSpec {
        kind,
        occurrence: Occurrence::Named,
        keys: SectionKeys::Fixed(keys),
        description,
    }
}

/// Sections of the settings file, in the order of the reference page.
pub(crate) const SETTINGS: &[SectionSpec] = &[
    required_section(
        "daemon",
        DAEMON,
        "This process: who it is, where it listens and how it stops.",
    ),
    optional_section("limits", LIMITS, "What a caller may occupy."),
    required_section("log", LOG, "The platform's log service."),
    optional_section(
        "instances",
        INSTANCES,
        "The lagging list of instances, and the peers.",
    ),
    named_section(
        "domain",
        DOMAIN,
        "A failure domain. At least one is required.",
    ),
    named_section("model", MODEL, "A model that servers can run."),
    named_section(
        "server",
        SERVER,
        "A model server (backend server that runs models).",
    ),
    named_section(
        "service",
        SERVICE,
        "A plain service whose servers requests are passed to.",
    ),
    named_section("store", STORE, "A store of retained KV cache."),
    optional_section("weights", WEIGHTS, "Weights of the routing cost."),
    optional_section("budgets", BUDGETS, "Budgets that the whole fleet shares."),
    optional_section("claims", CLAIMS, "Claims of non-idempotent requests."),
    SectionSpec {
        kind: "keys",
        occurrence: Occurrence::Optional,
        keys: SectionKeys::OperatorNamed(KeySpec::required(
            "WORKSPACE",
            KeyHashes,
            EXAMPLE_HASH,
            "blake3 hashes of the bearer keys of this workspace; several allow a key to be replaced.",
        )),
        description: "Bearer keys of callers, one line per workspace.",
    },
    SectionSpec {
        kind: "operators",
        occurrence: Occurrence::Optional,
        keys: SectionKeys::OperatorNamed(KeySpec::required(
            "OPERATOR",
            KeyHashes,
            EXAMPLE_HASH,
            "blake3 hashes of the bearer keys of this operator.",
        )),
        description: "Bearer keys of operators, one line per operator. Their names are the authors of changes.",
    },
    optional_section("logging", LOGGING, "Log lines."),
    optional_section("trace", TRACE, "Spans, one per hop."),
    optional_section(
        "metrics",
        METRICS,
        "Metrics sent in statsd format over UDP.",
    ),
];

keys! { DAEMON =>
    required "index", Integer(0, 65_535), "0", "Number of the daemon, unique in the fleet.";
    required "instance", Name, "porto-a-entry-1", "Name of the instance it runs on.";
    required "failure_domain", Name, "porto-a", "Failure domain of the instance.";
    required "listen", ListenAddress, "10.1.0.11:8080", "Address for callers.";
    required "admin_listen", ListenAddress, "10.1.0.11:8081", "Address for operators.";
    required "peer_listen", Address, "10.1.0.11:8082", "Address for other daemons: membership over UDP and RPC over TCP on the same port.";
    optional "advertise", Address, "10.1.0.11:8082", "Address under which other daemons reach `peer_listen`; needed if that is unspecified (0.0.0.0).";
    default "deadline_default_ms", Integer(1, HOUR_MS), "30000", "Deadline of a request that names none.";
    default "deadline_max_ms", Integer(1, HOUR_MS), "120000", "Longest deadline that a request may ask for.";
    default "drain_ms", Integer(0, 2 * HOUR_MS), "150000", "Longest time that a stopping daemon waits for open requests.";
    default "balancer_lag_ms", Integer(0, MINUTE_MS), "2000", "Time that the load balancer needs to notice that a daemon is not ready.";
}

keys! { LIMITS =>
    default "header_bytes", Integer(1024, 1 << 20), "16384", "Size of the request headers.";
    default "body_bytes", Integer(1024, 1 << 30), "8388608", "Size of a request body.";
    default "request_read_ms", Integer(1, HOUR_MS), "10000", "Time for a caller to send a request.";
    default "connections", Integer(1, 1_000_000), "4000", "Open connections of callers per daemon.";
    default "connections_per_workspace", Integer(1, 1_000_000), "1000", "Open connections of one workspace per daemon.";
    default "streams_per_workspace", Integer(1, 1_000_000), "500", "Open streams of one workspace per daemon.";
    default "queue_ms", Integer(0, HOUR_MS), "10000", "Longest time that a request waits for admission.";
    default "silence_ms", Integer(100, MINUTE_MS), "1000", "Time without progress or ping answer after which a connection is silent and other servers are tried.";
}

keys! { LOG =>
    required "addresses", Addresses, "10.1.0.5:9000, 10.2.0.5:9000", "Addresses of the log service.";
    default "streams_prefix", Name, "anvilgw", "First part of the names of all streams, so that deployments can share a log service.";
    default "retention_s", Integer(60, 3_650 * DAY_S), "604800", "Time for which the log service retains records.";
    default "appends_per_s", Integer(1, 100_000), "400", "Appends that the log service accepts from the whole fleet.";
    default "request_ms", Integer(1, MINUTE_MS), "1000", "Time after which a call to the log service counts as lost.";
}

keys! { INSTANCES =>
    optional "addresses", AddressesOrNone, "10.1.0.6:9100", "Addresses of the platform's instance list.";
    optional "seeds", AddressesOrNone, "10.1.0.11:8082, 10.2.0.11:8082", "Peer addresses of daemons to join at start.";
    default "poll_ms", Integer(100, HOUR_MS), "5000", "Time between two reads of the instance list.";
}

keys! { DOMAIN =>
    default "region", Name, "main", "Region of the failure domain. Regions can be partitioned from each other.";
}

keys! { MODEL =>
    required "weight_version", Name, "2026-11", "Version of the weights; part of every KV block key.";
    default "block_tokens", Integer(1, 1_000_000), "4000", "Tokens per KV block.";
    default "bytes_per_token", Integer(1, 64), "4", "Bytes of prompt text per token, on average.";
    required "kv_bytes_per_token", Integer(1, 1 << 30), "131072", "Bytes of KV cache per token.";
    required "prefill_tokens_per_s", Integer(1, 100_000_000), "9000", "Prompt tokens that one server computes per second.";
    required "decode_ms_per_token", Number(0.001, 60_000.0), "22.5", "Time per generated token.";
    optional "adapters", NamesOrNone, "fixtures, billing", "Adapters that callers can ask for with this model.";
}

keys! { SERVER =>
    required "address", Address, "10.1.0.21:9200", "Address of the engine.";
    required "failure_domain", Name, "porto-a", "Failure domain of the server.";
    required "models", Names, "lumen-8b", "Models that the server can run.";
    required "capacity_concurrency", Integer(1, 100_000), "32", "Requests that a warm server runs at once.";
    default "cold_concurrency", Integer(1, 100_000), "2", "Requests that a cold server runs at once, over all daemons.";
    default "checks_fencing", YesNo, "no", "Whether the engine rejects orders with an old fencing token.";
    required "link_bytes_per_s", Integer(1, LINK_BYTES_PER_S_MAX), "1_250_000_000", "Bandwidth of its link for KV blocks.";
}

keys! { SERVICE =>
    required "servers", ServiceServers, "10.1.0.31:9300@porto-a, 10.2.0.31:9300@braga", "Addresses of the servers with their failure domains.";
    default "capacity_concurrency", Integer(1, 100_000), "32", "Requests that one warm server runs at once.";
    default "cold_concurrency", Integer(1, 100_000), "2", "Requests that one cold server runs at once, over all daemons.";
    default "reports_load", YesNo, "no", "Whether the servers answer `GET /control/load`.";
    optional "idempotent", PathRules, "GET /status/*, POST /lookup", "Calls that may run more than once. Without a rule, GET and HEAD are idempotent and all other methods are not.";
    optional "non_idempotent", PathRules, "GET /toggle", "Calls that must run at most once. Wins over `idempotent`.";
}

keys! { STORE =>
    required "address", Address, "10.1.0.41:9400", "Address of the store instance.";
    required "failure_domain", Name, "porto-a", "Failure domain of the store.";
    required "link_bytes_per_s", Integer(1, LINK_BYTES_PER_S_MAX), "1_250_000_000", "Bandwidth of its link.";
}

keys! { WEIGHTS =>
    default "ttft", Number(0.0, 1e6), "1", "Cost of one second of time to first token.";
    default "recompute", Number(0.0, 1e6), "0.05", "Cost of 1,000 recomputed prompt tokens.";
    default "link", Number(0.0, 1e6), "0.0002", "Cost of 1,000,000 bytes on a link.";
}

keys! { BUDGETS =>
    default "weight_loads", Integer(1, 10_000), "3", "Servers that load weights at once.";
    default "retries_per_s", Integer(0, U32_MAX), "50", "Retries and hedges of idempotent work over all daemons.";
}

keys! { CLAIMS =>
    default "partitions", Integer(1, 100), "16", "Number of claim streams. Must not change while claims are retained.";
    default "min_interval_ms", Integer(1, MINUTE_MS), "80", "Mean time between two appends to one partition under load.";
    default "lifetime_s", Integer(1, 3_650 * DAY_S), "86400", "Age up to which an idempotency key is accepted.";
    default "margin_s", Integer(1, DAY_S), "120", "Allowed difference between the clocks of callers and daemons.";
    default "undated_keys", OneOf(&["refuse", "accept"]), "refuse", "What happens to an idempotency key that carries no time.";
    default "grace_ms", Integer(0, HOUR_MS), "5000", "Time after its deadline at which an open claim without a holder ends as unknown.";
    default "appends_per_s", Integer(1, 100_000), "250", "Share of the appends per second that claims may use.";
}

keys! { LOGGING =>
    default "level", OneOf(&["off", "error", "warn", "info", "debug", "trace"]), "info", "Least important level that is written.";
    default "output", Output, "stderr", "Where the lines are written; a file is appended to.";
}

keys! { TRACE =>
    default "output", Output, "none", "Where the spans are written; a file is appended to.";
    default "sample_percent", Number(0.0, 100.0), "100", "Share of requests whose spans are written.";
}

keys! { METRICS =>
    optional "statsd_address", Address, "127.0.0.1:8125", "Address of the statsd receiver. Without it no metrics are sent.";
    default "prefix", Name, "anvilgw", "First part of the names of all metrics.";
    default "interval_ms", Integer(100, HOUR_MS), "10000", "Time between two reports.";
}
