//! Answers to completion requests as server-sent events.

use super::batch::Progress;
use super::completion::Completion;
use super::config::EngineFaults;
use super::{EngineStandin, InFlightRequest};
use crate::connection::Connection;
use crate::fault_rng::FaultRng;
use crate::server::Reply;
use bytes::Bytes;
use futures_util::stream;
use http::{Response, header};
use http_body::Frame;
use http_body_util::StreamBody;
use http_body_util::combinators::UnsyncBoxBody;
use serde_json::json;
use std::fmt::Write as _;
use std::future::Future;
use std::io;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{Instant, interval_at};

/// Parts of an answer that are buffered while the caller reads slowly.
const PARTS_IN_FLIGHT: usize = 16;
/// Event that marks the end of a complete answer.
const END_MARKER: &str = "data: [DONE]\n\n";
/// SSE comment that shows that the connection is alive.
const PING: &str = ": ping\n\n";

/// Fault of one stream; see the probabilities of [`EngineFaults`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StreamFault {
    None,
    Cut,
    Silence,
    Foreign,
    Repeat,
    Skip,
    NoEnd,
}

impl StreamFault {
    pub(crate) fn draw(faults: &EngineFaults, fault_rng: &FaultRng) -> Self {
        let table = [
            (faults.cut_probability, Self::Cut),
            (faults.silence_probability, Self::Silence),
            (faults.foreign_probability, Self::Foreign),
            (faults.repeat_probability, Self::Repeat),
            (faults.skip_probability, Self::Skip),
            (faults.no_end_probability, Self::NoEnd),
        ];
        table
            .into_iter()
            .find_map(|(probability, fault)| fault_rng.chance(probability).then_some(fault))
            .unwrap_or(Self::None)
    }
}

type Part = io::Result<Frame<Bytes>>;

/// Writes the events of one answer.
pub(crate) struct EventStream {
    engine: Arc<EngineStandin>,
    completion: Completion,
    /// Text with which each event begins: `data: {"id":...,"attempt":...`.
    event_prefix: String,
    parts: mpsc::Sender<Part>,
    fault: StreamFault,
    /// Position of the token at which the fault takes effect.
    fault_at: u64,
    connection: Arc<Connection>,
}

/// The stream ended early: the caller closed the connection, or a fault or a crash cut it.
struct StreamEnded;

impl EventStream {
    /// Spawns the task that writes the events, and returns the answer that streams them.
    pub(crate) fn start(
        engine: Arc<EngineStandin>,
        completion: Completion,
        in_flight: InFlightRequest,
        (fault, fault_at): (StreamFault, u64),
        connection: Arc<Connection>,
    ) -> Reply {
        let (parts, receiver) = mpsc::channel(PARTS_IN_FLIGHT);
        let id = serde_json::Value::from(completion.extension.request_id.as_str());
        let stream = Self {
            event_prefix: format!(
                "data: {{\"id\":{id},\"attempt\":{}",
                completion.extension.attempt
            ),
            engine,
            completion,
            parts,
            fault,
            fault_at,
            connection,
        };
        tokio::spawn(async move {
            // The caller sees the early end of the stream itself.
            let _ = stream.run(&in_flight).await;
        });
        let body = stream::unfold(receiver, |mut receiver| async {
            Some((receiver.recv().await?, receiver))
        });
        Reply::Answer(
            Response::builder()
                .header(header::CONTENT_TYPE, "text/event-stream")
                .body(UnsyncBoxBody::new(StreamBody::new(body)))
                .expect("constant headers are valid"),
        )
    }

    async fn run(&self, in_flight: &InFlightRequest) -> Result<(), StreamEnded> {
        let start = self.completion.start(&self.engine, in_flight);
        let mut progress = self.ping_while(start).await?;
        let mut sent = self.completion.extension.resume_from;
        loop {
            if self.ping_while(progress.changed()).await?.is_err() {
                // The sender is dropped when the engine crashes.
                return self.cut().await;
            }
            let now = *progress.borrow_and_update();
            let mut text = String::new();
            while sent < now.produced {
                if sent == self.fault_at {
                    self.apply_fault(&mut text, sent).await?;
                }
                if self.fault != StreamFault::Skip || sent != self.fault_at {
                    self.push_token(&mut text, sent);
                }
                sent += 1;
            }
            if now.ended {
                self.push_end(&mut text, &now);
                return self.send(text).await;
            }
            self.send(text).await?;
        }
    }

    async fn apply_fault(&self, text: &mut String, index: u64) -> Result<(), StreamEnded> {
        match self.fault {
            StreamFault::Cut => {
                self.send(std::mem::take(text)).await?;
                self.cut().await
            }
            StreamFault::Silence => {
                self.send(std::mem::take(text)).await?;
                self.connection.silence();
                Ok(())
            }
            StreamFault::Foreign => {
                text.push_str("data: {\"id\":\"foreign\",\"attempt\":0");
                self.push_token_fields(text, index);
                Ok(())
            }
            StreamFault::Repeat => {
                self.push_token(text, index);
                Ok(())
            }
            StreamFault::None | StreamFault::Skip | StreamFault::NoEnd => Ok(()),
        }
    }

    fn push_token(&self, text: &mut String, index: u64) {
        text.push_str(&self.event_prefix);
        self.push_token_fields(text, index);
    }

    fn push_token_fields(&self, text: &mut String, index: u64) {
        // Tokens consist of letters and spaces, which need no escaping in JSON.
        let token = self.completion.answer.token(index);
        write!(text, ",\"index\":{index},\"text\":\"{token}\"}}\n\n")
            .expect("writing to a string succeeds");
    }

    fn push_end(&self, text: &mut String, progress: &Progress) {
        let reason = self.completion.finish_reason;
        let usage = json!(progress.usage);
        let event_prefix = &self.event_prefix;
        write!(
            text,
            "{event_prefix},\"finish_reason\":\"{reason}\",\"usage\":{usage}}}\n\n"
        )
        .expect("writing to a string succeeds");
        if self.fault != StreamFault::NoEnd {
            text.push_str(END_MARKER);
        }
    }

    async fn send(&self, text: String) -> Result<(), StreamEnded> {
        if text.is_empty() {
            return Ok(());
        }
        let part = Ok(Frame::data(Bytes::from(text)));
        self.parts.send(part).await.map_err(|_| StreamEnded)
    }

    async fn cut(&self) -> Result<(), StreamEnded> {
        let error = io::ErrorKind::ConnectionAborted.into();
        // Sending fails if the caller has already closed the connection.
        let _ = self.parts.send(Err(error)).await;
        Err(StreamEnded)
    }

    /// Awaits a future and sends pings meanwhile.
    async fn ping_while<T>(&self, wait: impl Future<Output = T>) -> Result<T, StreamEnded> {
        let mut wait = pin!(wait);
        let period = Duration::from_millis(self.engine.config.ping_ms.max(1));
        let mut pings = interval_at(Instant::now() + period, period);
        loop {
            tokio::select! {
                biased;
                result = &mut wait => return Ok(result),
                () = self.parts.closed() => return Err(StreamEnded),
                _ = pings.tick() => self.send(PING.to_owned()).await?,
            }
        }
    }
}
