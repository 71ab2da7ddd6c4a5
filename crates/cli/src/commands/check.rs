//! `anvilgw check`: reports all faults of a settings file and of the plans and entitlements lists.

use crate::error::{CliError, EXIT_CODES, EXIT_FAULTS};
use crate::options::{Options, read_text_file};
use crate::render::{print, print_json, print_table};
use anvilgw_config::{
    Entitlements, Fault, Plans, Settings, WorkspaceList, find_contradictions, reference_markdown,
};
use lexopt::Parser;
use serde::Serialize;
use std::path::Path;
use std::process::ExitCode;

const HELP: &str = "\
Reports all faults of a settings file at once

Usage: anvilgw check FILE [--plans FILE] [--entitlements FILE] [--json]
       anvilgw check --reference

Options:
  --plans FILE          check a plans list too
  --entitlements FILE   check an entitlements list too; with both, contradictions between the files
                        are reported
  --reference           print all sections and keys with units, ranges, defaults and examples
  --json                print JSON for scripts
  -h, --help            print this help
";

#[derive(Serialize)]
struct FileFault {
    file: String,
    #[serde(flatten)]
    fault: Fault,
}

#[derive(Serialize)]
struct Report {
    good: bool,
    faults: Vec<FileFault>,
}

pub(super) fn run(parser: &mut Parser) -> Result<ExitCode, CliError> {
    let options = Options::parse(parser, &["json", "plans", "entitlements", "reference"])?;
    if options.help {
        print(&format!("{HELP}\n{EXIT_CODES}"));
        return Ok(ExitCode::SUCCESS);
    }
    if options.reference {
        print(&reference_markdown());
        return Ok(ExitCode::SUCCESS);
    }
    let [file] = options.positionals.as_slice() else {
        return Err(CliError::Usage(
            "expected `check FILE`; see --help".to_owned(),
        ));
    };
    let faults = check_files(Path::new(file), &options)?;
    let good = faults.is_empty();
    if options.json {
        print_json(&Report { good, faults });
    } else if good {
        print(&format!("{file}: no faults\n"));
    } else {
        print_faults(&faults);
    }
    Ok(if good {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(EXIT_FAULTS)
    })
}

/// Checks all given files. Contradictions between them are only searched for if each one is free of
/// faults.
fn check_files(file: &Path, options: &Options) -> Result<Vec<FileFault>, CliError> {
    let mut faults = Vec::new();
    let settings = check_file(file, Settings::parse, &mut faults)?;
    let plans = match &options.plans {
        Some(path) => check_file(path, Plans::parse, &mut faults)?,
        None => None,
    };
    let entitlements = match &options.entitlements {
        Some(path) => check_file(path, Entitlements::parse, &mut faults)?,
        None => None,
    };
    if let (Some(settings), Some(plans), Some(entitlements)) = (settings, plans, entitlements) {
        let found = find_contradictions(&plans, &entitlements, &settings);
        let file = "between the files".to_owned();
        faults.extend(found.into_iter().map(|fault| FileFault {
            file: file.clone(),
            fault,
        }));
    }
    Ok(faults)
}

/// Parses a file, or adds its faults to the list and returns `None`.
fn check_file<T>(
    path: &Path,
    parse: impl Fn(&str) -> Result<T, anvilgw_config::Faults>,
    faults: &mut Vec<FileFault>,
) -> Result<Option<T>, CliError> {
    match parse(&read_text_file(path)?) {
        Ok(value) => Ok(Some(value)),
        Err(found) => {
            let file = path.display().to_string();
            faults.extend(found.iter().map(|fault| FileFault {
                file: file.clone(),
                fault: fault.clone(),
            }));
            Ok(None)
        }
    }
}

fn print_faults(faults: &[FileFault]) {
    let row = |FileFault { file, fault }: &FileFault| {
        let line = fault
            .line
            .map_or_else(|| "-".to_owned(), |line| line.to_string());
        vec![
            file.clone(),
            line,
            format!("[{}]", fault.section),
            fault.key.clone(),
            fault.example.clone(),
            fault.reason.clone(),
        ]
    };
    let rows: Vec<_> = faults.iter().map(row).collect();
    print_table(
        &["file", "line", "section", "key", "example", "reason"],
        &rows,
    );
    let noun = if faults.len() == 1 { "fault" } else { "faults" };
    print(&format!("{} {noun}\n", faults.len()));
}
