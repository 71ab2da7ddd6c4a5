//! Accepts connections of the balancer, of operators' tools and of other daemons.

use crate::gateway::Gateway;
use crate::log::Event;
use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};

/// Longest life of a connection.
const CONNECTION_LIFE_MAX: Duration = Duration::from_secs(60);
/// Pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// Answers a request at once.
pub(crate) type Answer = fn(&Gateway, &Request<Incoming>) -> Response<Full<Bytes>>;

/// Accepts connections whose requests are answered at once.
pub(crate) struct InternalListener {
    gateway: Rc<Gateway>,
    listener: TcpListener,
    answer: Answer,
}

impl InternalListener {
    pub(crate) fn new(gateway: Rc<Gateway>, listener: TcpListener, answer: Answer) -> Self {
        Self {
            gateway,
            listener,
            answer,
        }
    }

    /// Accepts connections until the task is dropped.
    pub(crate) async fn run(&self) {
        loop {
            match self.listener.accept().await {
                Ok((stream, _)) => {
                    let gateway = Rc::clone(&self.gateway);
                    tokio::task::spawn_local(serve_connection(gateway, stream, self.answer));
                }
                Err(error) => {
                    self.gateway.log_notable(&Event::DependencyLost {
                        dependency: "internal listener",
                        reason: &error.to_string(),
                    });
                    sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }
}

async fn serve_connection(gateway: Rc<Gateway>, stream: TcpStream, answer: Answer) {
    let service = service_fn(move |request| {
        let response = answer(&gateway, &request);
        async move { Ok::<_, Infallible>(response) }
    });
    let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    // A caller that goes away in the middle of a request needs no line in the log.
    let _ = timeout(CONNECTION_LIFE_MAX, connection).await;
}
