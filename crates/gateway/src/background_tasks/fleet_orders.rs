//! Orders of operators that the other daemons know and a restored metadata store may lack.
//!
//! A daemon that starts after the store came back from an older copy would take withdrawn keys and
//! replaced routes for valid until operators write again. The other daemons have read what the store
//! has lost.

use crate::gateway::Gateway;
use crate::http_client::HttpClients;
use crate::listeners::FLEET_ORDERS_PATH;
use crate::log::Event;
use crate::log_position::LogPosition;
use crate::page::fetch;
use crate::ports::{Table, Topic};
use bincode::{Decode, Encode};
use futures_util::future::join_all;
use rand::seq::IndexedRandom;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

/// Number of daemons that are asked at a time.
const ASKED_MAX: usize = 3;
/// Timeout of a question.
const TIMEOUT: Duration = Duration::from_millis(400);
/// Pause until other daemons are asked.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Number of times that daemons are asked if none answers.
const TRIES_MAX: usize = 5;

/// What a daemon knows of the operators' orders.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub(crate) struct FleetOrders {
    /// Position up to which the daemon has read the operators' table.
    pub(crate) next: LogPosition,
    /// Version of the configuration in force.
    pub(crate) configuration: u64,
    /// Its record, in the form of the metadata store's log.
    pub(crate) configuration_record: Vec<u8>,
    /// Failure domains that are out of service.
    pub(crate) domains_out: Vec<String>,
    /// Models with the version of their newest weights.
    pub(crate) weights: Vec<(String, u64)>,
}

impl FleetOrders {
    /// Returns what this daemon knows, or `None` if it has no configuration yet.
    pub(crate) fn known_to(gateway: &Gateway) -> Option<Self> {
        let state = gateway.state.borrow();
        let configuration = state.configuration.as_ref()?;
        let read = state.log_reads.get(&Topic::Table(Table::Operators))?;
        let weights = state.weights.iter();
        Some(Self {
            next: read.next,
            configuration: configuration.version,
            configuration_record: configuration.record.to_vec(),
            domains_out: state
                .servers
                .domains_out_of_service()
                .map(str::to_owned)
                .collect(),
            weights: weights
                .map(|(model, published)| (model.clone(), published.version))
                .collect(),
        })
    }
}

/// Asks other daemons what they know. Returns nothing if the fleet has no other daemons, or none
/// answers.
pub(super) async fn ask_fleet(gateway: &Gateway) -> Vec<FleetOrders> {
    let clients = HttpClients::new(Arc::clone(&gateway.ports.clock));
    for _ in 0..TRIES_MAX {
        let answers = match daemons_to_ask(gateway).await {
            Ok(daemons) if daemons.is_empty() => return Vec::new(),
            Ok(daemons) => {
                let questions = daemons
                    .into_iter()
                    .map(|daemon| ask(gateway, &clients, daemon));
                join_all(questions).await
            }
            Err(reason) => {
                gateway.log_notable(&Event::DependencyLost {
                    dependency: "metadata store, members",
                    reason: &reason,
                });
                Vec::new()
            }
        };
        let known: Vec<FleetOrders> = answers.into_iter().flatten().collect();
        if !known.is_empty() {
            return known;
        }
        sleep(RETRY_PAUSE).await;
    }
    Vec::new()
}

/// Returns other members of the fleet at random.
async fn daemons_to_ask(gateway: &Gateway) -> Result<Vec<SocketAddr>, String> {
    let members = gateway.ports.metadata_store.members().await;
    let members = members.map_err(|error| error.to_string())?;
    let own = gateway.settings.listen_peers;
    let addresses = members.iter().map(|member| member.address);
    let others: Vec<SocketAddr> = addresses.filter(|address| Some(*address) != own).collect();
    let rng = &mut gateway.state.borrow_mut().rng;
    Ok(others.sample(rng, ASKED_MAX).copied().collect())
}

/// Asks one daemon what it knows. Returns `None` if it does not answer.
pub(super) async fn ask_daemon(gateway: &Gateway, daemon: SocketAddr) -> Option<FleetOrders> {
    let clients = HttpClients::new(Arc::clone(&gateway.ports.clock));
    ask(gateway, &clients, daemon).await
}

async fn ask(gateway: &Gateway, clients: &HttpClients, daemon: SocketAddr) -> Option<FleetOrders> {
    let answer = fetch::<FleetOrders>(clients, daemon, FLEET_ORDERS_PATH, TIMEOUT).await;
    match answer {
        Ok(known) => {
            gateway.log_notable(&Event::FleetOrders {
                source: &daemon.to_string(),
                configuration: known.configuration,
                domains_out: known.domains_out.len(),
            });
            Some(known)
        }
        Err(_) => {
            gateway.metrics.count("fleet_orders_failed");
            None
        }
    }
}
