//! Finds the cause of a failed request in the log lines of gateway daemons.

use crate::log_line::{LogLine, parse};
use std::fmt::Write;
use std::io::{BufRead, Error};

/// Log lines about one request.
#[derive(Debug, Default)]
pub(crate) struct RequestHistory {
    /// Lines of the event `attempt`.
    attempts: Vec<LogLine>,
    /// Lines of the event `request`, which is logged when a request ends.
    ends: Vec<LogLine>,
    /// Line of the last `dependency_lost` event before the end of the request.
    last_lost_dependency: Option<LogLine>,
}

impl RequestHistory {
    /// Collects the lines about a request. Text before the first brace of a line, such as the name
    /// of a daemon, is skipped, as are lines that are not log lines.
    ///
    /// # Errors
    ///
    /// Returns an error if the input cannot be read.
    pub(crate) fn read(input: impl BufRead, request: &str) -> Result<Self, Error> {
        let mut history = Self::default();
        let mut lost = None;
        for line in input.lines() {
            let line = line?;
            let Some(line) = parse(&line) else { continue };
            if line.event == "dependency_lost" {
                lost = Some(line);
            } else if line.request == request && line.event == "attempt" {
                history.attempts.push(line);
            } else if line.request == request && line.event == "request" {
                history.ends.push(line);
                history.last_lost_dependency.clone_from(&lost);
            }
        }
        Ok(history)
    }

    /// Returns whether the log has no line about the request.
    pub(crate) fn is_empty(&self) -> bool {
        self.attempts.is_empty() && self.ends.is_empty()
    }

    /// Formats the attempts, the end and the cause of the request as text.
    pub(crate) fn render(&self) -> String {
        let mut text = String::new();
        for attempt in &self.attempts {
            // Writing to a string does not fail.
            let _ = writeln!(
                text,
                "{} attempt {} at {}: {} after {} ms",
                attempt.time_ms,
                attempt.attempt,
                server_text(attempt),
                attempt.reason,
                attempt.elapsed_ms
            );
            render_answer_end(&mut text, attempt);
            if !attempt.parts.is_empty() {
                let _ = writeln!(text, "  shared prompt parts: {}", attempt.parts.join(", "));
            }
            render_choice(&mut text, attempt);
        }
        for end in &self.ends {
            let _ = writeln!(
                text,
                "{} end: status {}, {}, executed {}, route {}, workspace {}, after {} ms",
                end.time_ms,
                end.status,
                end.outcome,
                or_dash(&end.executed),
                or_dash(&end.route),
                or_dash(&end.workspace),
                end.elapsed_ms
            );
            if !end.server.is_empty() {
                let _ = writeln!(text, "  last server: {}", server_text(end));
            }
            render_answer_end(&mut text, end);
            render_choice(&mut text, end);
            let _ = writeln!(text, "cause: {}", self.cause(end));
        }
        text
    }

    fn cause(&self, end: &LogLine) -> String {
        match end.outcome.as_str() {
            "answered" if end.status < 500 => "none, a backend server answered".to_owned(),
            "answered" => format!("backend server {} failed the request", end.server),
            "stale_view" => self.stale_view_cause(end),
            "client_gone" => "the client closed the connection before the answer".to_owned(),
            "overloaded" | "no_backend" => format!("no capacity: {}", end.reason),
            "not_found" | "unauthenticated" => format!(
                "configuration {} does not allow it: {}",
                end.configuration, end.reason
            ),
            _ if end.server.is_empty() => end.reason.clone(),
            _ => format!("backend server {}: {}", end.server, end.reason),
        }
    }

    fn stale_view_cause(&self, end: &LogLine) -> String {
        let age_ms = end.configuration_age_ms;
        let copy = format!("the daemon's copy of the configuration was {age_ms} ms old");
        match &self.last_lost_dependency {
            Some(lost) => format!(
                "{copy}; it had lost the {} at {}: {}",
                lost.dependency, lost.time_ms, lost.reason
            ),
            None => copy,
        }
    }
}

/// Appends how the backend server's answer of a line ends.
fn render_answer_end(text: &mut String, line: &LogLine) {
    // Writing to a string does not fail.
    if line.ends_with_connection {
        let _ = writeln!(text, "  answer without length or chunks");
    }
    if !line.stream_position.is_empty() {
        let position = line.stream_position.replace('_', " ");
        let _ = writeln!(text, "  stream ended {position}");
    }
    if let Some(silent_ms) = line.silent_ms {
        let _ = writeln!(text, "  given up after {silent_ms} ms without an event");
    }
    if !line.not_resumed.is_empty() {
        let _ = writeln!(text, "  not resumed: {}", line.not_resumed);
    }
}

/// Returns the server of a line with its software version, if it has one.
fn server_text(line: &LogLine) -> String {
    if line.server_version.is_empty() {
        return or_dash(&line.server).to_owned();
    }
    format!("{} (version {})", line.server, line.server_version)
}

/// Appends what the daemon knew when it selected the backend server of a line.
fn render_choice(text: &mut String, line: &LogLine) {
    let Some(choice) = line.choice else { return };
    let age = choice
        .load_age_ms
        .map_or("none reported".to_owned(), |age| {
            format!("reported {age} ms before")
        });
    // Writing to a string does not fail.
    let _ = writeln!(
        text,
        "  chosen with {:.0} requests on {} ({age})",
        choice.load,
        or_dash(&line.server)
    );
    if let Some(prompt) = choice.prompt {
        let weights = prompt
            .weights
            .map_or("-".to_owned(), |version| version.to_string());
        let _ = writeln!(
            text,
            "  shared prompt tokens: {} fetched, {} computed; weights {weights}",
            prompt.fetched_tokens, prompt.computed_tokens
        );
    }
}

fn or_dash(text: &str) -> &str {
    if text.is_empty() { "-" } else { text }
}
