//! One attempt: selects a backend server, sends the request and reads the head of the answer.

use super::call::Call;
use super::progress::Progress;
use super::target::{Target, choose_with_wait};
use crate::connection::{Connection, SendError};
use crate::gateway::Gateway;
use crate::pool::{OpenLimits, Pool};
use crate::request::{AnswerMeta, ForwardMeta, Prompt};
use crate::retry::AttemptError;
use crate::server::ServerKey;
use crate::server_notices::on_server_notice;
use http::header::CONTENT_LENGTH;
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode};
use http_body::Body;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::timeout;

/// Time to open a connection. Connections within a region open within a few milliseconds; the rest
/// is for a server that is busy.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time to read the rest of an answer that nobody needs.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(300);

/// An answer whose head was read.
pub(crate) struct Exchange {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Incoming,
    /// How long the server keeps the connection when idle.
    idle_for: Option<Duration>,
    connection: Connection,
    pool: Rc<Pool>,
    in_flight: InFlight,
}

impl Exchange {
    /// Keeps the connection after the body was read to its end, and notes the outcome.
    pub(crate) fn complete(self, gateway: &Gateway, is_success: bool) {
        self.in_flight.on_outcome(is_success);
        self.pool
            .keep(self.connection, self.idle_for, gateway.now());
    }

    /// Closes the connection of a broken answer.
    pub(crate) fn broken(self) {
        self.in_flight.on_broken();
    }

    /// Closes the connection of an answer that did not go on in time.
    pub(crate) fn timed_out(self) {
        self.in_flight.on_timeout();
    }

    /// Reads an answer that nobody needs to its end, so that its connection can be kept.
    fn discard(mut self, gateway: &Rc<Gateway>) {
        let gateway = Rc::clone(gateway);
        tokio::task::spawn_local(async move {
            let read_all = async { while let Some(Ok(_)) = self.body.frame().await {} };
            if timeout(DISCARD_TIMEOUT, read_all).await.is_ok() && self.body.is_end_stream() {
                self.pool
                    .keep(self.connection, self.idle_for, gateway.now());
            }
        });
    }
}

/// Counts one request on a server for as long as it lives.
struct InFlight {
    gateway: Rc<Gateway>,
    key: ServerKey,
    tokens: u64,
    sent_at: Duration,
}

impl InFlight {
    fn new(gateway: &Rc<Gateway>, key: ServerKey, call: &Call) -> Self {
        let prompt = call.meta.prompt.as_ref();
        let tokens = prompt.map_or(0, Prompt::footprint_tokens);
        let now = gateway.now();
        if let Some(server) = gateway.state.borrow_mut().servers.get_mut(key) {
            server.on_request_sent(tokens, now);
        }
        Self {
            gateway: Rc::clone(gateway),
            key,
            tokens,
            sent_at: now,
        }
    }

    fn on_outcome(&self, is_success: bool) {
        let now = self.gateway.now();
        if let Some(server) = self.gateway.state.borrow_mut().servers.get_mut(self.key) {
            server.on_request_outcome(is_success);
            server.breaker.on_success(now);
        }
    }

    fn on_broken(&self) {
        on_server_failure(&self.gateway, self.key);
    }

    /// Notes that no answer came in time. A server that answered others meanwhile is only slow.
    fn on_timeout(&self) {
        let now = self.gateway.now();
        if let Some(server) = self.gateway.state.borrow_mut().servers.get_mut(self.key) {
            server.on_request_outcome(false);
            if server.last_answer_at < self.sent_at {
                server.breaker.on_failure(now);
            }
        }
    }

    fn on_answer(&self, meta: &AnswerMeta) {
        let now = self.gateway.now();
        if let Some(server) = self.gateway.state.borrow_mut().servers.get_mut(self.key) {
            server.last_answer_at = now;
            if let Some(load) = meta.load {
                server.on_load_report(load, now);
            }
            if let Some(cold_for) = meta.cold_for {
                server.set_cold_for(cold_for, now);
            }
        }
        on_server_notice(&self.gateway, self.key, meta.notice);
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        if let Some(server) = self.gateway.state.borrow_mut().servers.get_mut(self.key) {
            server.on_request_ended(self.tokens);
        }
    }
}

fn on_server_failure(gateway: &Gateway, key: ServerKey) {
    let now = gateway.now();
    if let Some(server) = gateway.state.borrow_mut().servers.get_mut(key) {
        server.on_request_outcome(false);
        server.breaker.on_failure(now);
    }
}

