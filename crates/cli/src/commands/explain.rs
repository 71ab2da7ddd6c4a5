//! `anvilgw explain`: shows what happened to one request, or counts all requests in a log.

use crate::admin::AdminClient;
use crate::error::{CliError, EXIT_CODES};
use crate::log_summary::{HEADER, LogSummary};
use crate::options::{ADMIN_HELP, Options};
use crate::render::{print, print_json, print_table};
use crate::request_log::RequestHistory;
use anvilgw_core::RequestId;
use lexopt::Parser;
use serde_json::Value;
use std::fs::File;
use std::io::{BufRead, BufReader, stdin};
use std::path::Path;
use std::process::ExitCode;

pub(super) fn run(parser: &mut Parser) -> Result<ExitCode, CliError> {
    let options = Options::parse(parser, &["admin", "key-file", "json", "log", "summary"])?;
    if options.help {
        print(&format!(
            "Shows what happened to one request\n\n\
             Usage: anvilgw explain [--log FILE] REQUEST_ID\n       anvilgw explain --log FILE --summary\n\n\
             With --log, the cause is found in the log lines of gateway daemons in FILE (`-` for\n\
             standard input), and REQUEST_ID is the identifier that the caller gave. With\n\
             --summary, the requests of all daemons in FILE are counted by time and route.\n\n\
             REQUEST_ID is the value of the answer's `x-request-id` header. Only the daemon that\n\
             handled the request has its events; ask that daemon's admin address.\n\n\
             Options:\n{ADMIN_HELP}\n{EXIT_CODES}"
        ));
        return Ok(ExitCode::SUCCESS);
    }
    if options.summary {
        return print_summary(&options);
    }
    let [id] = options.positionals.as_slice() else {
        return Err(CliError::Usage(
            "expected `explain REQUEST_ID`; see --help".to_owned(),
        ));
    };
    if let Some(log) = &options.log {
        return explain_from_log(log, id);
    }
    let id: RequestId = id
        .parse()
        .map_err(|_| CliError::Usage(format!("{id:?} is not a request id (hexadecimal digits)")))?;
    let record: Value = AdminClient::new(&options)?.get(&format!("/admin/explain/{id}"))?;
    if options.json {
        print_json(&record);
    } else {
        print_record(&record);
    }
    Ok(ExitCode::SUCCESS)
}

/// Opens a log file, or the standard input if the path is `-`.
fn open(log: &Path) -> Result<Box<dyn BufRead>, CliError> {
    if log == Path::new("-") {
        return Ok(Box::new(stdin().lock()));
    }
    let file = File::open(log).map_err(|error| file_error(log, error))?;
    Ok(Box::new(BufReader::new(file)))
}

fn file_error(log: &Path, error: std::io::Error) -> CliError {
    CliError::File(log.display().to_string(), error)
}

fn print_summary(options: &Options) -> Result<ExitCode, CliError> {
    let Some(log) = &options.log else {
        let detail = "--summary needs --log FILE; see --help".to_owned();
        return Err(CliError::Usage(detail));
    };
    let summary = LogSummary::read(open(log)?).map_err(|error| file_error(log, error))?;
    if summary.is_empty() {
        let detail = format!("{}: no line about a request", log.display());
        return Err(CliError::Failed(detail));
    }
    print_table(&HEADER, &summary.rows());
    Ok(ExitCode::SUCCESS)
}

fn explain_from_log(log: &Path, id: &str) -> Result<ExitCode, CliError> {
    let history = RequestHistory::read(open(log)?, id).map_err(|error| file_error(log, error))?;
    if history.is_empty() {
        let detail = format!("{}: no line about request {id}", log.display());
        return Err(CliError::Failed(detail));
    }
    print(&history.render());
    Ok(ExitCode::SUCCESS)
}

/// Formats a value of the answer for a table cell.
fn cell_text(value: &Value) -> String {
    match value {
        Value::Null => "-".to_owned(),
        Value::String(text) => text.clone(),
        Value::Number(number) => match number.as_f64() {
            Some(value) if number.is_f64() => format!("{value:.2}"),
            _ => number.to_string(),
        },
        other => other.to_string(),
    }
}

fn print_record(record: &Value) {
    let fields = [
        "workspace",
        "target",
        "result",
        "queued_ms",
        "config_version",
        "claim",
        "trace_id",
    ];
    let rows: Vec<_> = fields
        .iter()
        .map(|field| vec![(*field).to_owned(), cell_text(&record[*field])])
        .collect();
    print_table(&["request", ""], &rows);
    let names = record["server_names"].as_array();
    for attempt in record["attempts"].as_array().into_iter().flatten() {
        print(&format!(
            "\nattempt {} at {}: {}, {} blocks imported\n",
            cell_text(&attempt["number"]),
            cell_text(&attempt["server"]),
            cell_text(&attempt["outcome"]),
            cell_text(&attempt["imported_blocks"]),
        ));
        print_decision(&attempt["decision"], names);
    }
}

/// Prints the candidates and the excluded backend servers of a routing decision. The decision
/// refers to servers by their index in `names`.
fn print_decision(decision: &Value, names: Option<&Vec<Value>>) {
    let name = |server: &Value| {
        let index = server
            .as_u64()
            .and_then(|index| usize::try_from(index).ok());
        let name = names.zip(index).and_then(|(names, index)| names.get(index));
        name.map_or_else(|| cell_text(server), cell_text)
    };
    let candidate = |candidate: &Value| {
        let priced = &candidate["priced"];
        let price = &priced["price"];
        vec![
            name(&candidate["server"]),
            cell_text(&candidate["probability"]),
            cell_text(&price["cost"]),
            cell_text(&price["ttft_ms"]),
            cell_text(&price["queue_ms"]),
            cell_text(&priced["plan"]["in_place_blocks"]),
            cell_text(&priced["plan"]["import"]["blocks"]),
            cell_text(&price["prefill_tokens"]),
            cell_text(&price["link_bytes"]),
            cell_text(&candidate["cold"]),
        ]
    };
    let candidates: Vec<_> = decision["candidates"]
        .as_array()
        .into_iter()
        .flatten()
        .map(candidate)
        .collect();
    if !candidates.is_empty() {
        let header = [
            "candidate",
            "probability",
            "cost",
            "first token ms",
            "queue ms",
            "blocks in place",
            "imported",
            "prefill tokens",
            "link bytes",
            "cold",
        ];
        print_table(&header, &candidates);
    }
    let excluded = decision["excluded"].as_array().into_iter().flatten();
    let excluded: Vec<_> = excluded
        .map(|server| vec![name(&server["server"]), cell_text(&server["reason"])])
        .collect();
    if !excluded.is_empty() {
        print_table(&["excluded", "reason"], &excluded);
    }
}
