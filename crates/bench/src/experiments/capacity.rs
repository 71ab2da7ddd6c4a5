//! Costs of control-plane operations at the two-year size, for the capacity page.
//!
//! Each figure is the processor time or memory of one operation of the daemon's own code, at the
//! number of daemons, workspaces and backend servers that the design is for.

use super::RunOptions;
use crate::report::{Figures, Report};
use anvilgw_claims::{
    Attempt, Batch, BatchId, ClaimKey, ClaimRequest, KeyAgeLimits, KeyTime, PartitionFold, Record,
    RecordedAnswer, RequestDigest,
};
use anvilgw_config::{
    ConfigChange, ConfigFold, ConfigRecord, Entitlement, Entitlements, Plan, Plans, Priority,
    RecordId,
};
use anvilgw_core::{AttemptId, DaemonId, LogRecord, Offset};
use anvilgw_fleet::{BudgetId, Budgets, Epoch, RecordId as EpochRecordId, Split};
use rustix::time::{ClockId, clock_gettime};
use serde_json::{Value, json};
use std::time::Duration;

const DAEMONS: u32 = 410;
const SERVERS: u32 = 600;
const WORKSPACES: u32 = 280;
const MODELS: usize = 25;
/// Budgets of a workspace: the requests, tokens and concurrency of its plan.
const BUDGETS_PER_WORKSPACE: u32 = 3;
/// Rate at which a daemon moves budget shares.
const TICKS_PER_S: f64 = 10.0;
/// Measured ticks.
const TICKS: u32 = 50;
/// Measured configuration changes.
const CHANGES: u64 = 20;
const CHANGES_PER_DAY: f64 = 1_200.0;
const SECONDS_PER_DAY: f64 = 86_400.0;
const CLAIM_BATCHES: u64 = 5_000;
const CLAIMS_PER_BATCH: u64 = 20;
/// Limit of the processor time of ticks and configuration changes, in percent of a core.
const CORE_PERCENT_MAX: f64 = 1.5;
/// Limit of the resident memory of the process.
const MEMORY_MB_MAX: f64 = 256.0;
const PAGE_BYTES: u64 = 4_096;

pub(crate) const EXPERIMENT: super::Experiment = super::Experiment {
    name: "capacity",
    about: "processor time and memory of control operations at the two-year size",
    run,
};

/// Returns the processor time of the calling thread.
fn thread_cpu_time() -> Duration {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}

/// Returns the resident memory of the process in bytes, or 0 if the kernel does not tell.
fn resident_bytes() -> u64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1);
    pages
        .and_then(|pages| pages.parse::<u64>().ok())
        .map_or(0, |pages| pages * PAGE_BYTES)
}

fn daemon(index: u32) -> DaemonId {
    DaemonId {
        index,
        incarnation: 1,
    }
}

fn epoch(number: u64) -> Epoch {
    Epoch {
        number,
        members: (0..DAEMONS).map(daemon).collect(),
        record: EpochRecordId(u128::from(number)),
    }
}

/// Processor time of one tick and of one change of the epoch.
struct BudgetCosts {
    tick_us: f64,
    epoch_us: f64,
}

fn measure_budgets() -> BudgetCosts {
    let mut budgets = Budgets::new(daemon(7));
    let mut now = Duration::from_secs(1);
    budgets.on_epoch(&epoch(1), now);
    for server in 0..SERVERS {
        budgets.set_capacity(BudgetId(1 << 24 | server), Split::Owner, 2, now);
    }
    for index in 0..WORKSPACES * BUDGETS_PER_WORKSPACE {
        budgets.set_capacity(BudgetId(3 << 24 | index), Split::Even, 8_000, now);
    }
    now += Duration::from_secs(10);
    let began = thread_cpu_time();
    budgets.on_epoch(&epoch(2), now);
    let epoch_us = (thread_cpu_time() - began).as_secs_f64() * 1e6;
    now += Duration::from_secs(10);
    let began = thread_cpu_time();
    for _ in 0..TICKS {
        now += Duration::from_millis(100);
        let actions = budgets.tick(true, now, |_| true);
        std::hint::black_box(actions);
    }
    BudgetCosts {
        tick_us: (thread_cpu_time() - began).as_secs_f64() * 1e6 / f64::from(TICKS),
        epoch_us,
    }
}

/// Returns plans and entitlements of all workspaces.
fn plans_and_entitlements(requests_per_s: u32) -> (Plans, Entitlements) {
    let (mut plans, mut entitlements) = (Plans::default(), Entitlements::default());
    for index in 0..WORKSPACES {
        let name = format!("workspace-{index:03}");
        let plan = Plan {
            requests_per_s,
            tokens_per_s: 12_000,
            burst_requests: 16,
            burst_tokens: 36_000,
            concurrency: 8,
            weight: 100,
            priority: Priority::Interactive,
        };
        plans.workspaces.insert(name.clone(), plan);
        let entitlement = Entitlement {
            models: (0..MODELS).map(|model| format!("model-{model}")).collect(),
            adapters: Vec::new(),
            services: vec!["courts".to_owned()],
        };
        entitlements.workspaces.insert(name, entitlement);
    }
    (plans, entitlements)
}

/// Processor time of one change, and size of the serialized configuration.
struct ConfigCosts {
    change_ms: f64,
    state_bytes: usize,
}

