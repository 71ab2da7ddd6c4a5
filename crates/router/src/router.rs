//! State of all backend servers and links, and the selection of a server for each request.

use crate::breaker::{Breaker, BreakerSettings, BreakerState};
use crate::cold::{ColdCause, WarmUpChange, WarmUpState};
use crate::index::Holder;
use crate::inflight::{LinkRefusal, LinkReservations, Reservation, ReservationId};
use crate::load::{LoadReport, ServerLoad};
use crate::prefix_match::PrefixMatch;
use crate::price::{CostWeights, EngineRates, Import, LinkRates, LinkView, NonHolderPlan, Pricer};
use crate::select::{
    Candidate, Choice, Decision, Excluded, Exclusion, Explanation, NoCandidate, PrefillPriority,
    RouteRequest, ScoredCandidate, choose_near_equal, retain_explained,
};
use crate::server::{ModelSummary, SendOutcome, ServedModel, Server, ServerChange, ServerSpec};
use anvilgw_core::{DomainId, ModelId, ServerId};
use indexmap::IndexMap;
use rand::Rng;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Time after the planned end of a transfer at which its reservation is dropped if it was never
/// released.
const RESERVATION_GRACE: Duration = Duration::from_secs(5);

/// Settings of the router, the same for all servers and links.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct RouterSettings {
    /// Weights of the terms of a plan's cost.
    pub weights: CostWeights,
    /// Settings of the circuit breaker of each server.
    pub server_breaker: BreakerSettings,
    /// Settings of the circuit breaker of each link.
    pub link_breaker: BreakerSettings,
    /// Longest time that an import waits for its link. Beyond it, the blocks are recomputed.
    pub link_wait_max: Duration,
    /// Duration above which a prefill has low priority on the engine.
    pub long_prefill: Duration,
    /// Burst of a link: the time by which transfers may run ahead of this daemon's share of the
    /// link budget.
    pub link_burst: Duration,
}

impl Default for RouterSettings {
    fn default() -> Self {
        Self {
            weights: CostWeights::default(),
            server_breaker: BreakerSettings::default(),
            link_breaker: BreakerSettings::default(),
            link_wait_max: Duration::from_secs(2),
            long_prefill: Duration::from_millis(200),
            link_burst: Duration::from_millis(500),
        }
    }
}

#[derive(Clone, Debug)]
struct Link {
    rates: LinkRates,
    reservations: LinkReservations,
    breaker: Breaker,
}

/// State of all backend servers and links, as one daemon sees it.
#[derive(Clone, Debug)]
pub struct Router {
    settings: RouterSettings,
    servers: IndexMap<ServerId, Server>,
    /// Summaries of all models on all servers, in the order of `servers`.
    summaries: Vec<ModelSummary>,
    /// Distinct engine speeds. Consecutive servers of equal speed share the plans of a prompt.
    distinct_rates: Vec<EngineRates>,
    /// Indexes into `summaries` by model, in ascending order.
    by_model: IndexMap<ModelId, Vec<usize>>,
    domains_out: Vec<DomainId>,
    links: IndexMap<Holder, Link>,
}

/// Links of a router as of `now`, for prices.
struct LinksAt<'a> {
    router: &'a Router,
    now: Duration,
}

impl LinkView for LinksAt<'_> {
    fn rates(&self, holder: Holder) -> Option<LinkRates> {
        let link = self.router.links.get(&holder)?;
        let wait = link.reservations.wait(self.now);
        let usable = link.rates.usable
            && link.rates.bytes_per_s > 0.0
            && link.breaker.allows(self.now)
            && wait <= self.router.settings.link_wait_max;
        Some(LinkRates {
            usable,
            ..link.rates
        })
    }

    fn wait_ms(&self, holder: Holder) -> f64 {
        let link = self.router.links.get(&holder);
        link.map_or(0.0, |link| {
            link.reservations.wait(self.now).as_secs_f64() * 1e3
        })
    }
}

