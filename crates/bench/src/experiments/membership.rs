//! Failure detection: time, false removals, traffic, processor time and memory by fleet size.

use super::RunOptions;
use super::member_net::{Heartbeats, Net, Node, Product};
use crate::report::{Figures, Report};
use rustix::time::{ClockId, clock_gettime};
use serde_json::{Value, json};
use std::time::Duration;

const SIZES: [usize; 4] = [18, 100, 200, 400];

/// Sizes of the baseline, whose datagrams grow with the square of the size.
const BASELINE_SIZES: [usize; 2] = [18, 100];

/// Sizes for the outage of the log in the short run. A member of a large fleet needs minutes to learn
/// the clocks of all others.
const OUTAGE_SIZES: [usize; 2] = [18, 100];

/// Size for which the traffic is extrapolated.
const DESIGN_SIZE: f64 = 410.0;

/// Longest time for a fleet to form from three known addresses. The list of 400 members has 10 KB, so
/// the bound on traffic alone takes several seconds.
const FORM_TIME: Duration = Duration::from_secs(120);
const FORM_STEP: Duration = Duration::from_secs(1);
/// Time after the start in which the news of it is passed on.
const SETTLE_TIME: Duration = Duration::from_secs(30);
/// Time in which a member probes one random member.
const PROBE_TIME: Duration = Duration::from_secs(1);
const QUIET_TIME: Duration = Duration::from_secs(20);
const OUTAGE_TIME: Duration = Duration::from_secs(20);
const LOSSY_TIME: Duration = Duration::from_secs(60);
const LONG_LOSSY_TIME: Duration = Duration::from_secs(3_600);
const KILLS: usize = 5;
const KILL_INTERVAL: Duration = Duration::from_secs(5);
const LOSS: f64 = 0.05;
const SLOWNESS: Duration = Duration::from_millis(300);
const SLOW_MEMBER: usize = 7;

const MAX_DETECTION_S: f64 = 3.0;
const MAX_BYTES_PER_S: f64 = 2_048.0;
const MAX_CORE_PERCENT: f64 = 1.5;
const MAX_MEMORY_MB: f64 = 256.0;

/// Results of one fleet.
#[derive(Default)]
struct Outcome {
    formed: bool,
    formed_after_s: f64,
    quiet_bytes_mean: f64,
    quiet_bytes_max: f64,
    lossy_bytes_mean: f64,
    lossy_bytes_max: f64,
    core_percent: f64,
    memory_kb: f64,
    false_removals: usize,
    detection_max_s: f64,
    detection_median_s: f64,
    undetected: usize,
}

fn thread_cpu() -> Duration {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}

/// Resident memory of the process; 0 where the kernel doesn't tell.
fn resident_kb() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok())
        .unwrap_or(0.0)
}

/// Runs one fleet. It is returned too, since memory of a dropped one would be reused by the next and
/// hide what that one needs.
fn measure<N: Node>(nodes: impl FnOnce() -> Vec<N>, options: RunOptions) -> (Outcome, Net<N>) {
    let memory_before = resident_kb();
    let mut net = Net::new(nodes(), options.seed);
    let count = net.nodes.len();
    let formed = |net: &Net<N>| net.nodes.iter().all(|node| node.view_len() == count);
    while !formed(&net) && net.now < FORM_TIME {
        net.run(FORM_STEP);
    }
    let mut outcome = Outcome {
        formed: formed(&net),
        formed_after_s: net.now.as_secs_f64(),
        ..Outcome::default()
    };
    net.run(SETTLE_TIME);
    let sent = net.sent_bytes.clone();
    let cpu = thread_cpu();
    net.run(QUIET_TIME);
    let cpu = (thread_cpu() - cpu).as_secs_f64();
    outcome.core_percent = cpu / QUIET_TIME.as_secs_f64() / count as f64 * 100.0;
    let rates = net.bytes_per_s(&sent, QUIET_TIME);
    (outcome.quiet_bytes_mean, outcome.quiet_bytes_max) = (rates.mean, rates.max);

    net.loss = LOSS;
    net.slowness[SLOW_MEMBER] = SLOWNESS;
    let lossy_time = if options.long {
        LONG_LOSSY_TIME
    } else {
        LOSSY_TIME
    };
    let sent = net.sent_bytes.clone();
    net.run(lossy_time);
    let rates = net.bytes_per_s(&sent, lossy_time);
    (outcome.lossy_bytes_mean, outcome.lossy_bytes_max) = (rates.mean, rates.max);
    outcome.false_removals = net.removals.len();
    kill_some(&mut net, &mut outcome);
    outcome.memory_kb = (resident_kb() - memory_before) / count as f64;
    (outcome, net)
}