/// Opens the breaker of a server at once: a connection that does not open says more than a broken
/// answer.
fn on_unreachable(gateway: &Gateway, key: ServerKey) {
    let now = gateway.now();
    if let Some(server) = gateway.state.borrow_mut().servers.get_mut(key) {
        server.on_unreachable(now);
    }
}

/// What an attempt asks for.
#[derive(Clone, Copy)]
pub(crate) struct AttemptOptions {
    /// Number of the last event that the client has, if the stream is to go on after it.
    pub(crate) resume_after: Option<u64>,
    /// Time in which the head of the answer must arrive.
    pub(crate) head_limit: Duration,
}

/// Makes one attempt.
pub(crate) async fn attempt(
    gateway: &Rc<Gateway>,
    call: &Call,
    progress: &mut Progress,
    options: AttemptOptions,
) -> Result<Exchange, AttemptError> {
    let target = choose_with_wait(gateway, call, progress).await?;
    target.id.clone_into(&mut progress.server);
    progress.choice = Some(target.choice);
    progress.tried.push(target.key);
    let attempt = Attempt {
        pool: gateway.pool(target.key),
        gateway,
        call,
        target,
        options,
    };
    attempt.run(progress).await
}

/// One attempt at a selected backend server.
struct Attempt<'a> {
    gateway: &'a Rc<Gateway>,
    call: &'a Call,
    target: Target,
    pool: Rc<Pool>,
    options: AttemptOptions,
}

impl Attempt<'_> {
    async fn run(&self, progress: &mut Progress) -> Result<Exchange, AttemptError> {
        let mut checkouts = self.pool.checkouts(self.target.address);
        loop {
            let now = self.gateway.now();
            let limits = OpenLimits {
                timeout: CONNECT_TIMEOUT.min(self.call.remaining(now)),
                open_max: self.gateway.connections_max(&self.call.service),
            };
            let checkout = match checkouts.next(limits, now).await {
                Ok(checkout) => checkout,
                Err(error) => return Err(self.on_no_connection(&error)),
            };
            let is_reused = checkout.is_reused;
            if !is_reused {
                self.gateway.metrics.count("connections_opened");
            }
            match self.send(progress, checkout.connection).await {
                Err(AttemptError::NotSent(_)) if is_reused => {}
                result => return result,
            }
        }
    }

    fn on_no_connection(&self, error: &SendError) -> AttemptError {
        if *error != SendError::NoConnection {
            on_unreachable(self.gateway, self.target.key);
        }
        AttemptError::NotSent(error.to_string())
    }

    async fn send(
        &self,
        progress: &mut Progress,
        mut connection: Connection,
    ) -> Result<Exchange, AttemptError> {
        let request = build_request(
            self.gateway,
            self.call,
            &self.target,
            self.options.resume_after,
        );
        let in_flight = InFlight::new(self.gateway, self.target.key, self.call);
        progress.on_sending();
        let response = match timeout(self.options.head_limit, connection.send(request)).await {
            Ok(Ok(response)) => response,
            Ok(Err(SendError::Lost(reason))) => {
                progress.sent += 1;
                in_flight.on_broken();
                return Err(AttemptError::OutcomeUnknown(reason));
            }
            Ok(Err(not_sent)) => {
                progress.on_not_executed();
                return Err(AttemptError::NotSent(not_sent.to_string()));
            }
            Err(_) => {
                progress.sent += 1;
                in_flight.on_timeout();
                return Err(AttemptError::OutcomeUnknown("no answer in time".to_owned()));
            }
        };
        progress.sent += 1;
        self.on_head(progress, connection, response, in_flight)
    }

    /// Checks the head of an answer and what it says about the server.
    fn on_head(
        &self,
        progress: &mut Progress,
        connection: Connection,
        response: Response<Incoming>,
        in_flight: InFlight,
    ) -> Result<Exchange, AttemptError> {
        let (head, body) = response.into_parts();
        let meta = self.gateway.ports.codec.answer(head.status, &head.headers);
        let answered_id = meta.request_id.as_deref();
        if answered_id.is_some_and(|id| id != self.call.meta.id) {
            in_flight.on_broken();
            let reason = "the answer belongs to another request".to_owned();
            return Err(AttemptError::OutcomeUnknown(reason));
        }
        let answering_server = meta.server_id.as_deref();
        if answering_server.is_none_or(|id| id == self.target.id) {
            in_flight.on_answer(&meta);
        }
        let exchange = Exchange {
            status: head.status,
            idle_for: stated_idle(&head.headers),
            headers: head.headers,
            body,
            connection,
            pool: Rc::clone(&self.pool),
            in_flight,
        };
        self.classify(progress, exchange, &meta)
    }

    fn classify(
        &self,
        progress: &mut Progress,
        exchange: Exchange,
        meta: &AnswerMeta,
    ) -> Result<Exchange, AttemptError> {
        let gateway = self.gateway;
        if exchange.status == StatusCode::MISDIRECTED_REQUEST {
            progress.on_not_executed();
            exchange.discard(gateway);
            return Err(self.on_misdirected(progress, meta));
        }
        if meta.is_not_executed {
            progress.on_not_executed();
            if exchange.status == StatusCode::SERVICE_UNAVAILABLE {
                self.on_full();
            }
            let reason = format!("rejected with status {}", exchange.status.as_u16());
            exchange.discard(gateway);
            return Err(AttemptError::Rejected(reason));
        }
        let is_whole = meta.is_signed && meta.request_id.is_some();
        if exchange.status.is_success() && !is_whole {
            exchange.broken();
            return Err(AttemptError::OutcomeUnknown(
                "the answer has no signature".to_owned(),
            ));
        }
        Ok(exchange)
    }

    /// Notes that an engine is full.
    fn on_full(&self) {
        let Some(engine) = &self.call.service.engine else {
            return;
        };
        let now = self.gateway.now();
        if let Some(server) = self
            .gateway
            .state
            .borrow_mut()
            .servers
            .get_mut(self.target.key)
        {
            server.on_engine_full(engine.kv_capacity_tokens, now);
        }
    }

    /// Learns whether the server has other weights, or another server is at its address.
    fn on_misdirected(&self, progress: &mut Progress, meta: &AnswerMeta) -> AttemptError {
        let target = &self.target;
        let is_meant_server = meta.server_id.as_deref() == Some(target.id.as_str());
        if is_meant_server && target.weight_version().is_some() {
            on_other_weights(self.gateway, progress, target, self.call);
            return AttemptError::WeightsMismatch;
        }
        if let Some(server) = self.gateway.state.borrow_mut().servers.get_mut(target.key) {
            server.is_address_reused = true;
        }
        AttemptError::Misdirected
    }
}

