//! Configuration changes under faults: how long they take to be in force, and what is lost.
//!
//! The baseline runs beside the product on the same log: readers that poll the log as often as a
//! daemon does and tell each other nothing. An auditor reads the records of the log directly and
//! decides them with the fold, so the verdicts of daemons are compared with the log itself.

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
    about: "configuration changes by racing operators while the log and a daemon fail",
    run,
};

const DAEMONS: usize = 18;
const CHANGES: usize = 200;
/// Operators who send a change for the same version at the same time.
const RACERS: usize = 2;
const SLOWEST_LIMIT_S: f64 = 3.0;
const LOG_FAULTS: LogFaults = LogFaults {
    outage: false,
    slow_ms: 40,
    lose_answer_probability: 0.1,
    lose_next_answers: 0,
    lose_request_probability: 0.0,
};
const OUTAGE: Duration = Duration::from_secs(3);
/// The daemon that is killed and joins again during the outage.
const RESTARTED: usize = DAEMONS - 1;
/// Number of the change before which the outage begins.
const OUTAGE_AT: usize = CHANGES / 2;
/// Resolution of the observation.
const LOOK: Duration = Duration::from_millis(5);
/// Poll interval of the baseline's readers: that of a daemon in a fleet of this size.
const POLL: Duration = Duration::from_millis(500);
/// Time for the last change to reach everybody.
const SETTLE: Duration = Duration::from_secs(4);

/// When a version was first seen, since the start of the observation.
type Seen = IndexMap<u64, Duration>;

/// The versions that a daemon or reader had over time.
#[derive(Default)]
struct Track {
    seen: Vec<(Duration, u64)>,
    reverts: u64,
    /// When it began: it can have no version earlier.
    since: Duration,
    /// When it ended.
    until: Option<Duration>,
}

impl Track {
    fn note(&mut self, now: Duration, version: u64) {
        let last = self.seen.last().map_or(0, |(_, version)| *version);
        if version < last {
            self.reverts += 1;
        }
        if version != last {
            self.seen.push((now, version));
        }
    }

    /// Time from each version's entry into the log, or from the start of this daemon, until it was in
    /// force here. A version that never came counts until `end`.
    fn delays<'a>(&'a self, log: &'a Seen, end: Duration) -> impl Iterator<Item = Duration> + 'a {
        let until = self.until.unwrap_or(end);
        log.iter()
            .filter(move |(_, at)| **at < until)
            .filter_map(move |(version, at)| {
                let from = (*at).max(self.since);
                let reached = self.seen.iter().find(|(_, seen)| seen >= version);
                match reached {
                    Some((time, _)) => Some(time.saturating_sub(from)),
                    // A daemon that was killed owes nothing.
                    None if self.until.is_some() => None,
                    None => Some(end.saturating_sub(from)),
                }
            })
    }
}

/// What the auditor knows.
#[derive(Default)]
struct Audit {
    log: Seen,
    accepted: IndexMap<RecordId, u64>,
    digest: String,
}

/// A change that an operator was told to be accepted.
struct Told {
    record_id: RecordId,
    version: u64,
}

/// Outcomes that operators were told.
#[derive(Default)]
struct Verdicts {
    accepted: Vec<Told>,
    rejected: u64,
    /// Sent again with the same record id because the outcome was not known.
    repeated: u64,
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
    let auditor = audit(&bed.log, &stream, started, &stop);
    let readers: Vec<_> = (0..DAEMONS)
        .map(|index| poll(&bed.log, &stream, started, &stop, index))
        .collect();
    let operators = tokio::spawn(operate(bed.caller(), bed.log.clone(), options.seed));
    let tracks = observe(&mut bed, started, operators).await;
    stop.store(true, Ordering::Release);
    let join = |thread: thread::JoinHandle<Track>| thread.join().expect("a reader does not panic");
    let baseline: Vec<_> = readers.into_iter().map(join).collect();
    let audit = auditor.join().expect("the auditor does not panic");
    let (tracks, verdicts) = tracks;
    let diverged = diverged(&bed, &audit).await;
    let end = started.elapsed();
    bed.stop().await;
    report(
        options, &audit, &tracks, &baseline, &verdicts, diverged, end,
    )
}

