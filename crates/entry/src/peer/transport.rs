//! Calls between daemons: one HTTP/2 connection per pair of daemons, one stream per call.
//!
//! A call that gets no answer in its time closes the connection, because the cause may be a middlebox
//! that has forgotten it. The next call opens a new one.

use bytes::{Bytes, BytesMut};
use h2::client::SendRequest;
use h2::{RecvStream, SendStream};
use http::{Method, Request, Response, StatusCode};
use indexmap::IndexMap;
use quick_error::quick_error;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Largest message between daemons: the full configuration state of the two-year size (200 KB) with
/// room to grow.
const MAX_MESSAGE_BYTES: usize = 4 * 1024 * 1024;
/// Time for opening a connection to another daemon.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

quick_error! {
    /// Why a call to another daemon failed.
    #[derive(Debug)]
    pub enum CallError {
        /// No connection: the peer did not see the call.
        Connect(detail: String) { display("peer cannot be reached: {}", detail) }
        /// The call was under way when it failed. The peer may have acted on it.
        Broken(detail: String) { display("call to peer failed: {}", detail) }
        /// No answer in time. The peer may have acted on the call.
        Timeout { display("peer did not answer in time") }
    }
}

/// Answers calls of other daemons.
pub(crate) trait PeerHandler: Send + Sync + 'static {
    /// Handles one call. `None` means that the message was not understood.
    fn handle(&self, message: Bytes) -> Pin<Box<dyn Future<Output = Option<Vec<u8>>> + Send + '_>>;
}

/// Accepts calls until `stop` turns true.
pub(crate) async fn serve(
    listener: TcpListener,
    handler: Arc<dyn PeerHandler>,
    mut stop: watch::Receiver<bool>,
) {
    loop {
        let stream = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stop.wait_for(|stop| *stop) => return,
        };
        let Ok((stream, _)) = stream else { continue };
        let _ = stream.set_nodelay(true);
        let handler = Arc::clone(&handler);
        let mut stop = stop.clone();
        tokio::spawn(async move {
            tokio::select! {
                () = serve_connection(stream, handler) => {}
                _ = stop.wait_for(|stop| *stop) => {}
            }
        });
    }
}

async fn serve_connection(stream: TcpStream, handler: Arc<dyn PeerHandler>) {
    let Ok(mut connection) = h2::server::handshake(stream).await else {
        return;
    };
    while let Some(Ok((request, respond))) = connection.accept().await {
        let handler = Arc::clone(&handler);
        tokio::spawn(async move {
            // A failed answer means that the caller has gone.
            let _ = answer(request, respond, handler).await;
        });
    }
}

async fn answer(
    request: Request<RecvStream>,
    mut respond: h2::server::SendResponse<Bytes>,
    handler: Arc<dyn PeerHandler>,
) -> Result<(), h2::Error> {
    let message = read_body(request.into_body()).await?;
    let answer = match message {
        Some(message) => handler.handle(message).await,
        None => None,
    };
    let mut response = Response::new(());
    let Some(answer) = answer else {
        *response.status_mut() = StatusCode::BAD_REQUEST;
        respond.send_response(response, true)?;
        return Ok(());
    };
    let stream = respond.send_response(response, false)?;
    write_body(stream, answer.into()).await
}

/// Reads a body; `None` if it is larger than allowed.
async fn read_body(mut body: RecvStream) -> Result<Option<Bytes>, h2::Error> {
    let mut message = BytesMut::new();
    while let Some(chunk) = body.data().await {
        let chunk = chunk?;
        let _ = body.flow_control().release_capacity(chunk.len());
        if message.len() + chunk.len() > MAX_MESSAGE_BYTES {
            return Ok(None);
        }
        message.extend_from_slice(&chunk);
    }
    Ok(Some(message.freeze()))
}

/// Writes a body as the peer's flow control allows.
async fn write_body(mut stream: SendStream<Bytes>, mut body: Bytes) -> Result<(), h2::Error> {
    while !body.is_empty() {
        stream.reserve_capacity(body.len());
        let granted = std::future::poll_fn(|context| stream.poll_capacity(context)).await;
        let Some(granted) = granted.transpose()? else {
            return Ok(());
        };
        let chunk = body.split_to(granted.min(body.len()));
        let last = body.is_empty();
        stream.send_data(chunk, last)?;
    }
    Ok(())
}

/// Calls other daemons.
#[derive(Default)]
pub(crate) struct PeerClient {
    connections: Mutex<IndexMap<SocketAddr, SendRequest<Bytes>>>,
}

impl PeerClient {
    /// Sends a message and waits for the answer.
    pub(crate) async fn call(
        &self,
        peer: SocketAddr,
        message: Vec<u8>,
        timeout: Duration,
    ) -> Result<Bytes, CallError> {
        match tokio::time::timeout(timeout, self.try_call(peer, message)).await {
            Ok(Ok(answer)) => Ok(answer),
            Ok(Err(error)) => {
                self.forget(peer);
                Err(error)
            }
            Err(_) => {
                self.forget(peer);
                Err(CallError::Timeout)
            }
        }
    }

    async fn try_call(&self, peer: SocketAddr, message: Vec<u8>) -> Result<Bytes, CallError> {
        let sender = self.connection(peer).await?;
        let mut sender = sender
            .ready()
            .await
            .map_err(|error| connect_error(&error))?;
        let request = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{peer}/"))
            .body(())
            .map_err(|error| CallError::Connect(error.to_string()))?;
        let (response, stream) = sender
            .send_request(request, false)
            .map_err(|error| connect_error(&error))?;
        write_body(stream, message.into())
            .await
            .map_err(|error| broken(&error))?;
        let response = response.await.map_err(|error| broken(&error))?;
        if response.status() != StatusCode::OK {
            return Err(CallError::Broken(format!("status {}", response.status())));
        }
        let answer = read_body(response.into_body())
            .await
            .map_err(|error| broken(&error))?;
        answer.ok_or_else(|| CallError::Broken("the answer is too large".to_owned()))
    }

    async fn connection(&self, peer: SocketAddr) -> Result<SendRequest<Bytes>, CallError> {
        if let Some(sender) = self.connections().get(&peer) {
            return Ok(sender.clone());
        }
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(peer))
            .await
            .map_err(|_| CallError::Connect("connecting timed out".to_owned()))?
            .map_err(|error| CallError::Connect(error.to_string()))?;
        let _ = stream.set_nodelay(true);
        let (sender, connection) = h2::client::handshake(stream)
            .await
            .map_err(|error| connect_error(&error))?;
        tokio::spawn(async move {
            // Calls on the connection see its error themselves.
            let _ = connection.await;
        });
        self.connections().insert(peer, sender.clone());
        Ok(sender)
    }

    fn forget(&self, peer: SocketAddr) {
        self.connections().swap_remove(&peer);
    }

    fn connections(&self) -> std::sync::MutexGuard<'_, IndexMap<SocketAddr, SendRequest<Bytes>>> {
        self.connections.lock().expect("peer connections lock")
    }
}

fn connect_error(error: &h2::Error) -> CallError {
    CallError::Connect(error.to_string())
}

fn broken(error: &h2::Error) -> CallError {
    CallError::Broken(error.to_string())
}