impl Router {
    /// Creates a router without servers.
    #[must_use]
    pub fn new(settings: RouterSettings) -> Self {
        Self {
            settings,
            servers: IndexMap::new(),
            summaries: Vec::new(),
            distinct_rates: Vec::new(),
            by_model: IndexMap::new(),
            domains_out: Vec::new(),
            links: IndexMap::new(),
        }
    }

    /// Adds a server or changes its configuration. A server keeps its state unless it must load
    /// weights; it then starts cold. A server without models is removed.
    pub fn set_server(&mut self, spec: ServerSpec) {
        let Some(queue_rates) = spec.queue_rates() else {
            return self.remove_server(spec.id);
        };
        let existing = self.servers.get(&spec.id);
        let reloaded = existing.is_none_or(|existing| existing.spec.needs_weight_load_for(&spec));
        if reloaded {
            let server = Server {
                in_service: true,
                load: ServerLoad::default(),
                warm_up: WarmUpState::new(spec.cold),
                breaker: Breaker::new(self.settings.server_breaker),
                cold_permits_free: 0,
                first_summary: 0,
                queue_rates,
                spec,
            };
            self.servers.insert(server.spec.id, server);
        } else if let Some(existing) = self.servers.get_mut(&spec.id) {
            existing.warm_up.set_settings(spec.cold);
            existing.queue_rates = queue_rates;
            existing.spec = spec;
        }
        self.rebuild_summaries();
    }

    /// Removes a server that is no longer configured, and its link.
    pub fn remove_server(&mut self, server: ServerId) {
        self.servers.shift_remove(&server);
        self.links.shift_remove(&Holder::Server(server));
        self.rebuild_summaries();
    }

    /// Puts a server in or out of service, at an operator's request or because its instance leaves.
    pub fn set_in_service(&mut self, server: ServerId, in_service: bool) {
        self.update_server(server, |server| server.in_service = in_service);
    }

    /// Puts a failure domain in or out of service. All domains are in service at first.
    pub fn set_domain_in_service(&mut self, domain: DomainId, in_service: bool) {
        self.domains_out.retain(|other| *other != domain);
        if !in_service {
            self.domains_out.push(domain);
        }
    }

    /// Sets the number of unused permits for a cold server that this daemon holds.
    pub fn set_cold_permits(&mut self, server: ServerId, free: u32) {
        self.update_server(server, |server| server.cold_permits_free = free);
    }

    /// Adds the export link of a server or store, or changes its rates and this daemon's share.
    pub fn set_link(&mut self, holder: Holder, rates: LinkRates) {
        let breaker = Breaker::new(self.settings.link_breaker);
        let burst = self.settings.link_burst;
        let link = self.links.entry(holder).or_insert_with(|| Link {
            rates,
            reservations: LinkReservations::new(rates.bytes_per_s, burst, RESERVATION_GRACE),
            breaker,
        });
        link.rates = rates;
        link.reservations.set_share(rates.bytes_per_s);
    }

    /// Applies a load report of a server. Returns the state changes that it caused.
    pub fn on_load_report(
        &mut self,
        server: ServerId,
        report: LoadReport,
        now: Duration,
    ) -> ServerChange {
        let change = self.update_server(server, |server| {
            let warm_up = server.warm_up.on_load_report(&report);
            if warm_up == Some(WarmUpChange::Cold(ColdCause::Restarted)) {
                server.load.on_server_restarted(now);
            }
            server.load.on_load_report(report, &server.queue_rates);
            ServerChange {
                warm_up,
                breaker: None,
            }
        });
        change.unwrap_or_default()
    }

    /// Records that this daemon sends a request to a server.
    pub fn on_request_sent(&mut self, server: ServerId, prefill_tokens: u64, now: Duration) {
        self.update_server(server, |server| {
            let rates = &server.queue_rates;
            server.load.on_request_sent(prefill_tokens, now, rates);
            server.breaker.on_request_sent(now);
        });
    }

