//! A single attempt of a request: selects a backend server, sends the request and reads the head of
//! the answer.

use super::attempt_state::AttemptState;
use super::in_flight::{InFlight, on_server_unreachable};
use super::progress::Progress;
use super::quarantine::{check_quarantine, enter_quarantine};
use super::rollouts::may_send;
use super::routed_request::RoutedRequest;
use super::stream_relay::StreamError;
use super::target::{Target, select_target_with_wait};
use crate::configuration::RouteKind;
use crate::connection::{Connection, SendError};
use crate::framing::Framing;
use crate::gateway::Gateway;
use crate::pool::{OpenLimits, Pool};
use crate::ports::InvalidHeader;
use crate::request::{AnswerMeta, ForwardMeta};
use crate::retry::AttemptError;
use crate::server_notices::on_limit_not_named;
use http::header::CONTENT_LENGTH;
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode};
use http_body::Body;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::timeout;

/// Time limit to open a connection. Connections within a region open within a few milliseconds; the
/// rest allows for a busy server.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time limit to read the rest of an unused answer. After it the connection is closed instead of
/// kept.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(300);

/// An answer whose head was read and whose body is still to be read.
pub(crate) struct Exchange {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Incoming,
    pub(crate) framing: Framing,
    /// Idle timeout that the server states in `Keep-Alive`.
    peer_idle_timeout: Option<Duration>,
    connection: Connection,
    pool: Rc<Pool>,
    in_flight: InFlight,
}

impl Exchange {
    /// Returns the connection to the pool after the body was read to its end, and records the
    /// outcome for the server.
    pub(crate) fn complete(self, gateway: &Gateway, is_success: bool) {
        self.in_flight.on_answer_read(is_success);
        if self.status.is_success() {
            match self.framing {
                Framing::Length | Framing::Chunks => self.in_flight.on_answer_complete(),
                Framing::ConnectionEnd => self.in_flight.on_unmarked_end(),
            }
        }
        self.pool
            .keep(self.connection, self.peer_idle_timeout, gateway.now());
    }

    /// Returns the state of the attempt that got this answer.
    pub(crate) fn state(&self) -> &Rc<AttemptState> {
        self.in_flight.state()
    }

    /// Records that bytes of the answer's body arrived.
    pub(crate) fn on_body_bytes(&mut self) {
        self.state().set_begin_by(None);
        self.in_flight.on_body_bytes();
    }

    /// Returns the time within which the server has to begin with the request, or `None` if it has
    /// begun or there is no such limit.
    pub(crate) fn time_to_begin(&self) -> Option<Duration> {
        let begin_by = self.state().begin_by()?;
        Some(begin_by.saturating_sub(self.in_flight.now()))
    }

    /// Closes the connection of an answer that was cut off or invalid, and records the failure for
    /// the server.
    pub(crate) fn close_broken(self) {
        let is_peer_unreachable = self.connection.is_peer_unreachable();
        if is_peer_unreachable {
            self.in_flight.state().on_server_unreachable();
        }
        self.in_flight.on_answer_broken(is_peer_unreachable);
    }

    /// Closes the connection of an answer that did not continue in time, and records the timeout
    /// for the server.
    pub(crate) fn close_timed_out(self) {
        self.in_flight.on_answer_timeout();
    }

    /// Reads an unused answer to its end in the background, so that its connection can be kept.
    fn discard(mut self, gateway: &Rc<Gateway>) {
        let gateway = Rc::clone(gateway);
        tokio::task::spawn_local(async move {
            let read_all = async { while let Some(Ok(_)) = self.body.frame().await {} };
            if timeout(DISCARD_TIMEOUT, read_all).await.is_ok() && self.body.is_end_stream() {
                self.pool
                    .keep(self.connection, self.peer_idle_timeout, gateway.now());
            }
        });
    }
}

/// An attempt at a selected backend server.
pub(crate) struct Attempt<'a> {
    gateway: &'a Rc<Gateway>,
    routed: &'a RoutedRequest,
    progress: &'a RefCell<Progress>,
    state: Rc<AttemptState>,
    target: Target,
    pool: Rc<Pool>,
    /// Identifier of the last event that the client has, if the attempt resumes a stream after it.
    resume_after: Option<u64>,
}

impl<'a> Attempt<'a> {
    /// Selects a server for an attempt. Nothing is sent yet.
    pub(crate) async fn select(
        gateway: &'a Rc<Gateway>,
        routed: &'a RoutedRequest,
        progress: &'a RefCell<Progress>,
        state: Rc<AttemptState>,
        resume_after: Option<u64>,
    ) -> Result<Self, AttemptError> {
        check_quarantine(gateway, routed)?;
        let target = select_target_with_wait(gateway, routed, progress).await?;
        enter_quarantine(gateway, routed).await?;
        {
            let mut record = state.record.borrow_mut();
            target.id.clone_into(&mut record.server);
            record.version = target.version.clone().unwrap_or_default();
            record.choice = Some(target.choice);
            // The answer to another kind of request does not show when the server began with it.
            let is_stream = matches!(routed.route.kind, RouteKind::Stream { .. });
            state.set_begin_by(target.begin_by.filter(|_| is_stream));
            progress.borrow_mut().on_selected(target.key, &record);
        }
        Ok(Self {
            pool: gateway.pool(target.key),
            gateway,
            routed,
            progress,
            state,
            target,
            resume_after,
        })
    }

