//! Configuration changes under faults: the time until they are in force, and changes that are lost.
//!
//! The baseline runs beside the product on the same log: readers that poll the log as often as a
//! daemon does and do not notify each other. An auditor reads the records of the log directly and
//! applies [`ConfigFold`] to them, so the verdicts of the daemons are compared with the log itself.

use super::drive::runtime;
use super::{Experiment, RunOptions};
use crate::report::{Figures, Report};
use anvilgw_config::{ConfigFold, FoldOutcome, Outcome, RecordId};
use anvilgw_core::{LogService, LogSlice, Offset};
use anvilgw_standin::{LogFaults, MemoryLog};
use anvilgw_testbed::{Caller, Testbed, TestbedConfig};
use http::Method;
use indexmap::IndexMap;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use serde_json::{Value, json};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

pub(super) const EXPERIMENT: Experiment = Experiment {
    name: "config",
    about: "configuration changes by concurrent operators while the log service and a daemon fail",
    run,
};

const DAEMONS: usize = 18;
const CHANGES: usize = 200;
/// Operators who at the same time send a change for the same expected version.
const CONCURRENT_OPERATORS: usize = 2;
const SLOWEST_LIMIT_S: f64 = 3.0;
const LOG_FAULTS: LogFaults = LogFaults {
    outage: false,
    slow_ms: 40,
    lose_answer_probability: 0.1,
    lose_next_answers: 0,
    lose_request_probability: 0.0,
};
/// Duration of the outage of the log service.
const OUTAGE_DURATION: Duration = Duration::from_secs(3);
/// Index of the daemon that is killed and restarted during the outage.
const RESTARTED_DAEMON: usize = DAEMONS - 1;
/// Number of changes sent before the outage begins.
const OUTAGE_AT_CHANGE: usize = CHANGES / 2;
/// Interval in which the versions of daemons and log are read; the resolution of all times.
const OBSERVATION_INTERVAL: Duration = Duration::from_millis(5);
/// Poll interval of the baseline's readers, equal to that of a daemon in a fleet of this size.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Time of observation after the last change, in which it reaches all daemons.
const SETTLE_TIME: Duration = Duration::from_secs(4);

/// Times at which versions first appeared, relative to the start of the observation.
type VersionTimes = IndexMap<u64, Duration>;

/// Versions of a daemon or reader over time. Times are relative to the start of the observation.
#[derive(Default)]
struct VersionHistory {
    /// Each change of the version and its time.
    seen: Vec<(Duration, u64)>,
    /// Changes to a lower version.
    reverts: u64,
    /// Start of the daemon or reader.
    since: Duration,
    /// Time of the kill; `None` if it runs to the end.
    until: Option<Duration>,
}

impl VersionHistory {
    /// Records the version that is in force now.
    fn record(&mut self, now: Duration, version: u64) {
        let last = self.seen.last().map_or(0, |(_, version)| *version);
        if version < last {
            self.reverts += 1;
        }
        if version != last {
            self.seen.push((now, version));
        }
    }

    /// Returns for each version the time from its entry into the log, or from the start of this
    /// daemon if that is later, until it was in force here. A version that never came into force
    /// counts until `end`.
    fn delays<'a>(
        &'a self,
        log: &'a VersionTimes,
        end: Duration,
    ) -> impl Iterator<Item = Duration> + 'a {
        let until = self.until.unwrap_or(end);
        log.iter()
            .filter(move |(_, at)| **at < until)
            .filter_map(move |(version, at)| {
                let from = (*at).max(self.since);
                let reached = self.seen.iter().find(|(_, seen)| seen >= version);
                match reached {
                    Some((time, _)) => Some(time.saturating_sub(from)),
                    // A killed daemon cannot apply the version any more.
                    None if self.until.is_some() => None,
                    None => Some(end.saturating_sub(from)),
                }
            })
    }
}

/// Result of the auditor: the configuration according to the log.
#[derive(Default)]
struct Audit {
    /// Times at which the accepted versions entered the log.
    log: VersionTimes,
    /// Version of each accepted record.
    accepted: IndexMap<RecordId, u64>,
    /// Digest of the last configuration.
    digest: String,
}

