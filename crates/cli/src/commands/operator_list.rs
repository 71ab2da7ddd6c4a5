//! Implementation of `plans` and `entitlements`, which show, compare and replace an operator list.

use crate::admin::AdminClient;
use crate::error::{CliError, EXIT_CODES};
use crate::options::{ADMIN_HELP, CHANGE_HELP, Options, read_text_file};
use crate::render::{print, print_json, print_table};
use crate::submit::submit;
use anvilgw_config::{ListDifference, ListRow, WorkspaceList};
use lexopt::Parser;
use serde::Serialize;
use std::path::Path;
use std::process::ExitCode;

#[derive(Serialize)]
struct ListReport {
    version: u64,
    workspaces: Vec<ListRow>,
}

#[derive(Serialize)]
struct Differences {
    /// Configuration version that the file was compared with. Absent if two files were compared.
    #[serde(skip_serializing_if = "Option::is_none")]
    version: Option<u64>,
    differences: Vec<ListDifference>,
}

pub(super) fn run<L: WorkspaceList>(parser: &mut Parser) -> Result<ExitCode, CliError> {
    let allowed = [
        "admin",
        "key-file",
        "json",
        "ini",
        "expect",
        "record-id",
        "wait",
        "wait-s",
    ];
    let options = Options::parse(parser, &allowed)?;
    if options.help {
        print(&help_text::<L>());
        return Ok(ExitCode::SUCCESS);
    }
    let positionals: Vec<&str> = options.positionals.iter().map(String::as_str).collect();
    match positionals.as_slice() {
        ["show"] => show::<L>(&options),
        ["diff", file] => diff::<L>(&options, None, file),
        ["diff", before, after] => diff::<L>(&options, Some(before), after),
        ["apply", file] => apply::<L>(&options, file),
        _ => Err(CliError::Usage(format!(
            "expected `{0} show`, `{0} diff` or `{0} apply`; see --help",
            L::NAME
        ))),
    }
}

fn help_text<L: WorkspaceList>() -> String {
    let name = L::NAME;
    format!(
        "Shows, compares or replaces the {name} list\n\n\
         Usage: anvilgw {name} show [--ini]\n       \
         anvilgw {name} diff FILE            current list against the file\n       \
         anvilgw {name} diff FILE FILE       two files, without a daemon\n       \
         anvilgw {name} apply FILE --expect N\n\n\
         `show --ini` prints the list as a file that can be edited and applied, with its version in\n\
         the first line. `apply` takes this version, so that it never undoes a change made meanwhile.\n\n\
         Options:\n  --ini             print the list as a file\n{CHANGE_HELP}{ADMIN_HELP}\n{EXIT_CODES}"
    )
}

fn show<L: WorkspaceList>(options: &Options) -> Result<ExitCode, CliError> {
    let report = AdminClient::new(options)?.config()?;
    let (list, version) = (L::in_state(&report.state), report.state.version);
    if options.json {
        print_json(&ListReport {
            version,
            workspaces: list.rows(),
        });
    } else if options.ini {
        print(&format!(
            "; {} at version {version}\n{}",
            L::NAME,
            list.to_ini()
        ));
    } else {
        let rows = list.rows();
        print(&format!("{} at version {version}\n", L::NAME));
        let mut header = vec!["workspace"];
        header.extend(
            rows.first()
                .into_iter()
                .flat_map(|row| row.values.iter().map(|value| value.key)),
        );
        let cells = |row: &ListRow| {
            let values = row.values.iter().map(|value| value.value.clone());
            std::iter::once(row.workspace.clone())
                .chain(values)
                .collect()
        };
        print_table(
            &header,
            &rows.iter().map(cells).collect::<Vec<Vec<String>>>(),
        );
    }
    Ok(ExitCode::SUCCESS)
}

/// Compares a file with another one or, without `before`, with the list of the current
/// configuration.
fn diff<L: WorkspaceList>(
    options: &Options,
    before: Option<&str>,
    after: &str,
) -> Result<ExitCode, CliError> {
    let after = read_list::<L>(after)?;
    let (version, differences) = match before {
        Some(before) => (None, read_list::<L>(before)?.diff(&after)),
        None => {
            let state = AdminClient::new(options)?.config()?.state;
            (Some(state.version), L::in_state(&state).diff(&after))
        }
    };
    if options.json {
        print_json(&Differences {
            version,
            differences,
        });
        return Ok(ExitCode::SUCCESS);
    }
    if let Some(version) = version {
        print(&format!(
            "{} at version {version} against the file\n",
            L::NAME
        ));
    }
    if differences.is_empty() {
        print("no differences\n");
    } else {
        let cell = |value: &Option<String>| value.clone().unwrap_or_else(|| "-".to_owned());
        let row = |difference: &ListDifference| {
            vec![
                difference.workspace.clone(),
                difference.key.to_owned(),
                cell(&difference.before),
                cell(&difference.after),
            ]
        };
        let rows: Vec<_> = differences.iter().map(row).collect();
        print_table(&["workspace", "key", "before", "after"], &rows);
    }
    Ok(ExitCode::SUCCESS)
}

fn apply<L: WorkspaceList>(options: &Options, file: &str) -> Result<ExitCode, CliError> {
    let list = read_list::<L>(file)?;
    // The file replaces the whole list. If `--expect` defaulted to the current version, a file made
    // from an older version would silently undo the changes made since.
    let Some(expected_version) = options.expect else {
        let detail = "--expect N is required: the version that the file was made from";
        return Err(CliError::Usage(detail.to_owned()));
    };
    submit(
        &AdminClient::new(options)?,
        options,
        expected_version,
        list.into_change(),
    )
}

fn read_list<L: WorkspaceList>(path: &str) -> Result<L, CliError> {
    L::parse(&read_text_file(Path::new(path))?)
        .map_err(|faults| CliError::FaultyInput(path.to_owned(), faults))
}
