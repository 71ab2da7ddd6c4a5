//! Everything the router knows about backend servers and links, and the decision over it.

use crate::breaker::{Breaker, BreakerSettings, BreakerState};
use crate::cold::{ColdCause, WarmUpChange, WarmUpState};
use crate::index::Holder;
use crate::inflight::{LinkLedger, LinkRefusal, Reservation, ReservationId};
use crate::load::{LoadReport, ServerLoad};
use crate::prefix_match::PrefixMatch;
use crate::price::{AwayPlan, CostWeights, EngineRates, Import, LinkRates, LinkView, Pricer};
use crate::select::{
    Candidate, Choice, Decision, Excluded, Exclusion, Explanation, NoCandidate, PrefillPriority,
    RouteRequest, Scored, choose, keep_explained,
};
use crate::server::{SendOutcome, ServedModel, Server, ServerChange, ServerSpec, Summary};
use anvilgw_core::{DomainId, ModelId, ServerId};
use indexmap::IndexMap;
use rand::Rng;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Time after the end of its slot at which a reservation without an end is dropped.
const RESERVATION_GRACE: Duration = Duration::from_secs(5);

/// Settings of the router.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct RouterSettings {
    /// Weights of the deployment.
    pub weights: CostWeights,
    /// Circuit breakers of servers.
    pub server_breaker: BreakerSettings,
    /// Circuit breakers of links.
    pub link_breaker: BreakerSettings,
    /// Longest wait of an import for its link, above which the blocks are recomputed.
    pub link_wait_max: Duration,
    /// Length of a prefill above which it has low priority on the engine.
    pub long_prefill: Duration,
    /// Time by which transfers may run ahead of the share of the link budget.
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
    ledger: LinkLedger,
    breaker: Breaker,
}

/// State of all backend servers and links, as one daemon sees it.
#[derive(Clone, Debug)]
pub struct Router {
    settings: RouterSettings,
    servers: IndexMap<ServerId, Server>,
    /// Summaries of the models of all servers, in the order of `servers`.
    summaries: Vec<Summary>,
    /// Distinct speeds of engines.
    speeds: Vec<EngineRates>,
    /// Positions of the summaries of a model.
    by_model: IndexMap<ModelId, Vec<usize>>,
    domains_out: Vec<DomainId>,
    links: IndexMap<Holder, Link>,
}

struct LinksAt<'a> {
    router: &'a Router,
    now: Duration,
}

