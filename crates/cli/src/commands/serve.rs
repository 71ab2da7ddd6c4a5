//! `anvilgw serve`: runs the entry daemon.

use crate::error::{CliError, EXIT_CODES};
use crate::options::{Options, read_text_file};
use crate::render::print;
use anvilgw_config::Settings;
use anvilgw_core::SystemClock;
use anvilgw_entry::Daemon;
use lexopt::Parser;
use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::watch;

const HELP: &str = "\
Runs the entry daemon until SIGTERM or SIGINT

The first signal starts a graceful shutdown: the daemon reports that it is not ready, waits until the
balancer has noticed, waits for open requests (at most drain_ms) and leaves the membership. A second
signal ends the drain.

Usage: anvilgw serve --config FILE

Options:
  --config FILE   settings file; `anvilgw check FILE` shows its faults
  -h, --help      print this help
";

pub(super) fn run(parser: &mut Parser) -> Result<ExitCode, CliError> {
    let options = Options::parse(parser, &["config"])?;
    if options.help {
        print(&format!("{HELP}\n{EXIT_CODES}"));
        return Ok(ExitCode::SUCCESS);
    }
    let Some(path) = &options.config else {
        return Err(CliError::Usage(
            "expected `serve --config FILE`; see --help".to_owned(),
        ));
    };
    let settings = read_settings(path)?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .map_err(|error| CliError::Failed(error.to_string()))?;
    runtime.block_on(serve(settings))
}

fn read_settings(path: &Path) -> Result<Settings, CliError> {
    Settings::parse(&read_text_file(path)?)
        .map_err(|faults| CliError::FaultyInput(path.display().to_string(), faults))
}

async fn serve(settings: Settings) -> Result<ExitCode, CliError> {
    let signal_error = |error: std::io::Error| CliError::Failed(error.to_string());
    let mut terminate = signal(SignalKind::terminate()).map_err(signal_error)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(signal_error)?;
    let address = settings.daemon.listen;
    let daemon = Daemon::start(settings, Arc::new(SystemClock))
        .await
        .map_err(|error| CliError::Failed(error.to_string()))?;
    print(&format!("anvilgw: listening on {address}\n"));
    next_signal(&mut terminate, &mut interrupt).await;
    let (abort, aborted) = watch::channel(false);
    let second_signal = tokio::spawn(async move {
        next_signal(&mut terminate, &mut interrupt).await;
        abort.send_replace(true);
        // Keeps the channel open: the drain ends only by a signal, not because the sender is
        // dropped.
        std::future::pending::<()>().await;
    });
    let shutdown = daemon.shutdown(aborted).await;
    second_signal.abort();
    if shutdown.interrupted == 0 {
        return Ok(ExitCode::SUCCESS);
    }
    eprintln!(
        "anvilgw: the drain ended with {} requests open",
        shutdown.interrupted
    );
    Ok(ExitCode::FAILURE)
}

/// Waits for SIGTERM or SIGINT.
async fn next_signal(terminate: &mut Signal, interrupt: &mut Signal) {
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}
