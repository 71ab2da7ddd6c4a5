//! Failure detection by fleet size: detection time, false removals, traffic, processor time and
//! memory.

use super::RunOptions;
use super::simulated_network::{Heartbeats, MembershipNode, Node, SimulatedNetwork};
use crate::report::{Figures, Report};
use rustix::time::{ClockId, clock_gettime};
use serde_json::{Value, json};
use std::time::Duration;

const FLEET_SIZES: [usize; 4] = [18, 100, 200, 400];

/// Fleet sizes of the baseline, whose number of datagrams grows with the square of the size.
const BASELINE_SIZES: [usize; 2] = [18, 100];

/// Fleet sizes for the log outage in the short variant. In a large fleet, a member needs minutes to
/// learn the clocks of all others.
const OUTAGE_SIZES: [usize; 2] = [18, 100];

/// Fleet size for which the traffic is extrapolated.
const DESIGN_SIZE: f64 = 410.0;

/// Time limit until every member of a fleet that starts from three known addresses knows all
/// others. The list of 400 members takes 10 KB, so the limit on traffic alone accounts for several
/// seconds.
const FORMATION_TIMEOUT: Duration = Duration::from_secs(120);
const FORMATION_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Time after the formation for the members to spread the remaining updates.
const SETTLE_TIME: Duration = Duration::from_secs(30);
/// Interval at which a member probes one random member.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
const LOSSLESS_TIME: Duration = Duration::from_secs(20);
const OUTAGE_TIME: Duration = Duration::from_secs(20);
const LOSSY_TIME: Duration = Duration::from_secs(60);
const LONG_LOSSY_TIME: Duration = Duration::from_secs(3_600);
const KILLS: usize = 5;
const KILL_INTERVAL: Duration = Duration::from_secs(5);
const DATAGRAM_LOSS: f64 = 0.05;
const SLOW_MEMBER_DELAY: Duration = Duration::from_millis(300);
const SLOW_MEMBER: usize = 7;

const MAX_DETECTION_S: f64 = 3.0;
const MAX_BYTES_PER_S: f64 = 2_048.0;
const MAX_CORE_PERCENT: f64 = 1.5;
const MAX_MEMORY_MB: f64 = 256.0;

/// Measurements of one fleet.
#[derive(Default)]
struct FleetResult {
    formed: bool,
    formed_after_s: f64,
    lossless_bytes_mean: f64,
    lossless_bytes_max: f64,
    lossy_bytes_mean: f64,
    lossy_bytes_max: f64,
    core_percent: f64,
    memory_kb: f64,
    false_removals: usize,
    detection_max_s: f64,
    detection_median_s: f64,
    undetected: usize,
}

/// Returns the processor time that the calling thread has used.
fn thread_cpu_time() -> Duration {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}

/// Returns the resident memory of the process in KB, or 0 where the kernel does not report it.
fn resident_kb() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok())
        .unwrap_or(0.0)
}

/// Runs and measures one fleet. Returns its network too: the next fleet would reuse the memory of a
/// dropped one, so that its own use of memory could not be measured.
fn measure_fleet<N: Node>(
    nodes: impl FnOnce() -> Vec<N>,
    options: RunOptions,
) -> (FleetResult, SimulatedNetwork<N>) {
    let memory_before = resident_kb();
    let mut network = SimulatedNetwork::new(nodes(), options.seed);
    let count = network.nodes.len();
    let formed =
        |network: &SimulatedNetwork<N>| network.nodes.iter().all(|node| node.view_len() == count);
    while !formed(&network) && network.now < FORMATION_TIMEOUT {
        network.run(FORMATION_CHECK_INTERVAL);
    }
    let mut result = FleetResult {
        formed: formed(&network),
        formed_after_s: network.now.as_secs_f64(),
        ..FleetResult::default()
    };
    network.run(SETTLE_TIME);
    let sent = network.sent_bytes.clone();
    let cpu = thread_cpu_time();
    network.run(LOSSLESS_TIME);
    let cpu = (thread_cpu_time() - cpu).as_secs_f64();
    result.core_percent = cpu / LOSSLESS_TIME.as_secs_f64() / count as f64 * 100.0;
    let rates = network.bytes_per_s(&sent, LOSSLESS_TIME);
    (result.lossless_bytes_mean, result.lossless_bytes_max) = (rates.mean, rates.max);

    network.loss = DATAGRAM_LOSS;
    network.extra_delay[SLOW_MEMBER] = SLOW_MEMBER_DELAY;
    let lossy_time = if options.long {
        LONG_LOSSY_TIME
    } else {
        LOSSY_TIME
    };
    let sent = network.sent_bytes.clone();
    network.run(lossy_time);
    let rates = network.bytes_per_s(&sent, lossy_time);
    (result.lossy_bytes_mean, result.lossy_bytes_max) = (rates.mean, rates.max);
    result.false_removals = network.removals.len();
    measure_detection(&mut network, &mut result);
    result.memory_kb = (resident_kb() - memory_before) / count as f64;
    (result, network)
}