    /// Sends the request. Returns the answer if its head is acceptable, or why the attempt failed.
    pub(crate) async fn run(self) -> Result<Exchange, AttemptError> {
        let mut checkouts = self.pool.checkouts(self.target.address);
        loop {
            let now = self.gateway.now();
            let limits = OpenLimits {
                timeout: CONNECT_TIMEOUT.min(self.routed.remaining(now)),
                open_max: self.gateway.connections_max(&self.routed.service),
            };
            let checkout = match checkouts.next(limits, now).await {
                Ok(checkout) => checkout,
                Err(error) => return Err(self.on_connection_failed(&error)),
            };
            let is_reused = checkout.is_reused;
            if !may_send(self.gateway, self.routed, &self.target) {
                let reason = "the server's version gets no more requests".to_owned();
                return Err(AttemptError::NotSent(reason));
            }
            if !is_reused {
                self.gateway.metrics.count("connections_opened");
            }
            match self.send(checkout.connection).await {
                Err(AttemptError::NotSent(_)) if is_reused => {}
                result => return result,
            }
        }
    }

    fn on_connection_failed(&self, error: &SendError) -> AttemptError {
        if *error != SendError::NoConnection {
            on_server_unreachable(self.gateway, self.target.key);
        }
        match error {
            SendError::Refused(_) => AttemptError::Refused(error.to_string()),
            _ => AttemptError::NotSent(error.to_string()),
        }
    }

    async fn send(&self, mut connection: Connection) -> Result<Exchange, AttemptError> {
        let request = build_request(self.gateway, self.routed, &self.target, self.resume_after)
            .map_err(|error| AttemptError::NotSent(error.to_string()))?;
        let in_flight = InFlight::new(
            self.gateway,
            &self.target,
            self.routed,
            self.target.start_estimate,
            Rc::clone(&self.state),
        );
        let now = self.gateway.now();
        let remaining = self.routed.remaining(now);
        let begin_by = self.state.begin_by();
        let time_to_begin = begin_by.map(|begin_by| begin_by.saturating_sub(now));
        if time_to_begin.is_some_and(|time| time.is_zero()) {
            return Err(AttemptError::NotSent(StreamError::NotBegun.to_string()));
        }
        let limit = time_to_begin.map_or(remaining, |time| time.min(remaining));
        self.progress.borrow_mut().on_attempt_sending();
        self.state.on_sending();
        let response = match timeout(limit, connection.send(request)).await {
            Ok(Ok(response)) => response,
            Ok(Err(SendError::OutcomeUnknown(reason))) => {
                let is_peer_unreachable = connection.is_peer_unreachable();
                if is_peer_unreachable {
                    self.state.on_server_unreachable();
                }
                in_flight.on_answer_broken(is_peer_unreachable);
                return Err(AttemptError::OutcomeUnknown(reason));
            }
            Ok(Err(not_sent)) => {
                self.progress.borrow_mut().on_attempt_not_sent();
                self.state.on_not_sent();
                return Err(AttemptError::NotSent(not_sent.to_string()));
            }
            Err(_) if limit < remaining => {
                // The server may be sound: its queue is long.
                return Err(AttemptError::OutcomeUnknown(
                    StreamError::NotBegun.to_string(),
                ));
            }
            Err(_) => {
                in_flight.on_answer_timeout();
                let reason = "no answer before the deadline".to_owned();
                return Err(AttemptError::OutcomeUnknown(reason));
            }
        };
        let exchange = self.check_head(connection, response, in_flight)?;
        if !exchange.status.is_server_error() {
            self.state.on_accepted();
        }
        Ok(exchange)
    }

    /// Checks that an answer belongs to the request, and applies what its head tells about the
    /// server.
    fn check_head(
        &self,
        connection: Connection,
        response: Response<Incoming>,
        in_flight: InFlight,
    ) -> Result<Exchange, AttemptError> {
        let (head, body) = response.into_parts();
        let meta = self
            .gateway
            .ports
            .codec
            .parse_answer(head.status, &head.headers);
        let is_own = match &meta.request_id {
            Some(id) => *id == self.routed.meta.id,
            None => !connection.may_carry_earlier_answers(),
        };
        if !is_own {
            in_flight.on_answer_broken(false);
            let reason = "the answer belongs to another request".to_owned();
            return Err(AttemptError::OutcomeUnknown(reason));
        }
        let answering_server = meta.server_id.as_deref();
        if answering_server.is_none_or(|id| id == self.target.id) {
            in_flight.on_answer_head(&meta);
            // A rejection or a damaged answer without a limit does not show that there is none.
            let is_whole = head.status.is_success() && meta.is_signed;
            if is_whole && meta.notice.request_limit.is_none() {
                on_limit_not_named(self.gateway, self.target.key);
            }
        }
        let framing = Framing::of(&head.headers, &body);
        if framing == Framing::ConnectionEnd {
            self.state.record.borrow_mut().answer.ends_with_connection = true;
            self.gateway.metrics.count("answers_without_length");
        }
        let exchange = Exchange {
            status: head.status,
            framing,
            peer_idle_timeout: peer_idle_timeout(&head.headers),
            headers: head.headers,
            body,
            connection,
            pool: Rc::clone(&self.pool),
            in_flight,
        };
        self.classify(exchange, &meta)
    }

