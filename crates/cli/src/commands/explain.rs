//! `anvilgw explain`: what happened to one request.

use crate::admin::Admin;
use crate::error::{CliError, EXIT_CODES};
use crate::log_summary::{HEADER, LogSummary};
use crate::options::{ADMIN_HELP, Options};
use crate::render::{print, print_json, print_table};
use crate::request_log::RequestWalk;
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
        return summarize(&options);
    }
    let [id] = options.words.as_slice() else {
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
    let record: Value = Admin::new(&options)?.get(&format!("/admin/explain/{id}"))?;
    if options.json {
        print_json(&record);
    } else {
        show(&record);
    }
    Ok(ExitCode::SUCCESS)
}

/// Opens a log, or the standard input for `-`.
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

fn summarize(options: &Options) -> Result<ExitCode, CliError> {
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
    let walk = RequestWalk::read(open(log)?, id).map_err(|error| file_error(log, error))?;
    if walk.is_empty() {
        let detail = format!("{}: no line about request {id}", log.display());
        return Err(CliError::Failed(detail));
    }
    print(&walk.render());
    Ok(ExitCode::SUCCESS)
}

fn text(value: &Value) -> String {
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

fn show(record: &Value) {
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
        .map(|field| vec![(*field).to_owned(), text(&record[*field])])
        .collect();
    print_table(&["request", ""], &rows);
    let names = record["server_names"].as_array();
    for attempt in record["attempts"].as_array().into_iter().flatten() {
        print(&format!(
            "\nattempt {} at {}: {}, {} blocks imported\n",
            text(&attempt["number"]),
            text(&attempt["server"]),
            text(&attempt["outcome"]),
            text(&attempt["imported_blocks"]),
        ));
        show_decision(&attempt["decision"], names);
    }
}

fn show_decision(decision: &Value, names: Option<&Vec<Value>>) {
    let name = |server: &Value| {
        let index = server
            .as_u64()
            .and_then(|index| usize::try_from(index).ok());
        let name = names.zip(index).and_then(|(names, index)| names.get(index));
        name.map_or_else(|| text(server), text)
    };
    let candidate = |candidate: &Value| {
        let priced = &candidate["priced"];
        let price = &priced["price"];
        vec![
            name(&candidate["server"]),
            text(&candidate["probability"]),
            text(&price["cost"]),
            text(&price["ttft_ms"]),
            text(&price["queue_ms"]),
            text(&priced["plan"]["in_place_blocks"]),
            text(&priced["plan"]["import"]["blocks"]),
            text(&price["prefill_tokens"]),
            text(&price["link_bytes"]),
            text(&candidate["cold"]),
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
        .map(|known| vec![name(&known["server"]), text(&known["reason"])])
        .collect();
    if !excluded.is_empty() {
        print_table(&["excluded", "reason"], &excluded);
    }
}