    /// Records the end of a request that was sent to a server. Returns the state changes that it
    /// caused.
    pub fn on_request_ended(
        &mut self,
        server: ServerId,
        outcome: SendOutcome,
        now: Duration,
    ) -> ServerChange {
        let change = self.update_server(server, |server| {
            server.load.on_request_ended();
            let mut change = ServerChange::default();
            match outcome {
                SendOutcome::Completed => {
                    let closed = server.breaker.on_success(now);
                    change.breaker = closed.then_some(BreakerState::Closed);
                }
                SendOutcome::Overloaded => change.warm_up = server.warm_up.on_request_overloaded(),
                SendOutcome::Failed => change = server.on_failure(now),
                SendOutcome::Cancelled => {}
            }
            change
        });
        change.unwrap_or_default()
    }

    /// Records that a server has fallen silent on a request that still runs there. Returns the state
    /// changes that it caused.
    pub fn on_request_silent(&mut self, server: ServerId, now: Duration) -> ServerChange {
        let change = self.update_server(server, |server| server.on_failure(now));
        change.unwrap_or_default()
    }

    /// Reserves the bytes of an import on the exporter's link.
    ///
    /// # Errors
    ///
    /// Returns a [`LinkRefusal`] if the link has no share or the wait is too long; the caller then
    /// recomputes the blocks.
    pub fn reserve_import(
        &mut self,
        import: &Import,
        bytes: u64,
        now: Duration,
    ) -> Result<Reservation, LinkRefusal> {
        let wait_max = self.settings.link_wait_max;
        let link = self
            .links
            .get_mut(&import.from)
            .ok_or(LinkRefusal::NoShare)?;
        let reserved = link.reservations.reserve(bytes, now, wait_max)?;
        // Only a granted reservation counts as the probe of a half-open breaker.
        link.breaker.on_request_sent(now);
        Ok(reserved)
    }

    /// Records the end of an import and releases its reservation. Returns the new state of the
    /// link's circuit breaker if it changed.
    pub fn on_import_ended(
        &mut self,
        from: Holder,
        reservation: ReservationId,
        success: bool,
        now: Duration,
    ) -> Option<BreakerState> {
        let link = self.links.get_mut(&from)?;
        link.reservations.release(reservation, now);
        if success {
            let closed = link.breaker.on_success(now);
            return closed.then_some(BreakerState::Closed);
        }
        let opened = link.breaker.on_failure(now);
        opened.then_some(BreakerState::Open)
    }

    /// Releases the reservation of an import whose outcome does not concern the link's circuit
    /// breaker.
    pub fn release_import(&mut self, from: Holder, reservation: ReservationId, now: Duration) {
        if let Some(link) = self.links.get_mut(&from) {
            link.reservations.release(reservation, now);
        }
    }

    /// Drops expired reservations, whose imports never ended. Must be called at least every second.
    pub fn tick(&mut self, now: Duration) {
        for link in self.links.values_mut() {
            link.reservations.expire(now);
        }
    }

    /// Returns the number of concurrent requests that a server sustains now, which is the size of
    /// its fleet-wide budget of permits.
    #[must_use]
    pub fn capacity(&self, server: ServerId) -> Option<u32> {
        Some(self.servers.get(&server)?.warm_up.capacity())
    }

    /// Returns the reason why a server is cold; `None` if it is warm or unknown.
    #[must_use]
    pub fn cold_cause(&self, server: ServerId) -> Option<ColdCause> {
        self.servers.get(&server)?.warm_up.cold_cause()
    }

    /// Returns the state of a server's circuit breaker.
    #[must_use]
    pub fn breaker_state(&self, server: ServerId, now: Duration) -> Option<BreakerState> {
        Some(self.servers.get(&server)?.breaker.state(now))
    }

