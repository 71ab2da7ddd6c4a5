//! Runs a routing strategy over a trace in virtual time.

use super::serving_simulation::{ENGINES, LocatedEvent, Route, ServingSimulation, reused_tokens};
use super::workload::Trace;
use anvilgw_router::LoadReport;
use hdrhistogram::Histogram;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Interval between two load reports of an engine, and the delay until the routers receive one.
const REPORT_INTERVAL_S: f64 = 0.5;
const REPORT_LAG_S: f64 = 0.25;
/// Interval at which cache events are published, and the delay until the strategy receives them.
const EVENT_INTERVAL_S: f64 = 0.25;
const EVENT_LAG_S: f64 = 0.75;
const TTFT_US_MAX: u64 = 3_600_000_000;
/// Leading share of the trace that is not measured, since caches and estimates are still filling.
const WARM_UP_SHARE: f64 = 0.25;

/// A policy that routes requests and decides which blocks are exported to the stores.
pub(super) trait Strategy {
    /// Returns whether blocks may be imported from the stores. If not, the stores start empty.
    fn uses_stores(&self) -> bool {
        true
    }
    /// Chooses the engine and the import for the request with this index in the trace.
    fn route(&mut self, simulation: &ServingSimulation<'_>, id: usize, now: f64) -> Route;
    /// Handles an engine's acceptance of a request, whose missing blocks are imported until
    /// `ready`.
    fn on_request_accepted(
        &mut self,
        _simulation: &ServingSimulation<'_>,
        _id: usize,
        _now: f64,
        _ready: f64,
    ) {
    }
    /// Handles the end of a request, whose blocks are sealed by now.
    fn on_request_ended(&mut self, simulation: &mut ServingSimulation<'_>, id: usize, now: f64);
    /// Handles cache events, which arrive in the order of their publication.
    fn on_cache_events(&mut self, _events: &[LocatedEvent], _now: f64) {}
    /// Handles one load report of each engine, in the order of the engines.
    fn on_load_reports(&mut self, _reports: &[LoadReport], _now: f64) {}
}

/// Totals and latencies over the measured part of a trace.
#[derive(Clone, Debug)]
pub(super) struct TraceSummary {
    pub(super) requests: usize,
    pub(super) recomputed_tokens: u64,
    pub(super) unavoidable_tokens: u64,
    pub(super) prompt_tokens: u64,
    pub(super) reused_tokens: u64,
    pub(super) in_place_blocks: u64,
    pub(super) imported_blocks: u64,
    pub(super) link_bytes: u64,
    /// Highest rate of a link over any 10 s: bytes of the transfers that started in them, divided
    /// by 10 s.
    pub(super) peak_link_bytes_per_s: f64,
    pub(super) duplicate_imports: u64,
    pub(super) ttft_p50_ms: f64,
    pub(super) ttft_p95_ms: f64,
    pub(super) ttft_p99_ms: f64,
}

#[derive(Clone, Debug)]
enum Event {
    RequestArrived(usize),
    RequestReady(usize),
    ChunkEnded(usize),
    RequestEnded(usize),
    MeasureLoad,
    LoadReportsArrived(Vec<LoadReport>),
    PublishCacheEvents,
    CacheEventsArrived(Vec<LocatedEvent>),
}

/// Events ordered by time in nanoseconds; those of the same time in order of insertion.
#[derive(Default)]
struct EventQueue {
    heap: BinaryHeap<Reverse<(u64, usize)>>,
    events: Vec<Option<Event>>,
}

impl EventQueue {
    fn schedule(&mut self, at_s: f64, event: Event) {
        let at_ns = (at_s * 1e9) as u64;
        self.heap.push(Reverse((at_ns, self.events.len())));
        self.events.push(Some(event));
    }

    fn pop(&mut self) -> Option<(f64, Event)> {
        let Reverse((at_ns, position)) = self.heap.pop()?;
        let event = self.events[position].take()?;
        Some((at_ns as f64 / 1e9, event))
    }
}

/// Runs a strategy over a whole trace and summarizes the part after the warm-up.
pub(super) fn run_trace(trace: &Trace, strategy: &mut dyn Strategy) -> TraceSummary {
    let mut simulation = ServingSimulation::new(trace, strategy.uses_stores());
    let mut event_queue = EventQueue::default();
    for (id, request) in trace.requests.iter().enumerate() {
        event_queue.schedule(request.at_s, Event::RequestArrived(id));
    }
    let end_s = trace.requests.last().map_or(0.0, |request| request.at_s);
    // The fleet is already in service, so a report of each engine arrives before the first request.
    let reports: Vec<_> = (0..ENGINES)
        .map(|engine| simulation.load_report(engine, 0.0))
        .collect();
    strategy.on_load_reports(&reports, 0.0);
    event_queue.schedule(REPORT_INTERVAL_S, Event::MeasureLoad);
    event_queue.schedule(0.0, Event::PublishCacheEvents);
    let mut duplicates_in_warm_up = 0;
    while let Some((now, event)) = event_queue.pop() {
        if now < end_s * WARM_UP_SHARE {
            duplicates_in_warm_up = simulation.duplicate_imports;
        }
        handle_event(&mut simulation, strategy, &mut event_queue, now, event);
    }
    let duplicates = simulation.duplicate_imports - duplicates_in_warm_up;
    summarize(&simulation, end_s * WARM_UP_SHARE, end_s, duplicates)
}

fn handle_event(
    simulation: &mut ServingSimulation<'_>,
    strategy: &mut dyn Strategy,
    event_queue: &mut EventQueue,
    now: f64,
    event: Event,
) {
    match event {
        Event::RequestArrived(id) => {
            let route = strategy.route(simulation, id, now);
            let ready = simulation.accept_request(id, route, now);
            strategy.on_request_accepted(simulation, id, now, ready);
            event_queue.schedule(ready, Event::RequestReady(id));
        }
        Event::RequestReady(id) => {
            let engine = simulation.served_requests[id].engine;
            if let Some(end) = simulation.on_request_ready(id, now) {
                event_queue.schedule(end, Event::ChunkEnded(engine));
            }
        }
        Event::ChunkEnded(engine) => {
            let (done, next) = simulation.on_chunk_ended(engine, now);
            if let Some((id, ended)) = done {
                simulation.on_prefill_completed(id);
                event_queue.schedule(ended, Event::RequestEnded(id));
            }
            if let Some(end) = next {
                event_queue.schedule(end, Event::ChunkEnded(engine));
            }
        }
        Event::RequestEnded(id) => {
            let engine = simulation.served_requests[id].engine;
            if let Some(end) = simulation.on_request_ended(id, now) {
                event_queue.schedule(end, Event::ChunkEnded(engine));
            }
            strategy.on_request_ended(simulation, id, now);
        }
        Event::MeasureLoad => {
            let reports = (0..ENGINES).map(|engine| simulation.load_report(engine, now));
            event_queue.schedule(
                now + REPORT_LAG_S,
                Event::LoadReportsArrived(reports.collect()),
            );
            if !event_queue.heap.is_empty() && has_arrivals(simulation, now) {
                event_queue.schedule(now + REPORT_INTERVAL_S, Event::MeasureLoad);
            }
        }
        Event::LoadReportsArrived(reports) => strategy.on_load_reports(&reports, now),
        Event::PublishCacheEvents => {
            let events = std::mem::take(&mut simulation.events);
            event_queue.schedule(now + EVENT_LAG_S, Event::CacheEventsArrived(events));
            if has_arrivals(simulation, now) {
                event_queue.schedule(now + EVENT_INTERVAL_S, Event::PublishCacheEvents);
            }
        }
        Event::CacheEventsArrived(events) => strategy.on_cache_events(&events, now),
    }
}

fn has_arrivals(simulation: &ServingSimulation<'_>, now: f64) -> bool {
    simulation
        .trace
        .requests
        .last()
        .is_some_and(|request| request.at_s > now)
}

fn summarize(
    simulation: &ServingSimulation<'_>,
    from_s: f64,
    until_s: f64,
    duplicate_imports: u64,
) -> TraceSummary {
    let mut summary = TraceSummary {
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
    let mut ttft_us =
        Histogram::<u64>::new_with_bounds(1, TTFT_US_MAX, 3).expect("bounds and digits are valid");
    for (id, request) in simulation.trace.requests.iter().enumerate() {
        if request.at_s < from_s {
            continue;
        }
        let served = &simulation.served_requests[id];
        summary.requests += 1;
        summary.recomputed_tokens += served.prefill_tokens;
        summary.unavoidable_tokens += simulation.trace.unavoidable_tokens[id];
        summary.prompt_tokens += request.prompt_tokens;
        summary.reused_tokens += reused_tokens(request, served);
        summary.in_place_blocks += served.in_place_blocks as u64;
        summary.imported_blocks += served.imported_blocks as u64;
        ttft_us.saturating_record((served.ttft_s * 1e6) as u64);
    }
    let quantile = |quantile| ttft_us.value_at_quantile(quantile) as f64 / 1e3;
    summary.ttft_p50_ms = quantile(0.50);
    summary.ttft_p95_ms = quantile(0.95);
    summary.ttft_p99_ms = quantile(0.99);
    for store in &simulation.stores {
        let seconds = &store.link().bytes_per_second;
        let from = (from_s as usize).min(seconds.len());
        let until = (until_s as usize).clamp(from, seconds.len());
        let measured = &seconds[from..until];
        summary.link_bytes += measured.iter().sum::<u64>();
        let peak = measured
            .windows(10)
            .map(|window| window.iter().sum::<u64>());
        let peak = peak.max().unwrap_or(0) as f64 / 10.0;
        summary.peak_link_bytes_per_s = summary.peak_link_bytes_per_s.max(peak);
    }
    summary
}
