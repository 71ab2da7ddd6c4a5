//! Command `anvilgw-standin`, which runs one stand-in as a process.

use anvilgw_standin::{
    EngineStandin, InstanceListStandin, LogStandin, RunningStandin, ServiceStandin, StoreStandin,
    WeightStoreStandin,
};
use lexopt::prelude::{Long, Short, Value as Positional, ValueExt};
use quick_error::quick_error;
use serde::de::DeserializeOwned;
use serde_json::{Map, Value};
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use tokio::signal::unix::{SignalKind, signal};

const HELP: &str = "\
Runs a stand-in of one external system.

Usage: anvilgw-standin engine|log|store|weights|instances|service --listen ADDR [options]

Options:
  --listen ADDR     Address and port to listen on; port 0 takes a free port
  --config FILE     Settings as a JSON object
  --set NAME=VALUE  One setting, which overrides the file; VALUE is JSON, or else
                    plain text. Nested settings are written faults.NAME=VALUE
  -h, --help        Print this help

The address is printed to standard output. POST /control/faults sets faults.";

quick_error! {
    #[derive(Debug)]
    enum CliError {
        Usage(error: lexopt::Error) {
            display("{}", error)
            from()
        }
        Expected(what: &'static str) {
            display("expected {}", what)
        }
        Settings(error: serde_json::Error) {
            display("settings: {}", error)
            from()
        }
        Io(error: io::Error) {
            display("{}", error)
            from()
        }
    }
}

#[derive(Debug)]
struct Options {
    kind: String,
    listen: SocketAddr,
    settings: Map<String, Value>,
}

fn main() -> ExitCode {
    let result = match parse() {
        Ok(Some(options)) => run(options),
        Ok(None) => {
            println!("{HELP}");
            Ok(())
        }
        Err(error) => Err(error),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("anvilgw-standin: {error}");
            match error {
                CliError::Io(_) => ExitCode::FAILURE,
                _ => ExitCode::from(2),
            }
        }
    }
}

/// Parses the command line. Returns `None` if help is requested.
fn parse() -> Result<Option<Options>, CliError> {
    let (mut kind, mut listen, mut settings) = (None, None, Map::new());
    let mut parser = lexopt::Parser::from_env();
    let mut overrides = Vec::new();
    while let Some(argument) = parser.next()? {
        match argument {
            Short('h') | Long("help") => return Ok(None),
            Long("listen") => listen = Some(parser.value()?.parse()?),
            Long("config") => {
                let path = PathBuf::from(parser.value()?);
                settings = serde_json::from_slice(&std::fs::read(path)?)?;
            }
            Long("set") => overrides.push(parser.value()?.string()?),
            Positional(value) if kind.is_none() => kind = Some(value.string()?),
            _ => return Err(argument.unexpected().into()),
        }
    }
    for setting in overrides {
        let Some((name, value)) = setting.split_once('=') else {
            return Err(CliError::Expected("`=` in --set"));
        };
        let value = serde_json::from_str(value).unwrap_or_else(|_| value.into());
        set(&mut settings, name, value)?;
    }
    Ok(Some(Options {
        kind: kind.ok_or(CliError::Expected("a kind of stand-in"))?,
        listen: listen.ok_or(CliError::Expected("--listen"))?,
        settings,
    }))
}

fn set(settings: &mut Map<String, Value>, name: &str, value: Value) -> Result<(), CliError> {
    let Some((outer, inner)) = name.split_once('.') else {
        settings.insert(name.to_owned(), value);
        return Ok(());
    };
    let nested = settings
        .entry(outer)
        .or_insert_with(|| Map::new().into())
        .as_object_mut()
        .ok_or(CliError::Expected("a group of settings before `.`"))?;
    set(nested, inner, value)
}

#[tokio::main]
async fn run(options: Options) -> Result<(), CliError> {
    let (listen, settings) = (options.listen, Value::from(options.settings));
    match options.kind.as_str() {
        "engine" => serve(settings, |config| EngineStandin::start(config, listen)).await,
        "log" => serve(settings, |config| LogStandin::start(config, listen)).await,
        "store" => serve(settings, |config| StoreStandin::start(config, listen)).await,
        "weights" => serve(settings, |config| WeightStoreStandin::start(config, listen)).await,
        "instances" => {
            serve(settings, |config| {
                InstanceListStandin::start(config, listen)
            })
            .await
        }
        "service" => serve(settings, |config| ServiceStandin::start(config, listen)).await,
        _ => Err(CliError::Expected(
            "engine, log, store, weights, instances or service as the kind of stand-in",
        )),
    }
}

/// Runs a stand-in until the process receives SIGINT or SIGTERM.
async fn serve<C, S, F>(settings: Value, start: impl FnOnce(C) -> F) -> Result<(), CliError>
where
    C: DeserializeOwned,
    F: Future<Output = io::Result<RunningStandin<S>>>,
{
    let running = start(serde_json::from_value(settings)?).await?;
    println!("listening on {}", running.addr());
    let mut terminate = signal(SignalKind::terminate())?;
    tokio::select! {
        result = tokio::signal::ctrl_c() => result?,
        _ = terminate.recv() => {}
    }
    running.stop();
    Ok(())
}
