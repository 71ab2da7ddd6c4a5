//! Stand-ins and checks of the cases in `review/`. Usage: `review-standin-3 CASE ROOT RECORD`.

mod early;
mod entries;
mod heads;
mod http;
mod json;
mod poison;
mod restored;
mod store;
mod world;

use std::path::PathBuf;
use std::process::ExitCode;
use std::{env, fs, io};
use world::{Place, Record, Verdict};

/// Status of a case that could not run.
const NOT_RUN: u8 = 2;

fn main() -> ExitCode {
    let args: Vec<String> = env::args().collect();
    let [_, case, root, record_path] = args.as_slice() else {
        eprintln!("usage: review-standin-3 CASE ROOT RECORD");
        return ExitCode::from(NOT_RUN);
    };
    let scratch = env::temp_dir().join(format!("review-3-{}", std::process::id()));
    if let Err(error) = fs::create_dir_all(&scratch) {
        eprintln!("{}: {error}", scratch.display());
        return ExitCode::from(NOT_RUN);
    }
    let place = Place {
        root: PathBuf::from(root),
        scratch: scratch.clone(),
        has_trouble: env::var("TROUBLE").as_deref() != Ok("0"),
        record: Record::new(),
    };
    let result = run(case, &place);
    match &result {
        Ok(Verdict::Held) => place.record.add("the rule held"),
        Ok(Verdict::Broken) => place.record.add("the rule was broken"),
        Err(error) => place.record.add(format!("the case could not run: {error}")),
    }
    place.record.write(&PathBuf::from(record_path));
    if env::var_os("KEEP").is_none() {
        // Only logs and settings of this run are in it.
        let _ = fs::remove_dir_all(&scratch);
    }
    match result {
        Ok(verdict) => ExitCode::from(verdict as u8),
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(NOT_RUN)
        }
    }
}

fn run(case: &str, place: &Place) -> io::Result<Verdict> {
    match case {
        "early-streams" => early::streams(place),
        "early-reads" => early::reads(place),
        "unreadable-key" => entries::unreadable_key(place),
        "second-tenant" => poison::second_tenant(place),
        "late-crash" => poison::late_crash(place),
        "withdrawn-key" => restored::withdrawn_key(place),
        "raised-limit" => heads::raised_limit(place),
        other => Err(io::Error::other(format!("no case {other}"))),
    }
}
