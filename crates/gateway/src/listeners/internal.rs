//! Accepts connections of the load balancer, of operators' tools and of other daemons.

use crate::connection_limit::internal_connections_max;
use crate::gateway::Gateway;
use crate::log::Event;
use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use std::collections::VecDeque;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::{sleep, timeout};

/// Time after which a connection is closed, whatever its state.
const CONNECTION_LIFE_MAX: Duration = Duration::from_secs(60);
/// Pause after a failure to accept a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// Answers a request without waiting for I/O.
pub(crate) type AnswerFn = fn(&Gateway, &Request<Incoming>) -> Response<Full<Bytes>>;

/// Accepts connections whose requests are answered without I/O by a given function.
pub(crate) struct InternalListener {
    gateway: Rc<Gateway>,
    listener: TcpListener,
    answer: AnswerFn,
}

impl InternalListener {
    pub(crate) fn new(gateway: Rc<Gateway>, listener: TcpListener, answer: AnswerFn) -> Self {
        Self {
            gateway,
            listener,
            answer,
        }
    }

    /// Accepts connections until the future is dropped.
    pub(crate) async fn run(&self) {
        let mut open = OpenConnections::new(&self.gateway);
        loop {
            match self.listener.accept().await {
                Ok((stream, _)) => {
                    let gateway = Rc::clone(&self.gateway);
                    open.add(spawn_local(serve_connection(gateway, stream, self.answer)));
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

/// Open connections from the oldest to the newest. The oldest is closed for a new one when there are
/// too many: requests are answered at once, so the oldest has most likely sent none.
struct OpenConnections {
    gateway: Rc<Gateway>,
    count_max: usize,
    tasks: VecDeque<JoinHandle<()>>,
}

impl OpenConnections {
    fn new(gateway: &Rc<Gateway>) -> Self {
        Self {
            gateway: Rc::clone(gateway),
            count_max: internal_connections_max(gateway.settings.descriptors_max),
            tasks: VecDeque::new(),
        }
    }

    fn add(&mut self, task: JoinHandle<()>) {
        self.tasks.push_back(task);
        if self.tasks.len() <= self.count_max {
            return;
        }
        self.tasks.retain(|task| !task.is_finished());
        if self.tasks.len() > self.count_max
            && let Some(oldest) = self.tasks.pop_front()
        {
            oldest.abort();
            self.gateway.metrics.count("internal_connections_closed");
        }
    }
}

async fn serve_connection(gateway: Rc<Gateway>, stream: TcpStream, answer: AnswerFn) {
    let service = service_fn(move |request| {
        let response = answer(&gateway, &request);
        async move { Ok::<_, Infallible>(response) }
    });
    let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    // A client that disconnects in the middle of a request is not worth a log line.
    let _ = timeout(CONNECTION_LIFE_MAX, connection).await;
}