    /// Returns the number of this daemon's requests that have not ended on a server.
    #[must_use]
    pub fn own_running(&self, server: ServerId) -> u32 {
        let server = self.servers.get(&server);
        server.map_or(0, |server| server.load.own_running())
    }

    /// Selects a server for a request. The decision has no server if all are excluded.
    #[must_use]
    pub fn select(
        &self,
        request: &RouteRequest,
        prefix: &PrefixMatch,
        now: Duration,
        rng: &mut impl Rng,
    ) -> Decision {
        let indexes: &[usize] = self.by_model.get(&request.model).map_or(&[], Vec::as_slice);
        let links = LinksAt { router: self, now };
        let weights = &self.settings.weights;
        let sizes = indexes.first().map(|&index| self.served_model(index).sizes);
        let sizes = sizes.unwrap_or_default();
        let pricer = Pricer::new(sizes, weights, request.prompt_tokens, prefix, &links);
        let mut scored = Vec::with_capacity(indexes.len());
        let mut excluded = Vec::new();
        let mut plans = Vec::new();
        let mut rates_index = u16::MAX;
        let now_ms = now.as_secs_f64() * 1e3;
        for &summary_index in indexes {
            let summary = &self.summaries[summary_index];
            let server = summary.server;
            if let Some(reason) = self.exclusion(summary_index, request, now) {
                excluded.push(Excluded { server, reason });
                continue;
            }
            if summary.rates_index != rates_index {
                rates_index = summary.rates_index;
                plans = pricer.non_holder_plans(&self.distinct_rates[usize::from(rates_index)]);
            }
            let queue_ms = summary.queue_ms(now_ms);
            scored.push(ScoredCandidate {
                summary_index,
                queue_ms,
                cost: NonHolderPlan::lowest_cost(&plans, queue_ms),
                probability: 0.0,
            });
        }
        self.price_holders(request.model, &pricer, &mut scored);
        let considered = scored.len();
        let selected = choose_near_equal(&mut scored, rng);
        let selected_summary = selected.map(|position| scored[position].summary_index);
        let highest_cost = retain_explained(&mut scored, selected);
        let candidates: Vec<_> = scored
            .iter()
            .map(|scored| self.candidate(scored, &pricer))
            .collect();
        let chosen = selected_summary.map(|summary_index| self.summaries[summary_index].server);
        let outcome = candidates
            .iter()
            .find(|candidate| Some(candidate.server) == chosen)
            .map(|candidate| self.choice(candidate))
            .ok_or_else(|| no_candidate(&excluded));
        Decision {
            outcome,
            explanation: Explanation {
                model: request.model,
                weight_version: request.weight_version,
                prompt_tokens: request.prompt_tokens,
                prefix: prefix.clone(),
                weights: *weights,
                candidates,
                considered,
                highest_cost,
                excluded,
                selected: chosen,
            },
        }
    }

    /// Replaces the costs of the servers that hold blocks of the prompt, since the costs in
    /// `scored` assume that a server holds none.
    fn price_holders(&self, model: ModelId, pricer: &Pricer<'_>, scored: &mut [ScoredCandidate]) {
        for server in pricer.holding_servers() {
            let summary_index = self.summary_index_of(server, model);
            let position = summary_index.and_then(|summary_index| {
                scored
                    .binary_search_by_key(&summary_index, |s| s.summary_index)
                    .ok()
            });
            if let Some(candidate) = position.map(|position| &mut scored[position]) {
                let rates = &self.served_model(candidate.summary_index).rates;
                candidate.cost = pricer
                    .cheapest(server, candidate.queue_ms, rates)
                    .price
                    .cost;
            }
        }
    }

    /// Returns the index of the summary of a model on a server.
    fn summary_index_of(&self, server: ServerId, model: ModelId) -> Option<usize> {
        let server = self.servers.get(&server)?;
        let mut models = server.spec.models.iter();
        let position = models.position(|served| served.model == model)?;
        Some(server.first_summary + position)
    }