/// Daemons whose configuration differs from what the log leads to.
async fn diverged(bed: &Testbed, audit: &Audit) -> usize {
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

/// Watches all daemons until the operators end, and replaces one during the outage.
async fn observe(
    bed: &mut Testbed,
    started: Instant,
    operators: tokio::task::JoinHandle<Verdicts>,
) -> (Vec<Track>, Verdicts) {
    let mut tracks: Vec<_> = (0..DAEMONS).map(|_| Track::default()).collect();
    let mut ended = Vec::new();
    let mut restart_at = None;
    let mut settled_at = None;
    loop {
        let now = started.elapsed();
        for (index, track) in tracks.iter_mut().enumerate() {
            if let Some(daemon) = bed.daemon(index) {
                track.note(now, daemon.config_version());
            }
        }
        if bed.log.counters().refused > 0 && ended.is_empty() {
            bed.kill_daemon(RESTARTED).await;
            tracks[RESTARTED].until = Some(now);
            ended.push(std::mem::take(&mut tracks[RESTARTED]));
            restart_at = Some(now + OUTAGE / 6);
        }
        if restart_at.is_some_and(|at| now >= at) {
            restart_at = None;
            tracks[RESTARTED].since = now;
            bed.start_daemon(RESTARTED).await.expect("a daemon starts");
        }
        if operators.is_finished() && now >= *settled_at.get_or_insert(now + SETTLE) {
            break;
        }
        tokio::time::sleep(LOOK).await;
    }
    tracks.extend(ended);
    let verdicts = operators.await.expect("the operators do not panic");
    (tracks, verdicts)
}

/// Sends the changes, two at a time for the same version, through daemons drawn at random.
async fn operate(caller: Caller, log: MemoryLog, seed: u64) -> Verdicts {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut verdicts = Verdicts::default();
    let mut version = 2;
    for round in 0..CHANGES / RACERS {
        if round * RACERS == OUTAGE_AT {
            outage(log.clone());
        }
        let changes: Vec<_> = (0..RACERS)
            .map(|racer| {
                // The killed daemon answers no operator.
                let daemon = rng.random_range(0..RESTARTED);
                let verb = ["instance_out", "instance_in"][round % 2];
                let instance = ["engine-0", "entry-0"][racer];
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
            let (id, repeated, answer) = change.await.expect("an operator does not panic");
            verdicts.repeated += repeated;
            let told = answer["version"].as_u64().unwrap_or(0);
            match answer["verdict"].as_str() {
                Some("accepted") => verdicts.accepted.push(Told {
                    record_id: id,
                    version: told,
                }),
                Some(_) => verdicts.rejected += 1,
                None => verdicts.undecided += 1,
            }
            version = version.max(told);
        }
    }
    verdicts
}

/// Begins the outage and ends it later.
fn outage(log: MemoryLog) {
    log.set_faults(LogFaults {
        outage: true,
        ..LOG_FAULTS
    });
    tokio::spawn(async move {
        tokio::time::sleep(OUTAGE).await;
        log.set_faults(LOG_FAULTS);
    });
}

/// Sends a change, and again with the same record id while the outcome is unknown.
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

/// Reads the records of the log regardless of its faults and decides them.
fn audit(
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
            thread::sleep(LOOK);
        }
        audit.digest = fold.current().digest().to_string();
        audit
    })
}

/// A reader of the baseline: it polls the log and hears of nothing otherwise. The last one starts
/// anew during the outage, as the daemon does.
fn poll(
    log: &MemoryLog,
    stream: &str,
    started: Instant,
    stop: &Arc<AtomicBool>,
    index: usize,
) -> thread::JoinHandle<Track> {
    let (log, stream, stop) = (log.clone(), stream.to_owned(), Arc::clone(stop));
    thread::spawn(move || {
        let mut track = Track::default();
        let mut fold = ConfigFold::new();
        let mut restarted = index != RESTARTED;
        thread::sleep(POLL * index as u32 / DAEMONS as u32);
        while !stop.load(Ordering::Acquire) {
            let from = fold.next_offset().unwrap_or(Offset(0));
            match log.read(&stream, from, usize::MAX, Duration::ZERO) {
                Ok(slice) => {
                    fold_all(&mut fold, &slice);
                    track.note(started.elapsed(), fold.current().version);
                }
                Err(_) if !restarted => {
                    restarted = true;
                    fold = ConfigFold::new();
                    track = Track {
                        since: started.elapsed(),
                        ..Track::default()
                    };
                }
                Err(_) => {}
            }
            thread::sleep(POLL);
        }
        track
    })
}

fn fold_all(fold: &mut ConfigFold, slice: &LogSlice) {
    fold.fold_slice(slice, |_| {})
        .expect("the records have no gap");
}

/// Slowest and typical time until a version is in force.
fn delays(tracks: &[Track], log: &Seen, end: Duration) -> (f64, f64) {
    let mut all: Vec<_> = tracks.iter().flat_map(|t| t.delays(log, end)).collect();
    all.sort_unstable();
    let seconds = |delay: Option<&Duration>| delay.map_or(0.0, Duration::as_secs_f64);
    (seconds(all.last()), seconds(all.get(all.len() / 2)))
}

fn report(
    options: RunOptions,
    audit: &Audit,
    tracks: &[Track],
    readers: &[Track],
    verdicts: &Verdicts,
    diverged: usize,
    end: Duration,
) -> Report {
    // The lists of the start were in force before the observation.
    let log: Seen = audit
        .log
        .iter()
        .filter(|(v, _)| **v > 2)
        .map(|(v, t)| (*v, *t))
        .collect();
    let (slowest_s, median_s) = delays(tracks, &log, end);
    let (polling_slowest_s, polling_median_s) = delays(readers, &log, end);
    let joined = tracks.get(RESTARTED).and_then(|track| {
        let first = track.seen.first()?;
        Some(first.0.saturating_sub(track.since).as_secs_f64())
    });
    let reverts: u64 = tracks.iter().map(|track| track.reverts).sum();
    let is_lost = |told: &&Told| audit.accepted.get(&told.record_id) != Some(&told.version);
    let lost = verdicts.accepted.iter().filter(is_lost).count();
    let product = json!({
        "slowest_s": slowest_s,
        "median_s": median_s,
        "reverts": reverts,
        "accepted_and_lost": lost,
        "diverged_daemons": diverged,
        "changes_accepted": verdicts.accepted.len(),
        "changes_rejected": verdicts.rejected,
        "changes_undecided": verdicts.undecided,
        "changes_sent_again": verdicts.repeated,
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
