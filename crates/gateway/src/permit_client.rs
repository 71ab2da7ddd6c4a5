//! Requests permits from the daemon that issues them, and answers such requests of others.

use crate::background_tasks::peer_messages::send_message;
use crate::caches::{CacheStore, CacheStoreKey};
use crate::gateway::{Gateway, State};
use crate::peer_message::PeerMessage;
use crate::permits::{
    Decision, PermitHolder, PermitOutcome, PermitPurpose, PermitReply, PermitRequest, PermitState,
    Rate, issuer_of,
};
use crate::ports::CacheAnswer;
use crate::request_limit::RequestRate;
use crate::server::{Server, ServerKey};
use indexmap::IndexMap;
use rand::RngExt;
use std::cell::{Cell, OnceCell, RefCell};
use std::ops::Range;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::oneshot;
use tokio::time::{sleep, timeout};

/// Time limit for the reply of an issuer, which needs a few milliseconds unless its instance is
/// overloaded.
const REPLY_TIMEOUT: Duration = Duration::from_millis(60);
/// Pause between two checks whether a cache store may be read under its limit.
const STORE_RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Range of the factor by which this daemon varies the pause that an issuer asks for, so that not
/// all daemons ask again at the same time.
const PAUSE_FACTOR_RANGE: Range<f64> = 0.75..1.25;

/// Socket for messages to other daemons, and the requests whose reply is awaited.
pub(crate) struct PermitClient {
    socket: OnceCell<Rc<UdpSocket>>,
    pending: RefCell<IndexMap<u32, oneshot::Sender<PermitReply>>>,
    sequence: Cell<u32>,
}

impl Default for PermitClient {
    fn default() -> Self {
        Self {
            socket: OnceCell::new(),
            pending: RefCell::default(),
            // A late reply to the daemon's previous start must not match a request of this one.
            sequence: Cell::new(rand::random()),
        }
    }
}

impl PermitClient {
    /// Sets the socket for messages to other daemons. Without it, no issuer can be asked.
    pub(crate) fn set_socket(&self, socket: Rc<UdpSocket>) {
        // The socket is set once, when the daemon starts.
        let _ = self.socket.set(socket);
    }

    /// Returns the socket for messages to other daemons, if this daemon has one.
    pub(crate) fn socket(&self) -> Option<Rc<UdpSocket>> {
        self.socket.get().cloned()
    }

    /// Passes a reply to the request that awaits it. A reply that comes too late is ignored.
    pub(crate) fn on_reply(&self, reply: PermitReply) {
        let pending = self.pending.borrow_mut().swap_remove(&reply.sequence());
        if let Some(sender) = pending {
            // The request may have ended meanwhile.
            let _ = sender.send(reply);
        }
    }

    /// Registers a request whose reply is awaited.
    fn register(&self) -> PendingReply<'_> {
        let sequence = self.sequence.get().wrapping_add(1);
        self.sequence.set(sequence);
        let (sender, receiver) = oneshot::channel();
        self.pending.borrow_mut().insert(sequence, sender);
        PendingReply {
            client: self,
            sequence,
            receiver,
        }
    }
}

/// A registered request. It is forgotten when this is dropped, also if the client's request is
/// cancelled in the meantime.
struct PendingReply<'a> {
    client: &'a PermitClient,
    sequence: u32,
    receiver: oneshot::Receiver<PermitReply>,
}

impl PendingReply<'_> {
    /// Waits for the reply. Returns `None` if there is none in time.
    async fn wait(&mut self) -> Option<PermitReply> {
        let reply = timeout(REPLY_TIMEOUT, &mut self.receiver).await;
        reply.ok()?.ok()
    }
}

impl Drop for PendingReply<'_> {
    fn drop(&mut self) {
        let mut pending = self.client.pending.borrow_mut();
        pending.swap_remove(&self.sequence);
    }
}

/// Requests permits for a server, given by its hash and the rate that it takes.
pub(crate) async fn request_permit(
    gateway: &Gateway,
    server_hash: u64,
    limit: RequestRate,
    purpose: PermitPurpose,
) -> PermitOutcome {
    gateway.metrics.count("permits_requested");
    let issuer = issuer_of(server_hash, gateway.state.borrow().fleet.members());
    let Some(issuer) = issuer else {
        return PermitOutcome::NoAnswer;
    };
    let client = &gateway.permit_client;
    let mut pending = client.register();
    let request = PermitRequest {
        sequence: pending.sequence,
        server_hash,
        limit,
        purpose,
    };
    if gateway.settings.listen_peers == Some(issuer) {
        client.on_reply(answer_permit_request(gateway, &request));
    } else if let Some(socket) = client.socket.get() {
        let message = PeerMessage::PermitRequest(request);
        send_message(gateway, socket, &message, &[issuer]);
    }
    let outcome = match pending.wait().await {
        Some(PermitReply::Granted { permits, .. }) => PermitOutcome::Granted(permits),
        Some(PermitReply::Denied { pause_ms, .. }) => {
            let factor = {
                let rng = &mut gateway.state.borrow_mut().rng;
                rng.random_range(PAUSE_FACTOR_RANGE)
            };
            PermitOutcome::Denied(Duration::from_millis(u64::from(pause_ms)).mul_f64(factor))
        }
        Some(PermitReply::NotIssuer { .. }) | None => PermitOutcome::NoAnswer,
    };
    gateway.metrics.count(match outcome {
        PermitOutcome::Granted(_) => "permits_granted",
        PermitOutcome::Denied(_) => "permits_denied",
        PermitOutcome::NoAnswer => "permits_unanswered",
    });
    outcome
}