/// A change that was reported to its operator as accepted.
struct AcceptedChange {
    record_id: RecordId,
    version: u64,
}

/// Outcomes that were reported to the operators.
#[derive(Default)]
struct OperatorOutcomes {
    accepted: Vec<AcceptedChange>,
    rejected: u64,
    /// Changes that were sent again, with the same record id, because the outcome was unknown; each
    /// further attempt counts.
    resent: u64,
    /// Changes whose outcome stayed unknown after all attempts.
    undecided: u64,
}

fn run(options: RunOptions) -> Report {
    let runtime = runtime();
    let report = runtime.block_on(measure(options));
    runtime.shutdown_background();
    report
}

async fn measure(options: RunOptions) -> Report {
    let mut bed = Testbed::start(TestbedConfig {
        daemons: DAEMONS,
        engines: 1,
        service_servers: 1,
        stores: 0,
        ..TestbedConfig::default()
    })
    .await
    .expect("the bed starts");
    bed.wait_for_epoch().await.expect("the fleet settles");
    bed.log.set_faults(LOG_FAULTS);
    let started = Instant::now();
    let stream = bed.settings(0).log.stream_name("config");
    let stop = Arc::new(AtomicBool::new(false));
    let auditor = spawn_auditor(&bed.log, &stream, started, &stop);
    let readers: Vec<_> = (0..DAEMONS)
        .map(|index| spawn_polling_reader(&bed.log, &stream, started, &stop, index))
        .collect();
    let operators = tokio::spawn(run_operators(bed.caller(), bed.log.clone(), options.seed));
    let observed = observe(&mut bed, started, operators).await;
    stop.store(true, Ordering::Release);
    let join = |thread: thread::JoinHandle<VersionHistory>| {
        thread.join().expect("a reader does not panic")
    };
    let baseline: Vec<_> = readers.into_iter().map(join).collect();
    let audit = auditor.join().expect("the auditor does not panic");
    let (histories, outcomes) = observed;
    let diverged = count_diverged(&bed, &audit).await;
    let end = started.elapsed();
    bed.stop().await;
    report(
        options, &audit, &histories, &baseline, &outcomes, diverged, end,
    )
}

/// Counts the daemons whose configuration differs from that of the auditor, or that do not answer.
async fn count_diverged(bed: &Testbed, audit: &Audit) -> usize {
    let caller = bed.caller();
    let mut count = 0;
    for daemon in 0..DAEMONS {
        let report = caller
            .call_admin(daemon, Method::GET, "/admin/config", &Value::Null)
            .await;
        let digest = report.ok().map(|report| report["digest"].clone());
        count += usize::from(digest != Some(json!(audit.digest)));
    }
    count
}

/// Records the versions of all daemons until the operators have ended and the last change has had
/// time to spread. Kills and restarts one daemon during the outage.
async fn observe(
    bed: &mut Testbed,
    started: Instant,
    operators: tokio::task::JoinHandle<OperatorOutcomes>,
) -> (Vec<VersionHistory>, OperatorOutcomes) {
    let mut histories: Vec<_> = (0..DAEMONS).map(|_| VersionHistory::default()).collect();
    let mut ended = Vec::new();
    let mut restart_at = None;
    let mut settled_at = None;
    loop {
        let now = started.elapsed();
        for (index, history) in histories.iter_mut().enumerate() {
            if let Some(daemon) = bed.daemon(index) {
                history.record(now, daemon.config_version());
            }
        }
        if bed.log.counters().refused > 0 && ended.is_empty() {
            bed.kill_daemon(RESTARTED_DAEMON).await;
            histories[RESTARTED_DAEMON].until = Some(now);
            ended.push(std::mem::take(&mut histories[RESTARTED_DAEMON]));
            restart_at = Some(now + OUTAGE_DURATION / 6);
        }
        if restart_at.is_some_and(|at| now >= at) {
            restart_at = None;
            histories[RESTARTED_DAEMON].since = now;
            bed.start_daemon(RESTARTED_DAEMON)
                .await
                .expect("a daemon starts");
        }
        if operators.is_finished() && now >= *settled_at.get_or_insert(now + SETTLE_TIME) {
            break;
        }
        tokio::time::sleep(OBSERVATION_INTERVAL).await;
    }
    histories.extend(ended);
    let outcomes = operators.await.expect("the operators do not panic");
    (histories, outcomes)
}