impl LinkView for LinksAt<'_> {
    fn rates(&self, holder: Holder) -> Option<LinkRates> {
        let link = self.router.links.get(&holder)?;
        let wait = link.ledger.wait(self.now);
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
        link.map_or(0.0, |link| link.ledger.wait(self.now).as_secs_f64() * 1e3)
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
            speeds: Vec::new(),
            by_model: IndexMap::new(),
            domains_out: Vec::new(),
            links: IndexMap::new(),
        }
    }

    /// Adds a server or changes its configuration. Its load and temperature are kept, unless it now
    /// holds other weights: then it starts cold. A server without models is removed.
    pub fn set_server(&mut self, spec: ServerSpec) {
        let Some(queue_rates) = spec.queue_rates() else {
            return self.remove_server(spec.id);
        };
        let known = self.servers.get(&spec.id);
        let reloaded = known.is_none_or(|known| known.spec.needs_load_for(&spec));
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
        } else if let Some(known) = self.servers.get_mut(&spec.id) {
            known.warm_up.set_settings(spec.cold);
            known.queue_rates = queue_rates;
            known.spec = spec;
        }
        self.rebuild();
    }

    /// Removes a server that is no longer configured.
    pub fn remove_server(&mut self, server: ServerId) {
        self.servers.shift_remove(&server);
        self.links.shift_remove(&Holder::Server(server));
        self.rebuild();
    }

    /// Takes a server in or out of service, by an operator or because its instance leaves.
    pub fn set_in_service(&mut self, server: ServerId, in_service: bool) {
        self.update(server, |server| server.in_service = in_service);
    }

    /// Takes a failure domain in or out of service.
    pub fn set_domain_in_service(&mut self, domain: DomainId, in_service: bool) {
        self.domains_out.retain(|known| *known != domain);
        if !in_service {
            self.domains_out.push(domain);
        }
    }

    /// Sets the permits for a cold server that this daemon holds and does not use.
    pub fn set_cold_permits(&mut self, server: ServerId, free: u32) {
        self.update(server, |server| server.cold_permits_free = free);
    }

    /// Adds the export link of a server or store, or changes its rates and share.
    pub fn set_link(&mut self, holder: Holder, rates: LinkRates) {
        let breaker = Breaker::new(self.settings.link_breaker);
        let burst = self.settings.link_burst;
        let link = self.links.entry(holder).or_insert_with(|| Link {
            rates,
            ledger: LinkLedger::new(rates.bytes_per_s, burst, RESERVATION_GRACE),
            breaker,
        });
        link.rates = rates;
        link.ledger.set_share(rates.bytes_per_s);
    }

    /// Takes a load report.
    pub fn on_load_report(
        &mut self,
        server: ServerId,
        report: LoadReport,
        now: Duration,
    ) -> ServerChange {
        let change = self.update(server, |server| {
            let warm_up = server.warm_up.on_load_report(&report);
            if warm_up == Some(WarmUpChange::Cold(ColdCause::Restarted)) {
                server.load.on_server_restart(now);
            }
            server.load.on_load_report(report, &server.queue_rates);
            ServerChange {
                warm_up,
                breaker: None,
            }
        });
        change.unwrap_or_default()
    }

    /// Notes that a request is being sent to a server.
    pub fn on_request_sent(&mut self, server: ServerId, prefill_tokens: u64, now: Duration) {
        self.update(server, |server| {
            let rates = &server.queue_rates;
            server.load.on_request_sent(prefill_tokens, now, rates);
            server.breaker.on_request_sent(now);
        });
    }

    /// Notes the end of a request that was sent.
    pub fn on_request_ended(
        &mut self,
        server: ServerId,
        outcome: SendOutcome,
        now: Duration,
    ) -> ServerChange {
        let change = self.update(server, |server| {
            server.load.on_request_ended();
            let mut change = ServerChange::default();
            match outcome {
                SendOutcome::Completed => {
                    let closed = server.breaker.on_success(now);
                    change.breaker = closed.then_some(BreakerState::Closed);
                }
                SendOutcome::Overloaded => change.warm_up = server.warm_up.on_request_overloaded(),
                SendOutcome::Failed => {
                    let opened = server.breaker.on_failure(now);
                    change.breaker = opened.then_some(BreakerState::Open);
                    change.warm_up = server.warm_up.on_request_failed(now);
                }
                SendOutcome::Cancelled => {}
            }
            change
        });
        change.unwrap_or_default()
    }

    /// Reserves the link bytes of an import.
    ///
    /// # Errors
    ///
    /// [`LinkRefusal`] if the share does not allow it; the blocks are recomputed then.
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
        let reserved = link.ledger.reserve(bytes, now, wait_max)?;
        // A refused reservation is no probe of a half-open breaker.
        link.breaker.on_request_sent(now);
        Ok(reserved)
    }

    /// Notes the end of an import. Returns the new state of the link's circuit breaker on a change.
    pub fn on_import_ended(
        &mut self,
        from: Holder,
        reservation: ReservationId,
        success: bool,
        now: Duration,
    ) -> Option<BreakerState> {
        let link = self.links.get_mut(&from)?;
        link.ledger.release(reservation, now);
        if success {
            let closed = link.breaker.on_success(now);
            return closed.then_some(BreakerState::Closed);
        }
        let opened = link.breaker.on_failure(now);
        opened.then_some(BreakerState::Open)
    }

    /// Gives back the reservation of an import whose outcome says nothing about the link.
    pub fn release_import(&mut self, from: Holder, reservation: ReservationId, now: Duration) {
        if let Some(link) = self.links.get_mut(&from) {
            link.ledger.release(reservation, now);
        }
    }

    /// Drops reservations whose import never ended. Called at least every second.
    pub fn tick(&mut self, now: Duration) {
        for link in self.links.values_mut() {
            link.ledger.expire(now);
        }
    }

    /// Size of the fleet-wide budget of concurrent requests on a server.
    #[must_use]
    pub fn capacity(&self, server: ServerId) -> Option<u32> {
        Some(self.servers.get(&server)?.warm_up.capacity())
    }

    /// Why a server is cold, if it is.
    #[must_use]
    pub fn cold_cause(&self, server: ServerId) -> Option<ColdCause> {
        self.servers.get(&server)?.warm_up.cold_cause()
    }

    /// State of a server's circuit breaker.
    #[must_use]
    pub fn breaker_state(&self, server: ServerId, now: Duration) -> Option<BreakerState> {
        Some(self.servers.get(&server)?.breaker.state(now))
    }

    /// Requests of this daemon on a server.
    #[must_use]
    pub fn own_running(&self, server: ServerId) -> u32 {
        let server = self.servers.get(&server);
        server.map_or(0, |server| server.load.own_running())
    }

    /// Selects a server for a request. Nothing is sent without a candidate.
    #[must_use]
    pub fn select(
        &self,
        request: &RouteRequest,
        prefix: &PrefixMatch,
        now: Duration,
        rng: &mut impl Rng,
    ) -> Decision {
        let of_model: &[usize] = self.by_model.get(&request.model).map_or(&[], Vec::as_slice);
        let links = LinksAt { router: self, now };
        let weights = &self.settings.weights;
        let sizes = of_model.first().map(|&at| self.served(at).sizes);
        let sizes = sizes.unwrap_or_default();
        let pricer = Pricer::new(sizes, weights, request.prompt_tokens, prefix, &links);
        let mut scored = Vec::with_capacity(of_model.len());
        let mut excluded = Vec::new();
        let mut plans = Vec::new();
        let mut plans_for = u16::MAX;
        let now_ms = now.as_secs_f64() * 1e3;
        for &at in of_model {
            let summary = &self.summaries[at];
            let server = summary.server;
            if let Some(reason) = self.exclusion(at, request, now) {
                excluded.push(Excluded { server, reason });
                continue;
            }
            if summary.speeds != plans_for {
                plans_for = summary.speeds;
                plans = pricer.away_plans(&self.speeds[usize::from(plans_for)]);
            }
            let queue_ms = summary.queue_ms(now_ms);
            scored.push(Scored {
                at,
                queue_ms,
                cost: AwayPlan::lowest_cost(&plans, queue_ms),
                probability: 0.0,
            });
        }
        self.price_holders(request.model, &pricer, &mut scored);
        let considered = scored.len();
        let selected = choose(&mut scored, rng);
        let selected_at = selected.map(|position| scored[position].at);
        let highest_cost = keep_explained(&mut scored, selected);
        let candidates: Vec<_> = scored
            .iter()
            .map(|scored| self.candidate(scored, &pricer))
            .collect();
        let chosen = selected_at.map(|at| self.summaries[at].server);
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

    /// Replaces the costs of the servers that hold blocks of the prompt.
    fn price_holders(&self, model: ModelId, pricer: &Pricer<'_>, scored: &mut [Scored]) {
        for server in pricer.holding_servers() {
            let at = self.summary_of(server, model);
            let position = at.and_then(|at| scored.binary_search_by_key(&at, |s| s.at).ok());
            if let Some(known) = position.map(|position| &mut scored[position]) {
                let rates = &self.served(known.at).rates;
                known.cost = pricer.cheapest(server, known.queue_ms, rates).price.cost;
            }
        }
    }

    /// Position of the summary of a model on a server.
    fn summary_of(&self, server: ServerId, model: ModelId) -> Option<usize> {
        let server = self.servers.get(&server)?;
        let mut served = server.spec.models.iter();
        let position = served.position(|known| known.model == model)?;
        Some(server.first_summary + position)
    }

    /// The model on a server that a summary describes.
    fn served(&self, at: usize) -> &ServedModel {
        let summary = &self.summaries[at];
        &self.servers[summary.at as usize].spec.models[usize::from(summary.served)]
    }

    fn candidate(&self, scored: &Scored, pricer: &Pricer<'_>) -> Candidate {
        let summary = &self.summaries[scored.at];
        let rates = &self.served(scored.at).rates;
        Candidate {
            server: summary.server,
            domain: summary.domain,
            cold: self.servers[summary.at as usize].warm_up.cold_cause(),
            priced: pricer.cheapest(summary.server, scored.queue_ms, rates),
            probability: scored.probability,
        }
    }

    #[inline]
    fn exclusion(&self, at: usize, request: &RouteRequest, now: Duration) -> Option<Exclusion> {
        let summary = &self.summaries[at];
        let reason = summary.exclusion(request.weight_version, &self.domains_out, now);
        if request.adapter.is_none() && request.tried.is_empty() {
            return reason;
        }
        let held = &self.served(at).adapters;
        let lacks = request.adapter.filter(|adapter| !held.contains(adapter));
        let tried = request.tried.contains(&summary.server);
        let own = lacks
            .map(|_| Exclusion::Adapter)
            .or(tried.then_some(Exclusion::Tried));
        // The reasons are in the order of the checks; the first one is given.
        reason.into_iter().chain(own).min()
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

    /// Rebuilds what is derived from the configuration of the servers.
    fn rebuild(&mut self) {
        self.by_model.clear();
        self.speeds.clear();
        self.summaries.clear();
        for (at, server) in self.servers.values_mut().enumerate() {
            server.first_summary = self.summaries.len();
            for (position, served) in server.spec.models.iter().enumerate() {
                let of_model = self.by_model.entry(served.model).or_default();
                of_model.push(self.summaries.len());
                let known = self.speeds.iter().position(|rates| *rates == served.rates);
                let speeds = known.unwrap_or_else(|| {
                    self.speeds.push(served.rates);
                    self.speeds.len() - 1
                });
                let summary = Summary::new(server, at as u32, position as u16, speeds as u16);
                self.summaries.push(summary);
            }
        }
    }

    /// Changes the state of a server and its summaries.
    fn update<R>(&mut self, server: ServerId, change: impl FnOnce(&mut Server) -> R) -> Option<R> {
        let server = self.servers.get_mut(&server)?;
        let result = change(server);
        let first = server.first_summary;
        for summary in &mut self.summaries[first..first + server.spec.models.len()] {
            *summary = Summary::new(server, summary.at, summary.served, summary.speeds);
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