/// Decides on a request for permits. The limit is the lower one of what the sender and this daemon
/// know, since either may have missed a change.
pub(crate) fn answer_permit_request(gateway: &Gateway, request: &PermitRequest) -> PermitReply {
    let now = gateway.now();
    let sequence = request.sequence;
    let state = &mut *gateway.state.borrow_mut();
    let issuer = issuer_of(request.server_hash, state.fleet.members());
    if issuer.is_none() || issuer != gateway.settings.listen_peers {
        return PermitReply::NotIssuer { sequence };
    }
    let mut servers = state.servers.iter();
    let known = servers.find(|(_, server)| server.incarnation_hash() == request.server_hash);
    let known_limit = known.and_then(|(_, server)| server.request_limit.allowed_rate());
    let rate = Rate {
        limit: known_limit.map_or(request.limit, |known| known.min(request.limit)),
        is_settled: state.fleet.is_settled(now),
    };
    let issuer = &mut state.permit_issuer;
    match issuer.decide(request.server_hash, rate, request.purpose, now) {
        Decision::Granted(permits) => PermitReply::Granted { sequence, permits },
        Decision::Denied(pause) => PermitReply::Denied {
            sequence,
            pause_ms: pause.as_millis() as u32,
        },
    }
}

/// Server or store for which permits are requested.
#[derive(Clone, Copy, Debug)]
pub(crate) enum PermitTarget {
    Server(ServerKey),
    Store(CacheStoreKey),
}

impl PermitTarget {
    /// Returns the hash that identifies the target in messages, or `None` if the target is gone.
    fn hash(self, state: &State) -> Option<u64> {
        match self {
            Self::Server(key) => state.servers.get(key).map(Server::incarnation_hash),
            Self::Store(key) => state.caches.get(key).map(CacheStore::store_hash),
        }
    }

    /// Returns the permits of this daemon for the target, or `None` if the target is gone.
    fn holder(self, state: &mut State) -> Option<&mut PermitHolder> {
        match self {
            Self::Server(key) => {
                let server = state.servers.get_mut(key)?;
                Some(&mut server.permits)
            }
            Self::Store(key) => {
                let store = state.caches.get_mut(key)?;
                Some(&mut store.permits)
            }
        }
    }
}

/// Requests permits for a target that takes the rate `limit`, and returns whether one request may
/// be sent to it now. Permits for further requests, or the pause, are recorded with the target.
pub(crate) async fn acquire_permit(
    gateway: &Gateway,
    target: PermitTarget,
    limit: RequestRate,
    purpose: PermitPurpose,
) -> bool {
    let hash = target.hash(&gateway.state.borrow());
    let Some(hash) = hash else {
        return false;
    };
    let outcome = request_permit(gateway, hash, limit, purpose).await;
    let now = gateway.now();
    let state = &mut *gateway.state.borrow_mut();
    let share = state.share;
    let Some(holder) = target.holder(state) else {
        return false;
    };
    holder.on_outcome(outcome, limit, now);
    holder.take_for(purpose, limit, share, now)
}

/// Waits until a request may be sent to a cache store under the limit that it names.
pub(crate) async fn wait_for_store_permit(gateway: &Gateway, key: CacheStoreKey) {
    while !may_call_store(gateway, key).await {
        sleep(STORE_RETRY_PAUSE).await;
    }
}

/// Returns whether a request may be sent to a cache store now, after requesting a permit if the
/// store names a limit.
pub(crate) async fn may_call_store(gateway: &Gateway, key: CacheStoreKey) -> bool {
    let limit = {
        let now = gateway.now();
        let state = &mut *gateway.state.borrow_mut();
        let share = state.share;
        // A request to a store that is no longer configured fails by itself.
        let Some(store) = state.caches.get_mut(key) else {
            return true;
        };
        let Some(limit) = store.request_limit.allowed_rate() else {
            return true;
        };
        if store.permits.take(limit, share, now) {
            return true;
        }
        if let PermitState::Paused(_) = store.permits.state(limit, share, now) {
            return false;
        }
        limit
    };
    let target = PermitTarget::Store(key);
    acquire_permit(gateway, target, limit, PermitPurpose::Request).await
}

/// Applies the limit that a cache store names, or that it names none any more.
pub(crate) fn on_store_answer<T>(gateway: &Gateway, key: CacheStoreKey, answer: &CacheAnswer<T>) {
    let now = gateway.now();
    let mut state = gateway.state.borrow_mut();
    let Some(store) = state.caches.get_mut(key) else {
        return;
    };
    match answer.request_limit {
        Some(limit) => store.request_limit.on_named(limit, now),
        None if answer.result.is_ok() => store.request_limit.on_not_named(now),
        None => false,
    };
}

/// Acquires permits for control calls to a backend server, if it names a limit. Returns whether
/// `calls` calls may be sent to it now.
pub(crate) async fn acquire_control_permits(gateway: &Gateway, key: ServerKey, calls: u32) -> bool {
    let limit = {
        let state = gateway.state.borrow();
        let Some(server) = state.servers.get(key) else {
            return false;
        };
        server.request_limit.allowed_rate()
    };
    let Some(limit) = limit else {
        return true;
    };
    let purpose = PermitPurpose::Control { calls };
    acquire_permit(gateway, PermitTarget::Server(key), limit, purpose).await
}