fn measure_config() -> ConfigCosts {
    let mut fold = ConfigFold::new();
    let mut spent = Duration::ZERO;
    for version in 0..CHANGES {
        let (plans, entitlements) = plans_and_entitlements(8 + version as u32);
        let change = match version {
            0 => ConfigChange::Entitlements(entitlements),
            _ => ConfigChange::Plans(plans),
        };
        let record = ConfigRecord {
            record_id: RecordId::generate(),
            author: "operator".to_owned(),
            written_ms: version,
            expected_version: version,
            change,
        };
        let payload = record.encode().unwrap_or_default();
        let record = LogRecord {
            offset: Offset(version),
            payload,
        };
        let began = thread_cpu_time();
        // The assertion below fails if a record is refused.
        let _ = fold.fold(&record);
        spent += thread_cpu_time() - began;
    }
    assert_eq!(fold.current().version, CHANGES, "all changes are accepted");
    let state = serde_json::to_vec(&*fold.current()).unwrap_or_default();
    ConfigCosts {
        change_ms: spent.as_secs_f64() * 1e3 / CHANGES as f64,
        state_bytes: state.len(),
    }
}

/// Returns a batch of claims, each with its outcome.
fn claim_batch(number: u64) -> Batch {
    let wall_ms = 1_000_000 + number;
    let mut records = Vec::new();
    for at in 0..CLAIMS_PER_BATCH {
        let id = number * CLAIMS_PER_BATCH + at;
        let key = ClaimKey(u128::from(id) << 32 | 1);
        let attempt = Attempt {
            holder: daemon((id % u64::from(DAEMONS)) as u32),
            number: AttemptId(id),
        };
        records.push(Record::Claim(ClaimRequest {
            key,
            body: RequestDigest([1; 32]),
            attempt,
            deadline_ms: wall_ms + 30_000,
            key_time: KeyTime(wall_ms),
        }));
        records.push(Record::Outcome {
            key,
            attempt,
            answer: RecordedAnswer::new(200, "application/json", &[b'x'; 100], 4_096),
        });
    }
    Batch {
        id: BatchId {
            writer: daemon(1),
            sequence: number,
        },
        wall_ms,
        after: Offset(number.saturating_sub(1)),
        records,
    }
}

/// Processor time and memory of one claim with its outcome, and its size in the log.
struct ClaimCosts {
    claim_us: f64,
    bytes_per_key: f64,
    bytes_per_claim_in_log: f64,
}

fn measure_claims() -> ClaimCosts {
    let mut fold = PartitionFold::new(KeyAgeLimits::default(), Offset(0));
    let before = resident_bytes();
    let mut spent = Duration::ZERO;
    let mut log_bytes = 0;
    for number in 0..CLAIM_BATCHES {
        let payload = claim_batch(number).encode().unwrap_or_default();
        log_bytes += payload.len();
        let record = LogRecord {
            offset: Offset(number),
            payload,
        };
        let began = thread_cpu_time();
        // The assertion below fails if a batch is refused.
        let _ = fold.apply(&record);
        spent += thread_cpu_time() - began;
    }
    let keys = CLAIM_BATCHES * CLAIMS_PER_BATCH;
    assert_eq!(fold.len() as u64, keys, "all claims are folded");
    let fold_bytes = resident_bytes().saturating_sub(before);
    ClaimCosts {
        claim_us: spent.as_secs_f64() * 1e6 / keys as f64,
        bytes_per_key: fold_bytes as f64 / keys as f64,
        bytes_per_claim_in_log: log_bytes as f64 / keys as f64,
    }
}

/// Returns the fields of a JSON object; no fields for any other value.
fn figures(values: Value) -> Figures {
    match values {
        Value::Object(figures) => figures,
        _ => Figures::new(),
    }
}

fn run(options: RunOptions) -> Report {
    let budgets = measure_budgets();
    let config = measure_config();
    let claims = measure_claims();
    let tick_core_percent = budgets.tick_us * TICKS_PER_S / 1e6 * 100.0;
    let config_core_percent = config.change_ms * CHANGES_PER_DAY / SECONDS_PER_DAY / 1e3 * 100.0;
    let core_percent = tick_core_percent + config_core_percent;
    let memory_mb = resident_bytes() as f64 / 1e6;
    Report {
        experiment: EXPERIMENT.name,
        seed: options.seed,
        target: figures(json!({
            "control_core_percent_max": CORE_PERCENT_MAX,
            "memory_mb_max": MEMORY_MB_MAX,
        })),
        baseline: Figures::new(),
        product: figures(json!({
            "budgets_tick_us": budgets.tick_us,
            "budgets_tick_core_percent": tick_core_percent,
            "budgets_epoch_us": budgets.epoch_us,
            "config_change_ms": config.change_ms,
            "config_core_percent": config_core_percent,
            "config_state_bytes": config.state_bytes,
            "claim_fold_us": claims.claim_us,
            "claim_bytes_per_key": claims.bytes_per_key,
            "claim_bytes_in_log": claims.bytes_per_claim_in_log,
            "control_core_percent": core_percent,
            "memory_mb": memory_mb,
        })),
        ratio: Figures::new(),
        pass: core_percent <= CORE_PERCENT_MAX && memory_mb <= MEMORY_MB_MAX,
    }
}
