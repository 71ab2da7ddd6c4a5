//! The `anvilgw` command line.

mod admin;
mod commands;
mod error;
mod log_line;
mod log_summary;
mod metrics_text;
mod options;
mod render;
mod request_log;
mod submit;

use commands::COMMANDS;
use error::CliError;
use lexopt::{Arg, Parser};
use render::print;
use std::process::ExitCode;

fn main() -> ExitCode {
    match dispatch() {
        Ok(code) => code,
        Err(error) => {
            eprintln!("anvilgw: {error}");
            error.exit_code()
        }
    }
}

fn dispatch() -> Result<ExitCode, CliError> {
    let mut parser = Parser::from_env();
    let name = match parser.next()? {
        None | Some(Arg::Short('h') | Arg::Long("help")) => {
            print(&help_text());
            return Ok(ExitCode::SUCCESS);
        }
        Some(Arg::Short('V') | Arg::Long("version")) => {
            print(&format!("anvilgw {}\n", env!("CARGO_PKG_VERSION")));
            return Ok(ExitCode::SUCCESS);
        }
        Some(Arg::Value(name)) => name.to_string_lossy().into_owned(),
        Some(other) => return Err(other.unexpected().into()),
    };
    match COMMANDS.iter().find(|command| command.name == name) {
        Some(command) => (command.run)(&mut parser),
        None => Err(CliError::Usage(format!(
            "no subcommand {name:?}; see `anvilgw --help`"
        ))),
    }
}

fn help_text() -> String {
    let commands: String = COMMANDS
        .iter()
        .map(|command| format!("  {:14} {}\n", command.name, command.about))
        .collect();
    format!(
        "Serving system for prompts that return after long gaps\n\n\
         Usage: anvilgw SUBCOMMAND [OPTIONS]\n\nSubcommands:\n{commands}\n\
         `anvilgw SUBCOMMAND --help` shows the options.\n\n{}",
        error::EXIT_CODES
    )
}