    fn classify(&self, exchange: Exchange, meta: &AnswerMeta) -> Result<Exchange, AttemptError> {
        let gateway = self.gateway;
        if exchange.status == StatusCode::MISDIRECTED_REQUEST {
            self.progress.borrow_mut().on_attempt_not_executed();
            exchange.discard(gateway);
            return Err(self.on_request_misdirected(meta));
        }
        if meta.is_not_executed {
            self.progress.borrow_mut().on_attempt_not_executed();
            if exchange.status == StatusCode::SERVICE_UNAVAILABLE {
                self.on_engine_full();
            }
            let reason = format!("rejected with status {}", exchange.status.as_u16());
            exchange.discard(gateway);
            return Err(AttemptError::Rejected(reason));
        }
        if exchange.status.is_server_error() {
            exchange.in_flight.on_failure_answer();
        }
        let is_complete = meta.is_signed && meta.request_id.is_some();
        if exchange.status.is_success() && !is_complete {
            exchange.close_broken();
            return Err(AttemptError::OutcomeUnknown(
                "the answer has no signature".to_owned(),
            ));
        }
        Ok(exchange)
    }

    /// Records that the server is full, or its engine has no memory left.
    fn on_engine_full(&self) {
        let now = self.gateway.now();
        let servers = &mut self.gateway.state.borrow_mut().servers;
        let Some(server) = servers.get_mut(self.target.key) else {
            return;
        };
        match &self.routed.service.engine {
            Some(engine) => server.on_engine_full(engine.kv_capacity_tokens, now),
            None => server.on_full(now),
        }
    }

    /// Handles a 421 answer: either the server holds other weights, or another server has its
    /// address.
    fn on_request_misdirected(&self, meta: &AnswerMeta) -> AttemptError {
        let target = &self.target;
        let is_intended_server = meta.server_id.as_deref() == Some(target.id.as_str());
        if is_intended_server && target.weight_version().is_some() {
            let progress = &mut self.progress.borrow_mut();
            on_weights_switched(self.gateway, progress, target, self.routed);
            return AttemptError::WeightsMismatch;
        }
        if let Some(server) = self.gateway.state.borrow_mut().servers.get_mut(target.key) {
            server.is_address_reused = true;
        }
        AttemptError::Misdirected
    }
}

/// Records that a server which refused the requested weights has switched to the newest ones.
fn on_weights_switched(
    gateway: &Gateway,
    progress: &mut Progress,
    target: &Target,
    routed: &RoutedRequest,
) {
    let state = &mut *gateway.state.borrow_mut();
    let Some(prompt) = &routed.meta.prompt else {
        return;
    };
    let newest_version = state
        .weights
        .get(&prompt.model)
        .map(|published| published.version);
    if newest_version.is_some() && newest_version != target.weight_version() {
        // The same server may be tried again with its new weights.
        progress.tried_servers.retain(|tried| *tried != target.key);
    }
    if let Some(server) = state.servers.get_mut(target.key)
        && let (Some(refused), Some(newest)) = (target.weight_version(), newest_version)
    {
        server.on_version_refused(&prompt.model, refused, newest);
    }
}

fn build_request(
    gateway: &Gateway,
    routed: &RoutedRequest,
    target: &Target,
    resume_after: Option<u64>,
) -> Result<Request<Full<bytes::Bytes>>, InvalidHeader> {
    let forward = ForwardMeta {
        remaining: routed.remaining(gateway.now()),
        server_id: &target.id,
        workspace: routed.workspace_name(),
        cache_scope: target.cache.as_ref().map(|cache| cache.scope.as_str()),
        urgency: routed.meta.prompt.is_some().then(|| routed.urgency()),
        weight_version: target.weight_version(),
        parts: target
            .cache
            .as_ref()
            .map_or(&[], |cache| cache.plan.parts.as_slice()),
        fetch_until_ms: target.fetch_until_ms,
        resume_after: resume_after.or(routed.meta.resume_after),
    };
    let mut headers = gateway
        .ports
        .codec
        .forward_headers(&routed.headers, &forward)?;
    if !routed.body.is_empty() || routed.headers.contains_key(CONTENT_LENGTH) {
        headers.insert(CONTENT_LENGTH, HeaderValue::from(routed.body.len()));
    }
    let mut request = Request::new(Full::new(routed.body.clone()));
    *request.method_mut() = routed.method.clone();
    *request.uri_mut() = routed.target.clone().into();
    *request.headers_mut() = headers;
    Ok(request)
}

/// Returns the idle timeout that the server states in `Keep-Alive`, if any.
fn peer_idle_timeout(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = value
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))?;
    Some(Duration::from_secs(seconds.trim().parse().ok()?))
}