/// Sends the changes through daemons drawn at random, two at a time for the same expected version.
async fn run_operators(caller: Caller, log: MemoryLog, seed: u64) -> OperatorOutcomes {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut outcomes = OperatorOutcomes::default();
    let mut version = 2;
    for round in 0..CHANGES / CONCURRENT_OPERATORS {
        if round * CONCURRENT_OPERATORS == OUTAGE_AT_CHANGE {
            start_outage(log.clone());
        }
        let changes: Vec<_> = (0..CONCURRENT_OPERATORS)
            .map(|operator| {
                // Operators do not use the daemon that is killed.
                let daemon = rng.random_range(0..RESTARTED_DAEMON);
                let verb = ["instance_out", "instance_in"][round % 2];
                let instance = ["engine-0", "entry-0"][operator];
                let change = json!({ verb: instance });
                tokio::spawn(change_until_decided(
                    caller.clone(),
                    daemon,
                    version,
                    change,
                ))
            })
            .collect();
        for change in changes {
            let (id, resent, answer) = change.await.expect("an operator does not panic");
            outcomes.resent += resent;
            let current_version = answer["version"].as_u64().unwrap_or(0);
            match answer["verdict"].as_str() {
                Some("accepted") => outcomes.accepted.push(AcceptedChange {
                    record_id: id,
                    version: current_version,
                }),
                Some(_) => outcomes.rejected += 1,
                None => outcomes.undecided += 1,
            }
            version = version.max(current_version);
        }
    }
    outcomes
}

/// Starts the outage of the log service and spawns a task that ends it.
fn start_outage(log: MemoryLog) {
    log.set_faults(LogFaults {
        outage: true,
        ..LOG_FAULTS
    });
    tokio::spawn(async move {
        tokio::time::sleep(OUTAGE_DURATION).await;
        log.set_faults(LOG_FAULTS);
    });
}

/// Sends a change, and again with the same record id while its outcome is unknown. Returns the
/// record id, the number of repetitions and the last answer.
async fn change_until_decided(
    caller: Caller,
    daemon: usize,
    version: u64,
    change: Value,
) -> (RecordId, u64, Value) {
    const ATTEMPTS: u64 = 5;
    let record_id = RecordId::generate();
    let body = json!({
        "expected_version": version,
        "record_id": record_id.0,
        "change": change,
    });
    let mut answer = Value::Null;
    for attempt in 0..ATTEMPTS {
        let call = caller.call_admin(daemon, Method::POST, "/admin/config", &body);
        answer = call.await.unwrap_or_default();
        if answer["verdict"].is_string() {
            return (record_id, attempt, answer);
        }
    }
    (record_id, ATTEMPTS, answer)
}

/// Spawns the auditor, which reads the records past the faults of the log service and folds them.
fn spawn_auditor(
    log: &MemoryLog,
    stream: &str,
    started: Instant,
    stop: &Arc<AtomicBool>,
) -> thread::JoinHandle<Audit> {
    let (log, stream, stop) = (log.clone(), stream.to_owned(), Arc::clone(stop));
    thread::spawn(move || {
        let mut audit = Audit::default();
        let mut fold = ConfigFold::new();
        while !stop.load(Ordering::Acquire) {
            let now = started.elapsed();
            let from = fold.next_offset().unwrap_or(Offset(0)).0 as usize;
            for record in log.records(&stream).iter().skip(from) {
                let folded = fold.fold(record).expect("the records have no gap");
                if let FoldOutcome::Decided(decided) = folded
                    && let Outcome::Accepted { version } = decided.outcome
                {
                    audit.log.insert(version, now);
                    audit.accepted.insert(decided.record_id, version);
                }
            }
            thread::sleep(OBSERVATION_INTERVAL);
        }
        audit.digest = fold.current().digest().to_string();
        audit
    })
}

