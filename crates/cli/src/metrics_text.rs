//! Reads the metrics of a daemon, which have the Prometheus text format.

use crate::error::CliError;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::body::Bytes;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use indexmap::IndexMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Time limit of the request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
/// Largest accepted body of an answer.
const ANSWER_MAX_BYTES: usize = 4 << 20;

/// One value of a metric.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Sample {
    pub(crate) name: String,
    pub(crate) labels: IndexMap<String, String>,
    pub(crate) value: String,
}

impl Sample {
    /// Returns the value of a label, or an empty text.
    pub(crate) fn label(&self, name: &str) -> &str {
        self.labels.get(name).map_or("", String::as_str)
    }
}

/// Reads the metrics at an address.
pub(crate) fn read(address: SocketAddr) -> Result<Vec<Sample>, CliError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| CliError::Failed(error.to_string()))?;
    let text = runtime.block_on(async {
        tokio::time::timeout(REQUEST_TIMEOUT, fetch(address))
            .await
            .unwrap_or_else(|_| Err("no answer in time".to_owned()))
    });
    let text = text.map_err(|reason| CliError::Failed(format!("{address}: {reason}")))?;
    Ok(text.lines().filter_map(parse_line).collect())
}

async fn fetch(address: SocketAddr) -> Result<String, String> {
    let uri = format!("http://{address}/metrics");
    let uri = uri.parse().map_err(|error| format!("{error}"))?;
    let client = Client::builder(TokioExecutor::new()).build_http::<Empty<Bytes>>();
    let answer = client.get(uri).await.map_err(|error| error.to_string())?;
    if !answer.status().is_success() {
        return Err(format!("status {}", answer.status()));
    }
    let body = Limited::new(answer.into_body(), ANSWER_MAX_BYTES).collect();
    let body = body.await.map_err(|error| error.to_string())?.to_bytes();
    Ok(String::from_utf8_lossy(&body).into_owned())
}

/// Parses a line. Returns `None` for comments and lines without labels.
fn parse_line(line: &str) -> Option<Sample> {
    let (name, rest) = line.split_once('{')?;
    let (labels, value) = rest.rsplit_once("} ")?;
    Some(Sample {
        name: name.to_owned(),
        labels: parse_labels(labels),
        value: value.to_owned(),
    })
}

fn parse_labels(mut text: &str) -> IndexMap<String, String> {
    let mut labels = IndexMap::new();
    while let Some((name, rest)) = text.split_once("=\"") {
        let (value, after) = take_value(rest);
        labels.insert(name.trim_start_matches(',').to_owned(), value);
        text = after;
    }
    labels
}

/// Returns the value of a label up to its closing quote, and the text after it.
fn take_value(text: &str) -> (String, &str) {
    let mut value = String::new();
    let mut chars = text.char_indices();
    while let Some((index, char)) = chars.next() {
        match char {
            '"' => return (value, &text[index + 1..]),
            '\\' => match chars.next() {
                Some((_, 'n')) => value.push('\n'),
                Some((_, escaped)) => value.push(escaped),
                None => break,
            },
            other => value.push(other),
        }
    }
    (value, "")
}