    /// Returns the configuration of the model on a server that a summary describes.
    fn served_model(&self, summary_index: usize) -> &ServedModel {
        let summary = &self.summaries[summary_index];
        &self.servers[summary.server_index as usize].spec.models[usize::from(summary.model_index)]
    }

    fn candidate(&self, scored: &ScoredCandidate, pricer: &Pricer<'_>) -> Candidate {
        let summary = &self.summaries[scored.summary_index];
        let rates = &self.served_model(scored.summary_index).rates;
        Candidate {
            server: summary.server,
            domain: summary.domain,
            cold: self.servers[summary.server_index as usize]
                .warm_up
                .cold_cause(),
            priced: pricer.cheapest(summary.server, scored.queue_ms, rates),
            probability: scored.probability,
        }
    }

    #[inline]
    fn exclusion(
        &self,
        summary_index: usize,
        request: &RouteRequest,
        now: Duration,
    ) -> Option<Exclusion> {
        let summary = &self.summaries[summary_index];
        let server_reason = summary.exclusion(request.weight_version, &self.domains_out, now);
        if request.adapter.is_none() && request.tried.is_empty() {
            return server_reason;
        }
        let adapters = &self.served_model(summary_index).adapters;
        let missing_adapter = request
            .adapter
            .filter(|adapter| !adapters.contains(adapter));
        let tried = request.tried.contains(&summary.server);
        let request_reason = missing_adapter
            .map(|_| Exclusion::Adapter)
            .or(tried.then_some(Exclusion::Tried));
        // The variants stand in the order of the checks; the first failed check is the reason.
        server_reason.into_iter().chain(request_reason).min()
    }

    fn choice(&self, candidate: &Candidate) -> Choice {
        let price = &candidate.priced.price;
        let long = price.prefill_ms > self.settings.long_prefill.as_secs_f64() * 1e3;
        Choice {
            server: candidate.server,
            plan: candidate.priced.plan,
            ttft_ms: price.ttft_ms,
            priority: if long {
                PrefillPriority::Low
            } else {
                PrefillPriority::Normal
            },
            needs_cold_permit: candidate.cold.is_some(),
        }
    }

    /// Rebuilds the lists that are derived from the configuration of the servers.
    fn rebuild_summaries(&mut self) {
        self.by_model.clear();
        self.distinct_rates.clear();
        self.summaries.clear();
        for (server_index, server) in self.servers.values_mut().enumerate() {
            server.first_summary = self.summaries.len();
            for (model_index, served) in server.spec.models.iter().enumerate() {
                let model_summaries = self.by_model.entry(served.model).or_default();
                model_summaries.push(self.summaries.len());
                let existing = self
                    .distinct_rates
                    .iter()
                    .position(|rates| *rates == served.rates);
                let rates_index = existing.unwrap_or_else(|| {
                    self.distinct_rates.push(served.rates);
                    self.distinct_rates.len() - 1
                });
                let summary = ModelSummary::new(
                    server,
                    server_index as u32,
                    model_index as u16,
                    rates_index as u16,
                );
                self.summaries.push(summary);
            }
        }
    }

    /// Changes the state of a server and updates its summaries. Returns `None` if it is unknown.
    fn update_server<R>(
        &mut self,
        server: ServerId,
        change: impl FnOnce(&mut Server) -> R,
    ) -> Option<R> {
        let server = self.servers.get_mut(&server)?;
        let result = change(server);
        let first = server.first_summary;
        for summary in &mut self.summaries[first..first + server.spec.models.len()] {
            *summary = ModelSummary::new(
                server,
                summary.server_index,
                summary.model_index,
                summary.rates_index,
            );
        }
        Some(result)
    }
}

fn no_candidate(excluded: &[Excluded]) -> NoCandidate {
    let closest = excluded.iter().map(|excluded| excluded.reason).max();
    closest.map_or(NoCandidate::UnknownModel, |closest| {
        NoCandidate::AllExcluded(closest, excluded.len())
    })
}
