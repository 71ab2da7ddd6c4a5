//! Transport of calls between daemons: a daemon opens one HTTP/2 connection to each daemon that it
//! calls and uses one stream per call.
//!
//! A call that fails or gets no answer within its time limit closes the connection, because a
//! middlebox may have dropped its state. The next call opens a new connection.

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

/// Largest message between daemons, in bytes. The full configuration state at the size expected in
/// two years takes 200 KB; the rest is room to grow.
const MAX_MESSAGE_BYTES: usize = 4 * 1024 * 1024;
/// Time limit for opening a connection to another daemon.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

quick_error! {
    /// Why a call to another daemon failed.
    #[derive(Debug)]
    pub enum CallError {
        /// No connection could be opened or used, so the peer did not receive the call.
        Connect(detail: String) { display("peer cannot be reached: {}", detail) }
        /// The call failed after it was started. The peer may have acted on it.
        Broken(detail: String) { display("call to peer failed: {}", detail) }
        /// The peer did not answer in time. It may have acted on the call.
        Timeout { display("peer did not answer in time") }
    }
}

/// Handles calls of other daemons.
pub(crate) trait PeerHandler: Send + Sync + 'static {
    /// Returns the answer to one call, or `None` if the message cannot be decoded.
    fn handle(&self, message: Bytes) -> Pin<Box<dyn Future<Output = Option<Vec<u8>>> + Send + '_>>;
}

/// Accepts connections of other daemons and answers their calls until `stop` becomes true.
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
            // An error means that the calling daemon has closed the connection.
            let _ = answer_call(request, respond, handler).await;
        });
    }
}

async fn answer_call(
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

/// Reads a body. Returns `None` if it is larger than [`MAX_MESSAGE_BYTES`].
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

/// Writes a body at the pace that the peer's flow control allows.
async fn write_body(mut stream: SendStream<Bytes>, mut body: Bytes) -> Result<(), h2::Error> {
    while !body.is_empty() {
        stream.reserve_capacity(body.len());
        let granted = std::future::poll_fn(|context| stream.poll_capacity(context)).await;
        let Some(granted) = granted.transpose()? else {
            return Ok(());
        };
        let chunk = body.split_to(granted.min(body.len()));
        let is_last = body.is_empty();
        stream.send_data(chunk, is_last)?;
    }
    Ok(())
}

/// Client for calls to other daemons. Keeps one connection to each.
#[derive(Default)]
pub(crate) struct PeerClient {
    connections: Mutex<IndexMap<SocketAddr, SendRequest<Bytes>>>,
}

impl PeerClient {
    /// Sends a message and waits for the answer for at most `timeout`, including the time to
    /// connect.
    ///
    /// # Errors
    ///
    /// [`CallError`]; only `Connect` guarantees that the peer did not receive the message.
    pub(crate) async fn call(
        &self,
        peer: SocketAddr,
        message: Vec<u8>,
        timeout: Duration,
    ) -> Result<Bytes, CallError> {
        match tokio::time::timeout(timeout, self.try_call(peer, message)).await {
            Ok(Ok(answer)) => Ok(answer),
            Ok(Err(error)) => {
                self.drop_connection(peer);
                Err(error)
            }
            Err(_) => {
                self.drop_connection(peer);
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
            .map_err(|error| broken_error(&error))?;
        let response = response.await.map_err(|error| broken_error(&error))?;
        if response.status() != StatusCode::OK {
            return Err(CallError::Broken(format!("status {}", response.status())));
        }
        let answer = read_body(response.into_body())
            .await
            .map_err(|error| broken_error(&error))?;
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
            // Each call on the connection gets the error itself.
            let _ = connection.await;
        });
        self.connections().insert(peer, sender.clone());
        Ok(sender)
    }

    fn drop_connection(&self, peer: SocketAddr) {
        self.connections().swap_remove(&peer);
    }

    fn connections(&self) -> std::sync::MutexGuard<'_, IndexMap<SocketAddr, SendRequest<Bytes>>> {
        self.connections.lock().expect("peer connections lock")
    }
}

fn connect_error(error: &h2::Error) -> CallError {
    CallError::Connect(error.to_string())
}

fn broken_error(error: &h2::Error) -> CallError {
    CallError::Broken(error.to_string())
}