/// Kills some members one after the other and measures when each of the others removes them.
fn measure_detection<N: Node>(network: &mut SimulatedNetwork<N>, result: &mut FleetResult) {
    let count = network.nodes.len();
    let mut times = Vec::new();
    for kill in 0..KILLS {
        let victim = (kill * count / KILLS + 1) % count;
        if victim == SLOW_MEMBER || network.down[victim] {
            continue;
        }
        network.removals.clear();
        network.down[victim] = true;
        let killed = network.now;
        network.run(KILL_INTERVAL);
        let observers = (0..count).filter(|&index| !network.down[index]);
        for observer in observers {
            let removal = network
                .removals
                .iter()
                .find(|(_, by, subject)| (*by, *subject) == (observer, victim));
            match removal {
                Some((at, ..)) => times.push((*at - killed).as_secs_f64()),
                None => result.undetected += 1,
            }
        }
        let wrong = network
            .removals
            .iter()
            .filter(|(_, _, subject)| *subject != victim);
        result.false_removals += wrong.count();
    }
    times.sort_by(f64::total_cmp);
    result.detection_max_s = times.last().copied().unwrap_or(f64::NAN);
    result.detection_median_s = times.get(times.len() / 2).copied().unwrap_or(f64::NAN);
}

/// Returns the lowest share of members that may take new work before and during an outage of the
/// log for all members, and the log reads per second of the fleet before the outage.
fn measure_log_outage(count: usize, seed: u64) -> [f64; 3] {
    let step = Duration::from_millis(50);
    let mut network = SimulatedNetwork::new(membership_nodes(count, seed), seed);
    // A member knows the clock of a peer once it has probed it.
    network.run(SETTLE_TIME + PROBE_INTERVAL * count as u32);
    let min_fresh_share = |network: &mut SimulatedNetwork<MembershipNode>, time| {
        let end = network.now + time;
        let mut min_fresh_share = 1.0_f64;
        while network.now < end {
            network.run(step);
            let fresh = network
                .nodes
                .iter()
                .filter(|node| node.is_fresh(network.now))
                .count();
            min_fresh_share = min_fresh_share.min(fresh as f64 / count as f64);
        }
        min_fresh_share
    };
    let reads = |network: &SimulatedNetwork<MembershipNode>| {
        network
            .nodes
            .iter()
            .map(|node| node.log_reads)
            .sum::<usize>()
    };
    let reads_before = reads(&network);
    let normal = min_fresh_share(&mut network, LOSSLESS_TIME);
    let reads = (reads(&network) - reads_before) as f64 / LOSSLESS_TIME.as_secs_f64();
    for node in &mut network.nodes {
        node.is_log_available = false;
    }
    [normal, min_fresh_share(&mut network, OUTAGE_TIME), reads]
}

fn membership_nodes(count: usize, seed: u64) -> Vec<MembershipNode> {
    (0..count)
        .map(|i| MembershipNode::new(i, count, seed))
        .collect()
}