fn kill_some<N: Node>(net: &mut Net<N>, outcome: &mut Outcome) {
    let count = net.nodes.len();
    let mut times = Vec::new();
    for kill in 0..KILLS {
        let victim = (kill * count / KILLS + 1) % count;
        if victim == SLOW_MEMBER || net.down[victim] {
            continue;
        }
        net.removals.clear();
        net.down[victim] = true;
        let killed = net.now;
        net.run(KILL_INTERVAL);
        let observers = (0..count).filter(|&index| !net.down[index]);
        for observer in observers {
            let removal = net
                .removals
                .iter()
                .find(|(_, by, subject)| (*by, *subject) == (observer, victim));
            match removal {
                Some((at, ..)) => times.push((*at - killed).as_secs_f64()),
                None => outcome.undetected += 1,
            }
        }
        let wrong = net
            .removals
            .iter()
            .filter(|(_, _, subject)| *subject != victim);
        outcome.false_removals += wrong.count();
    }
    times.sort_by(f64::total_cmp);
    outcome.detection_max_s = times.last().copied().unwrap_or(f64::NAN);
    outcome.detection_median_s = times.get(times.len() / 2).copied().unwrap_or(f64::NAN);
}

/// Least share of members that may take new work before and during an outage of the log for all, and
/// the log reads per second of the fleet before it.
fn outage(count: usize, seed: u64) -> [f64; 3] {
    let step = Duration::from_millis(50);
    let mut net = Net::new(products(count, seed), seed);
    // The clocks of peers are known after a probe to each.
    net.run(SETTLE_TIME + PROBE_TIME * count as u32);
    let least = |net: &mut Net<Product>, time| {
        let end = net.now + time;
        let mut least = 1.0_f64;
        while net.now < end {
            net.run(step);
            let fresh = net
                .nodes
                .iter()
                .filter(|node| node.is_fresh(net.now))
                .count();
            least = least.min(fresh as f64 / count as f64);
        }
        least
    };
    let reads = |net: &Net<Product>| net.nodes.iter().map(|node| node.log_reads).sum::<usize>();
    let reads_before = reads(&net);
    let normal = least(&mut net, QUIET_TIME);
    let reads = (reads(&net) - reads_before) as f64 / QUIET_TIME.as_secs_f64();
    for node in &mut net.nodes {
        node.log_up = false;
    }
    [normal, least(&mut net, OUTAGE_TIME), reads]
}

fn products(count: usize, seed: u64) -> Vec<Product> {
    (0..count).map(|i| Product::new(i, count, seed)).collect()
}

fn figures(outcomes: &[Outcome], sizes: &[usize]) -> Figures {
    let mut figures = Figures::new();
    for (outcome, size) in outcomes.iter().zip(sizes) {
        let entries = [
            ("formed_after_s", outcome.formed_after_s),
            ("bytes_per_s_mean", outcome.quiet_bytes_mean),
            ("bytes_per_s_max", outcome.quiet_bytes_max),
            ("lossy_bytes_per_s_mean", outcome.lossy_bytes_mean),
            ("lossy_bytes_per_s_max", outcome.lossy_bytes_max),
            ("core_percent", outcome.core_percent),
            ("memory_kb", outcome.memory_kb),
            ("detection_max_s", outcome.detection_max_s),
            ("detection_median_s", outcome.detection_median_s),
        ];
        for (name, value) in entries {
            figures.insert(format!("{name}_{size}"), rounded(value));
        }
        figures.insert(
            format!("false_removals_{size}"),
            json!(outcome.false_removals),
        );
        figures.insert(format!("undetected_{size}"), json!(outcome.undetected));
        figures.insert(format!("formed_{size}"), json!(outcome.formed));
    }
    let slope = |value: fn(&Outcome) -> f64| {
        let (first, last) = (&outcomes[0], &outcomes[outcomes.len() - 1]);
        (value(last) - value(first)) / (sizes[sizes.len() - 1] - sizes[0]) as f64
    };
    figures.insert(
        "bytes_per_s_slope".into(),
        rounded(slope(|o| o.quiet_bytes_mean)),
    );
    figures.insert(
        "core_percent_slope".into(),
        rounded(slope(|o| o.core_percent)),
    );
    figures.insert("memory_kb_slope".into(), rounded(slope(|o| o.memory_kb)));
    figures
}

