//! Notices that a backend server has ended while requests were in flight there, and reports the
//! prompt parts of these requests.

use crate::connection::SendError;
use crate::gateway::Gateway;
use crate::log::{Event, LoggedParts};
use crate::pending_ends::{ConfirmedEnd, start_of};
use crate::pool::OpenLimits;
use crate::server::{ServerKey, ServerState};
use anvilgw_quarantine::{ServerStart, Suspect};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Time after the first break at a server until the daemon checks whether the server still listens.
/// The other requests there break in the meantime if it has ended.
const CHECK_DELAY: Duration = Duration::from_millis(20);
/// Time for which a server serves on at least after its entry tells that it leaves.
const LEAVING_NOTICE_MIN: Duration = Duration::from_secs(2);
/// Time limit to open the connection for that check.
const CHECK_TIMEOUT: Duration = Duration::from_millis(300);

/// The server of a request, as it was when the request was sent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct UsedServer {
    pub(crate) key: ServerKey,
    pub(crate) start: ServerStart,
}

/// An answer that broke off.
#[derive(Clone, Debug)]
pub(crate) struct BrokenAnswer {
    pub(crate) server: UsedServer,
    /// Shared parts of the request's prompt.
    pub(crate) suspects: Rc<[Suspect]>,
    /// Whether the server had been writing the answer for long.
    pub(crate) is_long: bool,
    /// Whether the server acknowledges nothing any more.
    pub(crate) is_peer_unreachable: bool,
}

/// Records that an answer broke off at a server. A server that is leaving ends by plan, which is not
/// put down to its requests.
///
/// A long answer is often under way when a server ends for a reason of its own, so the end of a machine,
/// or one that may have been planned, is not put down to its prompt.
pub(crate) fn on_answer_broken(gateway: &Rc<Gateway>, answer: &BrokenAnswer) {
    if answer.suspects.is_empty() {
        return;
    }
    let now = gateway.now();
    let check_address = {
        let state = &mut *gateway.state.borrow_mut();
        let Some(server) = state.servers.get(answer.server.key) else {
            return;
        };
        let is_leaving = server.entry.state == ServerState::Draining || server.is_entry_removed();
        if start_of(server) != answer.server.start || is_leaving {
            return;
        }
        let known_at = state.store_availability.last_read_at();
        if let Some(reason) = other_cause(answer, known_at, now) {
            gateway.metrics.count("breaks_not_attributed");
            gateway.log_notable(&Event::BreakNotAttributed {
                server: &server.entry.id,
                reason,
                parts: LoggedParts(&answer.suspects),
            });
            return;
        }
        let is_first = state.pending_ends.on_broken(answer, server, now);
        is_first.then_some(server.entry.address)
    };
    if let Some(address) = check_address {
        spawn_local(check(Rc::clone(gateway), answer.server, address));
    }
}

/// Returns what else may have broken off a long answer. `known_at` is the time up to which the table of
/// servers was read.
fn other_cause(
    answer: &BrokenAnswer,
    known_at: Option<Duration>,
    now: Duration,
) -> Option<&'static str> {
    if !answer.is_long {
        return None;
    }
    if answer.is_peer_unreachable {
        return Some("the machine acknowledges nothing");
    }
    let is_known = known_at.is_some_and(|at| now.saturating_sub(at) < LEAVING_NOTICE_MIN);
    (!is_known).then_some("the end may be planned: the table of servers was not read lately")
}

/// Records that a whole answer to a request with these prompt parts was received, so that they are
/// sound.
pub(crate) fn on_prompt_completed(gateway: &Gateway, suspects: &[Suspect]) {
    if suspects.is_empty() {
        return;
    }
    let now = gateway.now();
    let quarantine = &mut gateway.state.borrow_mut().quarantine;
    if quarantine.on_completed(suspects, now) {
        gateway.evidence_changed.notify_one();
    }
}

/// Records that an answer without a length and chunks ended at a server. If the server still listens,
/// it was whole; otherwise it broke off.
pub(crate) fn on_unmarked_end(gateway: &Rc<Gateway>, answer: BrokenAnswer) {
    if answer.suspects.is_empty() {
        return;
    }
    let used = answer.server;
    let server_address = |gateway: &Gateway| {
        let state = gateway.state.borrow();
        let server = state.servers.get(used.key);
        server.map(|server| server.entry.address)
    };
    let Some(address) = server_address(gateway) else {
        return;
    };
    let gateway = Rc::clone(gateway);
    spawn_local(async move {
        sleep(CHECK_DELAY).await;
        let has_open_connection = gateway.pool(used.key).has_idle();
        let is_listening = has_open_connection || probe(&gateway, used, address).await.is_ok();
        if is_listening {
            on_prompt_completed(&gateway, &answer.suspects);
        } else {
            on_answer_broken(&gateway, &answer);
        }
    });
}

/// Opens a connection to find out whether a server listens.
async fn probe(gateway: &Gateway, used: UsedServer, address: SocketAddr) -> Result<(), SendError> {
    let limits = OpenLimits {
        timeout: CHECK_TIMEOUT,
        open_max: usize::MAX,
    };
    let pool = gateway.pool(used.key);
    pool.probe(address, limits, gateway.now()).await
}

/// Checks whether a server still listens. If nothing can be told, its entry decides later.
async fn check(gateway: Rc<Gateway>, used: UsedServer, address: SocketAddr) {
    sleep(CHECK_DELAY).await;
    match probe(&gateway, used, address).await {
        Ok(()) => gateway.state.borrow_mut().pending_ends.discard(used.start),
        Err(SendError::Refused(_)) => {
            let confirmed = gateway.state.borrow_mut().pending_ends.take(used.start);
            if let Some(confirmed) = confirmed {
                report(&gateway, &confirmed, "connection refused");
            }
        }
        Err(_) => {}
    }
}

/// Reports the servers at which answers broke off and whose entries show that they have ended.
pub(crate) fn report_replaced(gateway: &Gateway) {
    let now = gateway.now();
    let confirmed = {
        let state = &mut *gateway.state.borrow_mut();
        state.pending_ends.take_replaced(&state.servers, now)
    };
    for end in confirmed {
        report(gateway, &end, "entry replaced");
    }
}

fn report(gateway: &Gateway, end: &ConfirmedEnd, confirmed_by: &str) {
    let lost = &end.lost;
    let times = gateway.times();
    let state = &mut *gateway.state.borrow_mut();
    let mut servers = state.servers.iter();
    let server = servers.find(|(_, server)| start_of(server) == lost.server);
    gateway.metrics.count("server_ends_noticed");
    gateway.log_notable(&Event::ServerEnded {
        server: server.map_or("", |(_, server)| server.entry.id.as_str()),
        confirmed_by,
        lost: lost.count,
        lost_long: end.long_answers,
        suspects: lost.suspects.len(),
    });
    state.quarantine.on_server_ended(lost, times);
    gateway.evidence_changed.notify_one();
}