fn fleet_figures(results: &[FleetResult], sizes: &[usize]) -> Figures {
    let mut figures = Figures::new();
    for (result, size) in results.iter().zip(sizes) {
        let entries = [
            ("formed_after_s", result.formed_after_s),
            ("bytes_per_s_mean", result.lossless_bytes_mean),
            ("bytes_per_s_max", result.lossless_bytes_max),
            ("lossy_bytes_per_s_mean", result.lossy_bytes_mean),
            ("lossy_bytes_per_s_max", result.lossy_bytes_max),
            ("core_percent", result.core_percent),
            ("memory_kb", result.memory_kb),
            ("detection_max_s", result.detection_max_s),
            ("detection_median_s", result.detection_median_s),
        ];
        for (name, value) in entries {
            figures.insert(format!("{name}_{size}"), rounded(value));
        }
        figures.insert(
            format!("false_removals_{size}"),
            json!(result.false_removals),
        );
        figures.insert(format!("undetected_{size}"), json!(result.undetected));
        figures.insert(format!("formed_{size}"), json!(result.formed));
    }
    let slope = |value: fn(&FleetResult) -> f64| {
        let (first, last) = (&results[0], &results[results.len() - 1]);
        (value(last) - value(first)) / (sizes[sizes.len() - 1] - sizes[0]) as f64
    };
    figures.insert(
        "bytes_per_s_slope".into(),
        rounded(slope(|o| o.lossless_bytes_mean)),
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

fn meets_target(results: &[FleetResult]) -> bool {
    results.iter().all(|result| {
        result.formed
            && result.undetected == 0
            && result.false_removals == 0
            && result.detection_max_s <= MAX_DETECTION_S
            && result.lossless_bytes_max <= MAX_BYTES_PER_S
            && result.lossy_bytes_max <= MAX_BYTES_PER_S
            && result.core_percent <= MAX_CORE_PERCENT
            && result.memory_kb <= MAX_MEMORY_MB * 1_024.0
    })
}

/// Measures fleets of each size, and a heartbeat baseline for the smaller sizes.
pub(crate) fn run(options: RunOptions) -> Report {
    let mut fleets = Vec::new();
    let mut results = Vec::new();
    for size in FLEET_SIZES {
        let (result, network) = measure_fleet(|| membership_nodes(size, options.seed), options);
        results.push(result);
        fleets.push(network);
    }
    let mut baselines = Vec::new();
    let mut baseline_fleets = Vec::new();
    for size in BASELINE_SIZES {
        let nodes = || (0..size).map(|i| Heartbeats::new(i, size)).collect();
        // With this many datagrams, the long variant would take hours.
        let options = RunOptions {
            long: false,
            ..options
        };
        let (result, network) = measure_fleet(nodes, options);
        baselines.push(result);
        baseline_fleets.push(network);
    }
    let mut product = fleet_figures(&results, &FLEET_SIZES);
    let outage_sizes = if options.long {
        &FLEET_SIZES[..]
    } else {
        &OUTAGE_SIZES
    };
    for &size in outage_sizes {
        let [normal, in_outage, reads] = measure_log_outage(size, options.seed);
        product.insert(format!("least_share_fresh_{size}"), rounded(normal));
        product.insert(
            format!("least_share_fresh_in_outage_{size}"),
            rounded(in_outage),
        );
        product.insert(format!("fleet_log_reads_per_s_{size}"), rounded(reads));
    }
    let last = FLEET_SIZES.len() - 1;
    let slope = product["bytes_per_s_slope"].as_f64().unwrap_or(f64::NAN);
    let extrapolated =
        results[last].lossless_bytes_mean + slope * (DESIGN_SIZE - FLEET_SIZES[last] as f64);
    product.insert("bytes_per_s_at_410".into(), rounded(extrapolated));
    let mut target = Figures::new();
    target.insert("detection_max_s".into(), json!(MAX_DETECTION_S));
    target.insert("false_removals".into(), json!(0));
    target.insert("bytes_per_s_max".into(), json!(MAX_BYTES_PER_S));
    target.insert("core_percent".into(), json!(MAX_CORE_PERCENT));
    target.insert("memory_mb".into(), json!(MAX_MEMORY_MB));
    let mut ratio = Figures::new();
    let bytes = results[1].lossless_bytes_mean / baselines[1].lossless_bytes_mean;
    ratio.insert("bytes_per_s_100".into(), rounded(bytes));
    Report {
        experiment: "membership",
        seed: options.seed,
        target,
        baseline: fleet_figures(&baselines, &BASELINE_SIZES),
        product,
        ratio,
        pass: meets_target(&results) && extrapolated <= MAX_BYTES_PER_S,
    }
}
