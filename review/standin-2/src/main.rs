//! Runs one case of the review: starts stand-ins and the project's daemons, sends requests, and
//! judges what clients and servers saw. Exits with 1 if a rule was broken, 0 if it held, and 2 if
//! the case could not run.

mod cache;
mod case_endless_body;
mod case_two_models;
mod client;
mod daemons;
mod engine;
mod http;
mod json;
mod plain;
mod record;
mod store;

use record::Record;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;

/// What a case gets.
pub struct Context {
    pub record: Arc<Record>,
    /// Temporary folder for settings and logs.
    pub folder: PathBuf,
    /// Whether the disruption happens.
    pub has_trouble: bool,
}

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(record_path), Some(folder)) =
        (arguments.next(), arguments.next(), arguments.next())
    else {
        eprintln!("usage: review-standin-2 CASE RECORD FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |trouble| trouble != "0");
    let record = match Record::create(Path::new(&record_path)) {
        Ok(record) => Arc::new(record),
        Err(error) => {
            eprintln!("{record_path}: {error}");
            return ExitCode::from(2);
        }
    };
    let context = Context {
        record: Arc::clone(&record),
        folder: PathBuf::from(folder),
        has_trouble,
    };
    record.line(&format!("case {case}, disruption {has_trouble}"));
    let result = match case.as_str() {
        "endless-body" => case_endless_body::run(&context),
        "two-models" => case_two_models::run(&context),
        _ => Err(std::io::Error::other("unknown case")),
    };
    if let Err(error) = result {
        record.line(&format!("the case could not run: {error}"));
        eprintln!("the case could not run: {error}");
        return ExitCode::from(2);
    }
    let breaks = record.breaks();
    record.line(&format!("{breaks} breaks"));
    println!("{breaks} breaks");
    ExitCode::from(u8::from(breaks > 0))
}