fn rounded(value: f64) -> Value {
    json!((value * 1e4).round() / 1e4)
}

fn meets_target(outcomes: &[Outcome]) -> bool {
    outcomes.iter().all(|outcome| {
        outcome.formed
            && outcome.undetected == 0
            && outcome.false_removals == 0
            && outcome.detection_max_s <= MAX_DETECTION_S
            && outcome.quiet_bytes_max <= MAX_BYTES_PER_S
            && outcome.lossy_bytes_max <= MAX_BYTES_PER_S
            && outcome.core_percent <= MAX_CORE_PERCENT
            && outcome.memory_kb <= MAX_MEMORY_MB * 1_024.0
    })
}

/// Runs the experiment.
pub(crate) fn run(options: RunOptions) -> Report {
    let mut fleets = Vec::new();
    let mut outcomes = Vec::new();
    for size in SIZES {
        let (outcome, net) = measure(|| products(size, options.seed), options);
        outcomes.push(outcome);
        fleets.push(net);
    }
    let mut baselines = Vec::new();
    let mut baseline_fleets = Vec::new();
    for size in BASELINE_SIZES {
        let nodes = || (0..size).map(|i| Heartbeats::new(i, size)).collect();
        // The long variant would take hours with this many datagrams.
        let options = RunOptions {
            long: false,
            ..options
        };
        let (outcome, net) = measure(nodes, options);
        baselines.push(outcome);
        baseline_fleets.push(net);
    }
    let mut product = figures(&outcomes, &SIZES);
    let outage_sizes = if options.long {
        &SIZES[..]
    } else {
        &OUTAGE_SIZES
    };
    for &size in outage_sizes {
        let [normal, in_outage, reads] = outage(size, options.seed);
        product.insert(format!("least_share_fresh_{size}"), rounded(normal));
        product.insert(
            format!("least_share_fresh_in_outage_{size}"),
            rounded(in_outage),
        );
        product.insert(format!("fleet_log_reads_per_s_{size}"), rounded(reads));
    }
    let last = SIZES.len() - 1;
    let slope = product["bytes_per_s_slope"].as_f64().unwrap_or(f64::NAN);
    let extrapolated = outcomes[last].quiet_bytes_mean + slope * (DESIGN_SIZE - SIZES[last] as f64);
    product.insert("bytes_per_s_at_410".into(), rounded(extrapolated));
    let mut target = Figures::new();
    target.insert("detection_max_s".into(), json!(MAX_DETECTION_S));
    target.insert("false_removals".into(), json!(0));
    target.insert("bytes_per_s_max".into(), json!(MAX_BYTES_PER_S));
    target.insert("core_percent".into(), json!(MAX_CORE_PERCENT));
    target.insert("memory_mb".into(), json!(MAX_MEMORY_MB));
    let mut ratio = Figures::new();
    let bytes = outcomes[1].quiet_bytes_mean / baselines[1].quiet_bytes_mean;
    ratio.insert("bytes_per_s_100".into(), rounded(bytes));
    Report {
        experiment: "membership",
        seed: options.seed,
        target,
        baseline: figures(&baselines, &BASELINE_SIZES),
        product,
        ratio,
        pass: meets_target(&outcomes) && extrapolated <= MAX_BYTES_PER_S,
    }
}
