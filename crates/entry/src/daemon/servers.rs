//! Addresses of the daemon and the servers that listen there.

use super::StartError;
use crate::admin;
use crate::context::Context;
use crate::front::{self, ServerLimits};
use crate::peer;
use anvilgw_config::Settings;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;

pub(super) struct Sockets {
    pub(super) callers: TcpListener,
    pub(super) admin: TcpListener,
    pub(super) peers: TcpListener,
    pub(super) datagrams: UdpSocket,
}

/// Opens the sockets of the daemon.
pub(super) async fn listen(settings: &Settings) -> Result<Sockets, StartError> {
    let daemon = &settings.daemon;
    let bind = async |address: SocketAddr| {
        TcpListener::bind(address)
            .await
            .map_err(|source| StartError::Listen(address, source))
    };
    Ok(Sockets {
        callers: bind(daemon.listen).await?,
        admin: bind(daemon.admin_listen).await?,
        peers: bind(daemon.peer_listen).await?,
        datagrams: UdpSocket::bind(daemon.peer_listen)
            .map_err(|source| StartError::Listen(daemon.peer_listen, source))?,
    })
}

/// Starts the servers. The one for callers is the first.
pub(super) fn serve(
    context: &Arc<Context>,
    (callers, admin, peers): (TcpListener, TcpListener, TcpListener),
    stop_accepting: &watch::Receiver<bool>,
    stop_tasks: &watch::Receiver<bool>,
) -> Vec<JoinHandle<()>> {
    let limits = &context.settings.limits;
    let limits = ServerLimits {
        header_bytes: limits.header_bytes,
        header_read: Duration::from_millis(limits.request_read_ms),
        connections: limits.connections as usize,
    };
    let handler = Arc::new(peer::PeerRequestHandler {
        claims: Arc::clone(&context.claims),
        control: Arc::clone(&context.control),
        budgets: Arc::clone(&context.budgets),
    });
    let caller_routes = front::router(Arc::clone(context));
    let admin_routes = admin::router(Arc::clone(context));
    vec![
        tokio::spawn(front::serve(
            callers,
            caller_routes,
            limits,
            stop_accepting.clone(),
            stop_tasks.clone(),
        )),
        tokio::spawn(front::serve(
            admin,
            admin_routes,
            limits,
            stop_tasks.clone(),
            stop_tasks.clone(),
        )),
        tokio::spawn(peer::serve(peers, handler, stop_tasks.clone())),
    ]
}