/// Spawns a reader of the baseline, which learns of changes only by polling the log. The last
/// reader starts over during the outage, as the daemon of the same index does.
fn spawn_polling_reader(
    log: &MemoryLog,
    stream: &str,
    started: Instant,
    stop: &Arc<AtomicBool>,
    index: usize,
) -> thread::JoinHandle<VersionHistory> {
    let (log, stream, stop) = (log.clone(), stream.to_owned(), Arc::clone(stop));
    thread::spawn(move || {
        let mut history = VersionHistory::default();
        let mut fold = ConfigFold::new();
        let mut restarted = index != RESTARTED_DAEMON;
        thread::sleep(POLL_INTERVAL * index as u32 / DAEMONS as u32);
        while !stop.load(Ordering::Acquire) {
            let from = fold.next_offset().unwrap_or(Offset(0));
            match log.read(&stream, from, usize::MAX, Duration::ZERO) {
                Ok(slice) => {
                    fold_all(&mut fold, &slice);
                    history.record(started.elapsed(), fold.current().version);
                }
                Err(_) if !restarted => {
                    restarted = true;
                    fold = ConfigFold::new();
                    history = VersionHistory {
                        since: started.elapsed(),
                        ..VersionHistory::default()
                    };
                }
                Err(_) => {}
            }
            thread::sleep(POLL_INTERVAL);
        }
        history
    })
}

fn fold_all(fold: &mut ConfigFold, slice: &LogSlice) {
    fold.fold_slice(slice, |_| {})
        .expect("the records have no gap");
}

/// Returns the maximum and the median of the seconds until a version is in force.
fn delays(histories: &[VersionHistory], log: &VersionTimes, end: Duration) -> (f64, f64) {
    let mut all: Vec<_> = histories.iter().flat_map(|t| t.delays(log, end)).collect();
    all.sort_unstable();
    let seconds = |delay: Option<&Duration>| delay.map_or(0.0, Duration::as_secs_f64);
    (seconds(all.last()), seconds(all.get(all.len() / 2)))
}

fn report(
    options: RunOptions,
    audit: &Audit,
    histories: &[VersionHistory],
    readers: &[VersionHistory],
    outcomes: &OperatorOutcomes,
    diverged: usize,
    end: Duration,
) -> Report {
    // Versions 1 and 2 are the initial lists, in force before the observation.
    let log: VersionTimes = audit
        .log
        .iter()
        .filter(|(v, _)| **v > 2)
        .map(|(v, t)| (*v, *t))
        .collect();
    let (slowest_s, median_s) = delays(histories, &log, end);
    let (polling_slowest_s, polling_median_s) = delays(readers, &log, end);
    let joined = histories.get(RESTARTED_DAEMON).and_then(|history| {
        let first = history.seen.first()?;
        Some(first.0.saturating_sub(history.since).as_secs_f64())
    });
    let reverts: u64 = histories.iter().map(|history| history.reverts).sum();
    let is_lost =
        |change: &&AcceptedChange| audit.accepted.get(&change.record_id) != Some(&change.version);
    let lost = outcomes.accepted.iter().filter(is_lost).count();
    let product = json!({
        "slowest_s": slowest_s,
        "median_s": median_s,
        "reverts": reverts,
        "accepted_and_lost": lost,
        "diverged_daemons": diverged,
        "changes_accepted": outcomes.accepted.len(),
        "changes_rejected": outcomes.rejected,
        "changes_undecided": outcomes.undecided,
        "changes_sent_again": outcomes.resent,
        "joined_in_outage_s": joined,
        "elapsed_s": end.as_secs_f64(),
    });
    let baseline = json!({"slowest_s": polling_slowest_s, "median_s": polling_median_s});
    let target = json!({
        "slowest_s": SLOWEST_LIMIT_S, "reverts": 0, "accepted_and_lost": 0, "diverged_daemons": 0,
    });
    let ratio = json!({
        "slowest": slowest_s / polling_slowest_s, "median": median_s / polling_median_s,
    });
    let object = |value: Value| value.as_object().cloned().unwrap_or_else(Figures::new);
    Report {
        experiment: EXPERIMENT.name,
        seed: options.seed,
        target: object(target),
        baseline: object(baseline),
        product: object(product),
        ratio: object(ratio),
        pass: slowest_s <= SLOWEST_LIMIT_S && reverts == 0 && lost == 0 && diverged == 0,
    }
}
