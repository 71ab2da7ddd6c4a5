//! Command line of `anvilgw-bench`: `list`, `run` and `report`.

use crate::experiments::{ALL, Experiment, RunOptions};
use crate::plots::write_page;
use lexopt::{Arg, Parser, ValueExt};
use std::path::PathBuf;
use std::process::ExitCode;

const HELP: &str = "\
Load and experiment tool of anvilgw

Usage:
  anvilgw-bench list
  anvilgw-bench run NAME [--seed N] [--long] [--json]
  anvilgw-bench report DIR   write DIR/report.html from the results in DIR/*.json

Options:
  --seed N   seed of the random number generators (default 1)
  --long     run longer, in the experiments that have a long variant
  --json     print only the final JSON line

Exit codes: 0 target met, 1 target missed, 2 wrong usage.
";

/// Exit code for a wrong command line or an unknown experiment.
const USAGE_ERROR: u8 = 2;

enum Command {
    Help,
    List,
    Report(PathBuf),
    Run {
        name: String,
        options: RunOptions,
        json: bool,
    },
}

/// Parses the command line, runs the command and returns the exit code of the process.
pub(crate) fn main() -> ExitCode {
    match parse() {
        Ok(Command::Help) => {
            print!("{HELP}");
            ExitCode::SUCCESS
        }
        Ok(Command::List) => {
            for experiment in ALL {
                println!("{:20} {}", experiment.name, experiment.about);
            }
            ExitCode::SUCCESS
        }
        Ok(Command::Report(directory)) => match write_page(&directory) {
            Ok(page) => {
                println!("{}", page.display());
                ExitCode::SUCCESS
            }
            Err(error) => {
                eprintln!("anvilgw-bench: {error}");
                ExitCode::FAILURE
            }
        },
        Ok(Command::Run {
            name,
            options,
            json,
        }) => run(&name, options, json),
        Err(error) => {
            eprintln!("anvilgw-bench: {error}\n\n{HELP}");
            ExitCode::from(USAGE_ERROR)
        }
    }
}

fn parse() -> Result<Command, lexopt::Error> {
    let mut parser = Parser::from_env();
    let mut positionals = Vec::new();
    let mut json = false;
    let mut options = RunOptions {
        seed: 1,
        long: false,
    };
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Short('h') | Arg::Long("help") => return Ok(Command::Help),
            Arg::Long("seed") => options.seed = parser.value()?.parse()?,
            Arg::Long("long") => options.long = true,
            Arg::Long("json") => json = true,
            Arg::Value(value) => positionals.push(value.string()?),
            other => return Err(other.unexpected()),
        }
    }
    let positionals: Vec<_> = positionals.iter().map(String::as_str).collect();
    match positionals.as_slice() {
        ["list"] => Ok(Command::List),
        ["report", directory] => Ok(Command::Report(directory.into())),
        ["run", name] => Ok(Command::Run {
            name: (*name).to_owned(),
            options,
            json,
        }),
        _ => Err("expected `list`, `run NAME` or `report DIR`".into()),
    }
}

fn run(name: &str, options: RunOptions, json: bool) -> ExitCode {
    let Some(experiment) = ALL.iter().find(|experiment| experiment.name == name) else {
        eprintln!(
            "anvilgw-bench: unknown experiment {name:?}; `anvilgw-bench list` shows all names"
        );
        return ExitCode::from(USAGE_ERROR);
    };
    if !json {
        print_heading(experiment, options);
    }
    let report = (experiment.run)(options);
    match serde_json::to_string(&report) {
        Ok(line) => println!("{line}"),
        Err(error) => {
            eprintln!("anvilgw-bench: cannot serialize the report as JSON: {error}");
            return ExitCode::FAILURE;
        }
    }
    if report.pass {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

fn print_heading(experiment: &Experiment, options: RunOptions) {
    println!(
        "{} (seed {}): {}",
        experiment.name, options.seed, experiment.about
    );
}
