//! Runs a strategy over a trace in virtual time.

use super::model::{ENGINES, Published, Route, World, reused_tokens};
use super::workload::Trace;
use anvilgw_router::LoadReport;
use hdrhistogram::Histogram;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Time between two load reports of an engine, and their lag.
const REPORT_EVERY_S: f64 = 0.5;
const REPORT_LAG_S: f64 = 0.25;
/// Lag of cache events.
const EVENT_EVERY_S: f64 = 0.25;
const EVENT_LAG_S: f64 = 0.75;
const LONGEST_TTFT_US: u64 = 3_600_000_000;
/// Part of the trace at the start that is not measured, while caches and estimates fill.
const WARM_UP_SHARE: f64 = 0.25;

/// How requests are routed and what is kept.
pub(super) trait Strategy {
    /// Whether the stores are used at all.
    fn uses_stores(&self) -> bool {
        true
    }
    /// Routes a request.
    fn route(&mut self, world: &World<'_>, id: usize, now: f64) -> Route;
    /// The engine of a request has said which blocks it lacks, and their import runs until `ready`.
    fn accepted(&mut self, _world: &World<'_>, _id: usize, _now: f64, _ready: f64) {}
    /// A request ended and its blocks are sealed.
    fn ended(&mut self, world: &mut World<'_>, id: usize, now: f64);
    /// Cache events arrive.
    fn deliver(&mut self, _events: &[Published], _now: f64) {}
    /// Load reports arrive.
    fn report(&mut self, _reports: &[LoadReport], _now: f64) {}
}

/// What a strategy reached over the measured part of a trace.
#[derive(Clone, Debug)]
pub(super) struct Outcome {
    pub(super) requests: usize,
    pub(super) recomputed_tokens: u64,
    pub(super) unavoidable_tokens: u64,
    pub(super) prompt_tokens: u64,
    pub(super) reused_tokens: u64,
    pub(super) in_place_blocks: u64,
    pub(super) imported_blocks: u64,
    pub(super) link_bytes: u64,
    /// Largest number of bytes that a link started in any 10 s, divided by 10 s.
    pub(super) peak_link_bytes_per_s: f64,
    pub(super) duplicate_imports: u64,
    pub(super) ttft_p50_ms: f64,
    pub(super) ttft_p95_ms: f64,
    pub(super) ttft_p99_ms: f64,
}

#[derive(Clone, Debug)]
enum Event {
    Arrive(usize),
    Ready(usize),
    ChunkEnded(usize),
    Ended(usize),
    Measure,
    Report(Vec<LoadReport>),
    Publish,
    Deliver(Vec<Published>),
}

/// Events by time in nanoseconds; those of the same time in order of insertion.
#[derive(Default)]
struct Agenda {
    heap: BinaryHeap<Reverse<(u64, usize)>>,
    events: Vec<Option<Event>>,
}

impl Agenda {
    fn add(&mut self, at_s: f64, event: Event) {
        let at_ns = (at_s * 1e9) as u64;
        self.heap.push(Reverse((at_ns, self.events.len())));
        self.events.push(Some(event));
    }

    fn next(&mut self) -> Option<(f64, Event)> {
        let Reverse((at_ns, position)) = self.heap.pop()?;
        let event = self.events[position].take()?;
        Some((at_ns as f64 / 1e9, event))
    }
}

/// Runs a strategy.
pub(super) fn run(trace: &Trace, strategy: &mut dyn Strategy) -> Outcome {
    let mut world = World::new(trace, strategy.uses_stores());
    let mut agenda = Agenda::default();
    for (id, request) in trace.requests.iter().enumerate() {
        agenda.add(request.at_s, Event::Arrive(id));
    }
    let end_s = trace.requests.last().map_or(0.0, |request| request.at_s);
    // The fleet runs: its first reports have arrived before the trace starts.
    let reports: Vec<_> = (0..ENGINES)
        .map(|engine| world.report(engine, 0.0))
        .collect();
    strategy.report(&reports, 0.0);
    agenda.add(REPORT_EVERY_S, Event::Measure);
    agenda.add(0.0, Event::Publish);
    let mut duplicates_in_warm_up = 0;
    while let Some((now, event)) = agenda.next() {
        if now < end_s * WARM_UP_SHARE {
            duplicates_in_warm_up = world.duplicate_imports;
        }
        step(&mut world, strategy, &mut agenda, now, event);
    }
    let duplicates = world.duplicate_imports - duplicates_in_warm_up;
    outcome(&world, end_s * WARM_UP_SHARE, end_s, duplicates)
}

fn step(
    world: &mut World<'_>,
    strategy: &mut dyn Strategy,
    agenda: &mut Agenda,
    now: f64,
    event: Event,
) {
    match event {
        Event::Arrive(id) => {
            let route = strategy.route(world, id, now);
            let ready = world.accept(id, route, now);
            strategy.accepted(world, id, now, ready);
            agenda.add(ready, Event::Ready(id));
        }
        Event::Ready(id) => {
            let engine = world.served[id].engine;
            if let Some(end) = world.ready(id, now) {
                agenda.add(end, Event::ChunkEnded(engine));
            }
        }
        Event::ChunkEnded(engine) => {
            let (done, next) = world.chunk_ended(engine, now);
            if let Some((id, ended)) = done {
                world.prefilled(id);
                agenda.add(ended, Event::Ended(id));
            }
            if let Some(end) = next {
                agenda.add(end, Event::ChunkEnded(engine));
            }
        }
        Event::Ended(id) => {
            let engine = world.served[id].engine;
            if let Some(end) = world.ended(id, now) {
                agenda.add(end, Event::ChunkEnded(engine));
            }
            strategy.ended(world, id, now);
        }
        Event::Measure => {
            let reports = (0..ENGINES).map(|engine| world.report(engine, now));
            agenda.add(now + REPORT_LAG_S, Event::Report(reports.collect()));
            if !agenda.heap.is_empty() && has_arrivals(world, now) {
                agenda.add(now + REPORT_EVERY_S, Event::Measure);
            }
        }
        Event::Report(reports) => strategy.report(&reports, now),
        Event::Publish => {
            let events = std::mem::take(&mut world.events);
            agenda.add(now + EVENT_LAG_S, Event::Deliver(events));
            if has_arrivals(world, now) {
                agenda.add(now + EVENT_EVERY_S, Event::Publish);
            }
        }
        Event::Deliver(events) => strategy.deliver(&events, now),
    }
}

fn has_arrivals(world: &World<'_>, now: f64) -> bool {
    world
        .trace
        .requests
        .last()
        .is_some_and(|request| request.at_s > now)
}

fn outcome(world: &World<'_>, from_s: f64, until_s: f64, duplicate_imports: u64) -> Outcome {
    let mut outcome = Outcome {
        requests: 0,
        recomputed_tokens: 0,
        unavoidable_tokens: 0,
        prompt_tokens: 0,
        reused_tokens: 0,
        in_place_blocks: 0,
        imported_blocks: 0,
        link_bytes: 0,
        peak_link_bytes_per_s: 0.0,
        duplicate_imports,
        ttft_p50_ms: 0.0,
        ttft_p95_ms: 0.0,
        ttft_p99_ms: 0.0,
    };
    let mut ttft_us = Histogram::<u64>::new_with_bounds(1, LONGEST_TTFT_US, 3)
        .expect("bounds and digits are valid");
    for (id, request) in world.trace.requests.iter().enumerate() {
        if request.at_s < from_s {
            continue;
        }
        let served = &world.served[id];
        outcome.requests += 1;
        outcome.recomputed_tokens += served.prefill_tokens;
        outcome.unavoidable_tokens += world.trace.unavoidable_tokens[id];
        outcome.prompt_tokens += request.prompt_tokens;
        outcome.reused_tokens += reused_tokens(request, served);
        outcome.in_place_blocks += served.in_place_blocks as u64;
        outcome.imported_blocks += served.imported_blocks as u64;
        ttft_us.saturating_record((served.ttft_s * 1e6) as u64);
    }
    let quantile = |quantile| ttft_us.value_at_quantile(quantile) as f64 / 1e3;
    outcome.ttft_p50_ms = quantile(0.50);
    outcome.ttft_p95_ms = quantile(0.95);
    outcome.ttft_p99_ms = quantile(0.99);
    for store in &world.stores {
        let seconds = &store.link().bytes_per_second;
        let from = (from_s as usize).min(seconds.len());
        let until = (until_s as usize).clamp(from, seconds.len());
        let measured = &seconds[from..until];
        outcome.link_bytes += measured.iter().sum::<u64>();
        let peak = measured
            .windows(10)
            .map(|window| window.iter().sum::<u64>());
        let peak = peak.max().unwrap_or(0) as f64 / 10.0;
        outcome.peak_link_bytes_per_s = outcome.peak_link_bytes_per_s.max(peak);
    }
    outcome
}