/// Learns from a server's refusal that it has switched to the newest weights.
fn on_other_weights(gateway: &Gateway, progress: &mut Progress, target: &Target, call: &Call) {
    let state = &mut *gateway.state.borrow_mut();
    let Some(prompt) = &call.meta.prompt else {
        return;
    };
    let named = state.weights.get(&prompt.model).map(|named| named.version);
    if named.is_some() && named != target.weight_version() {
        // The server itself can be tried again, for its new weights.
        progress.tried.pop();
    }
    if let Some(server) = state.servers.get_mut(target.key)
        && let (Some(refused), Some(named)) = (target.weight_version(), named)
    {
        server.on_version_refused(&prompt.model, refused, named);
    }
}

fn build_request(
    gateway: &Gateway,
    call: &Call,
    target: &Target,
    resume_after: Option<u64>,
) -> Request<Full<bytes::Bytes>> {
    let forward = ForwardMeta {
        remaining: call.remaining(gateway.now()),
        server_id: &target.id,
        workspace: call.workspace_name(),
        cache_scope: target.cache.as_ref().map(|cache| cache.scope.as_str()),
        urgency: call.meta.prompt.is_some().then(|| call.urgency()),
        weight_version: target.weight_version(),
        parts: target
            .cache
            .as_ref()
            .map_or(&[], |cache| cache.plan.parts.as_slice()),
        fetch_until_ms: target.fetch_until_ms,
        resume_after: resume_after.or(call.meta.resume_after),
    };
    let mut headers = gateway.ports.codec.forward(&call.headers, &forward);
    if !call.body.is_empty() || call.headers.contains_key(CONTENT_LENGTH) {
        headers.insert(CONTENT_LENGTH, HeaderValue::from(call.body.len()));
    }
    let mut request = Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.target.clone().into();
    *request.headers_mut() = headers;
    request
}

fn stated_idle(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = value
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))?;
    Some(Duration::from_secs(seconds.trim().parse().ok()?))
}
