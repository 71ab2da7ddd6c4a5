//! HTTP client for calls whose whole answer is read into memory, to the platform and to backend
//! servers.

use crate::connection::{Connection, SendError, describe};
use crate::pool::{OpenLimits, Pool};
use anvilgw_core::Clock;
use bytes::{Bytes, BytesMut};
use http::{HeaderMap, Request, Response, StatusCode};
use http_body::Body;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use indexmap::IndexMap;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::timeout;

/// Connection limits of a client. Calls are few, but one of them may be a long poll that holds its
/// connection.
const LIMITS: OpenLimits = OpenLimits {
    timeout: Duration::from_millis(600),
    open_max: 8,
};

/// Longest answer body that is read. The longest answers list the whole contents of a cache store.
const ANSWER_MAX_BYTES: usize = 8 * 1024 * 1024;

/// An answer whose body was read to its end.
#[derive(Clone, Debug)]
pub struct HttpAnswer {
    /// HTTP status; any value, also one of a failure.
    pub status: StatusCode,
    /// Headers as received.
    pub headers: HeaderMap,
    /// The complete body, at most 8 MiB.
    pub body: Bytes,
}

/// Sends requests to one address and keeps the connections open between calls.
pub struct HttpClient {
    address: SocketAddr,
    pool: Pool,
    clock: Arc<dyn Clock>,
}

impl HttpClient {
    /// Creates a client that opens its first connection with the first call.
    #[must_use]
    pub fn new(address: SocketAddr, clock: Arc<dyn Clock>) -> Self {
        Self {
            address,
            pool: Pool::default(),
            clock,
        }
    }

    /// Sends a request and reads the whole answer, at most for the time `limit`.
    ///
    /// # Errors
    ///
    /// Returns [`SendError`], whose variant tells whether the call may have taken effect. A timeout
    /// is [`SendError::OutcomeUnknown`].
    pub async fn call(
        &self,
        request: Request<Full<Bytes>>,
        limit: Duration,
    ) -> Result<HttpAnswer, SendError> {
        match timeout(limit, self.exchange(request)).await {
            Ok(result) => result,
            Err(_) => Err(SendError::OutcomeUnknown("no answer in time".to_owned())),
        }
    }

    async fn exchange(&self, request: Request<Full<Bytes>>) -> Result<HttpAnswer, SendError> {
        let mut checkouts = self.pool.checkouts(self.address);
        loop {
            let mut checkout = checkouts.next(LIMITS, self.clock.uptime()).await?;
            match checkout.connection.send(request.clone()).await {
                Err(SendError::NotSent(_)) if checkout.is_reused => {}
                Err(error) => return Err(error),
                Ok(response) => return self.read(checkout.connection, response).await,
            }
        }
    }

    async fn read(
        &self,
        connection: Connection,
        response: Response<Incoming>,
    ) -> Result<HttpAnswer, SendError> {
        let (head, body) = response.into_parts();
        let body = read_body(body).await.map_err(SendError::OutcomeUnknown)?;
        self.pool.keep(connection, None, self.clock.uptime());
        Ok(HttpAnswer {
            status: head.status,
            headers: head.headers,
            body,
        })
    }

    /// Closes idle connections that the peer is about to close, and returns whether any connection
    /// is still open.
    fn sweep(&self) -> bool {
        self.pool.sweep(self.clock.uptime());
        self.pool.open_count() > 0
    }
}

/// Reads a body into one buffer. A list of its chunks would take many times their length if they are
/// small, as each keeps the buffer in memory that it was read into.
async fn read_body(mut body: Incoming) -> Result<Bytes, String> {
    let length_bytes = body.size_hint().exact().unwrap_or_default();
    let mut buffer = BytesMut::with_capacity(ANSWER_MAX_BYTES.min(length_bytes as usize));
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| format!("the answer was cut: {}", describe(&error)))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if buffer.len() + data.len() > ANSWER_MAX_BYTES {
            return Err(format!(
                "the answer is longer than {ANSWER_MAX_BYTES} bytes"
            ));
        }
        buffer.extend_from_slice(&data);
    }
    Ok(buffer.freeze())
}

/// Clients by address, created on first use.
pub struct HttpClients {
    by_address: RefCell<IndexMap<SocketAddr, Rc<HttpClient>>>,
    clock: Arc<dyn Clock>,
}

impl HttpClients {
    /// Creates an empty set.
    #[must_use]
    pub fn new(clock: Arc<dyn Clock>) -> Self {
        Self {
            by_address: RefCell::default(),
            clock,
        }
    }

    /// Returns the client of an address. Creating a new one drops all clients without open
    /// connections, so that addresses that are no longer used take no memory.
    #[must_use]
    pub fn client(&self, address: SocketAddr) -> Rc<HttpClient> {
        let mut by_address = self.by_address.borrow_mut();
        if let Some(client) = by_address.get(&address) {
            return Rc::clone(client);
        }
        by_address.retain(|_, client| client.sweep());
        let client = Rc::new(HttpClient::new(address, Arc::clone(&self.clock)));
        by_address.insert(address, Rc::clone(&client));
        client
    }
}
