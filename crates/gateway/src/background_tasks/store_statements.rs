//! Asks other daemons whether the metadata store was available while this one could not read the
//! servers' table.

use super::rollouts::on_servers_changed;
use super::servers::expire;
use crate::gateway::Gateway;
use crate::http_client::HttpClients;
use crate::listeners::STORE_SERVED_PATH;
use crate::log::Event;
use crate::page::fetch;
use crate::store_availability::ServedStatement;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use rand::seq::IndexedRandom;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Number of daemons that are asked at a time, besides the one whose copy this daemon reads.
const ASKED_MAX: usize = 3;
/// Timeout of a question.
const TIMEOUT: Duration = Duration::from_millis(400);
/// Pause until other daemons are asked.
const ASK_PAUSE: Duration = Duration::from_millis(200);

/// Asks other daemons as long as their statements may shorten the time for which servers without an
/// entry are used, unless they are being asked.
pub(super) fn ask_others(gateway: &Rc<Gateway>) {
    let now = gateway.now();
    let is_needed = {
        let state = &mut *gateway.state.borrow_mut();
        let is_needed = state.store_availability.awaits_statements(now);
        is_needed && !std::mem::replace(&mut state.is_asking_others, true)
    };
    if is_needed {
        spawn_local(ask_until_known(Rc::clone(gateway)));
    }
}

async fn ask_until_known(gateway: Rc<Gateway>) {
    let clients = HttpClients::new(Arc::clone(&gateway.ports.clock));
    while is_open(&gateway) {
        let asked = daemons_to_ask(&gateway);
        let mut answers: FuturesUnordered<_> = asked
            .into_iter()
            .map(|daemon| ask(&gateway, &clients, daemon))
            .collect();
        while answers.next().await.is_some() {}
        sleep(ASK_PAUSE).await;
    }
    gateway.state.borrow_mut().is_asking_others = false;
}

fn is_open(gateway: &Gateway) -> bool {
    let now = gateway.now();
    gateway
        .state
        .borrow()
        .store_availability
        .awaits_statements(now)
}

/// Returns the daemon whose copy this one reads, and some others at random.
fn daemons_to_ask(gateway: &Gateway) -> Vec<SocketAddr> {
    let state = &mut *gateway.state.borrow_mut();
    let source = state.store_reads.source();
    let own = gateway.settings.listen_peers;
    let members = state.fleet.members().iter().copied();
    let others: Vec<SocketAddr> = members
        .filter(|member| Some(*member) != own && Some(*member) != source)
        .collect();
    let sampled = others.sample(&mut state.rng, ASKED_MAX).copied();
    source.into_iter().chain(sampled).collect()
}

/// Asks one daemon and applies its statement. One that does not answer tells nothing.
async fn ask(gateway: &Gateway, clients: &HttpClients, daemon: SocketAddr) {
    let asked_at = gateway.now();
    let answer = fetch::<ServedStatement>(clients, daemon, STORE_SERVED_PATH, TIMEOUT).await;
    let Ok(statement) = answer else {
        gateway.metrics.count("store_statements_failed");
        return;
    };
    let now = gateway.now();
    let grace_left = {
        let state = &mut *gateway.state.borrow_mut();
        let availability = &mut state.store_availability;
        if !availability.on_statement(statement, asked_at, now) {
            return;
        }
        let grace_left = availability.grace_left(now);
        state.servers.limit_grace(now + grace_left);
        grace_left
    };
    log_statement(gateway, daemon, grace_left);
    expire(gateway);
    on_servers_changed(gateway);
}

fn log_statement(gateway: &Gateway, daemon: SocketAddr, grace_left: Duration) {
    let now = gateway.now();
    let availability = gateway.state.borrow().store_availability;
    let known_until = availability.known_until().unwrap_or(now);
    let served_for_ms = availability
        .statement(now)
        .map_or(0, |served| served.since_ms);
    gateway.log_notable(&Event::StoreServed {
        source: &daemon.to_string(),
        unknown_since_ms: now.saturating_sub(known_until).as_millis() as u64,
        served_for_ms,
        grace_ms: grace_left.as_millis() as u64,
    });
}
