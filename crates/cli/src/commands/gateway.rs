//! `anvilgw gateway`: runs the gateway daemon on the operators' platform.

use crate::error::{CliError, EXIT_CODES};
use crate::options::Options;
use crate::render::print;
use anvilgw_core::SystemClock;
use anvilgw_operator_platform::{PlatformSettings, create_ports, read_settings, settings_path};
use lexopt::Parser;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;

const HELP: &str = "\
Runs the gateway daemon until SIGTERM or SIGINT

SIGHUP checks the settings file again. Settings take effect at the next start; configuration comes from
the platform's store and takes effect at once.

Usage: anvilgw gateway [--config FILE] [--check]

Options:
  --config FILE   settings file; without it, the file that the platform names
  --check         check the settings file and exit
  -h, --help      print this help
";

pub(super) fn run(parser: &mut Parser) -> Result<ExitCode, CliError> {
    let options = Options::parse(parser, &["config", "check"])?;
    if options.help {
        print(&format!("{HELP}\n{EXIT_CODES}"));
        return Ok(ExitCode::SUCCESS);
    }
    let path = options.config.map_or_else(settings_path, PathBuf::from);
    let settings = load_settings(&path)?;
    if options.check {
        return Ok(ExitCode::SUCCESS);
    }
    let ports = create_ports(&settings, Arc::new(SystemClock));
    let reload = Box::new(move || match read_settings(&path) {
        Ok(_) => "the settings are valid".to_owned(),
        Err(error) => error.to_string(),
    });
    anvilgw_gateway::run(settings.gateway, ports, reload)
        .map_err(|error| CliError::Failed(error.to_string()))?;
    Ok(ExitCode::SUCCESS)
}

fn load_settings(path: &Path) -> Result<PlatformSettings, CliError> {
    read_settings(path).map_err(|error| CliError::Failed(error.to_string()))
}
