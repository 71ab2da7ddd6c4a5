//! Command-line options of all subcommands, and the environment variables that replace some of
//! them.

use crate::error::CliError;
use anvilgw_config::RecordId;
use lexopt::{Arg, Parser, ValueExt};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// Environment variable with the operator's bearer key.
const OPERATOR_KEY_VARIABLE: &str = "ANVILGW_OPERATOR_KEY";
/// Environment variable with the admin addresses, separated by commas.
const ADMIN_VARIABLE: &str = "ANVILGW_ADMIN";

/// Help text of the options of every subcommand that calls a daemon.
pub(crate) const ADMIN_HELP: &str = "  --admin ADDR      IP:port of a daemon's admin address; may be given several times, the next one
                    is used if one cannot be reached (default: $ANVILGW_ADMIN, separated by commas)
  --key-file FILE   file with the operator's bearer key (default: the key in $ANVILGW_OPERATOR_KEY)
  --json            print JSON for scripts
  -h, --help        print this help
";

/// Help text of the options of every subcommand that submits a change.
pub(crate) const CHANGE_HELP: &str = "  --expect N        version that the change replaces
  --record-id ID    identifier of the change, to repeat one whose answer was lost
  --wait            wait until the change is in force at every daemon
  --wait-s N        longest time to wait (default 30; implies --wait)
";

/// Longest time that `--wait` waits unless `--wait-s` is given. A change is in force everywhere
/// within 9 s.
const DEFAULT_IN_FORCE_WAIT: Duration = Duration::from_secs(30);

/// Options and positional arguments of a subcommand.
#[derive(Debug, Default)]
pub(crate) struct Options {
    pub(crate) positionals: Vec<String>,
    pub(crate) json: bool,
    pub(crate) help: bool,
    pub(crate) check: bool,
    pub(crate) admin: Vec<SocketAddr>,
    pub(crate) key_file: Option<PathBuf>,
    pub(crate) expect: Option<u64>,
    pub(crate) record_id: Option<RecordId>,
    pub(crate) wait: Option<Duration>,
    pub(crate) ini: bool,
    pub(crate) reference: bool,
    pub(crate) config: Option<PathBuf>,
    pub(crate) log: Option<PathBuf>,
    pub(crate) summary: bool,
    pub(crate) metrics: Option<SocketAddr>,
    pub(crate) seconds: Option<u64>,
    pub(crate) plans: Option<PathBuf>,
    pub(crate) entitlements: Option<PathBuf>,
}

impl Options {
    /// Parses the rest of the command line. `allowed` lists the long options that the subcommand
    /// takes besides `--help`.
    pub(crate) fn parse(parser: &mut Parser, allowed: &[&str]) -> Result<Self, CliError> {
        let mut options = Self::default();
        while let Some(argument) = parser.next()? {
            let name = match argument {
                Arg::Value(value) => {
                    options.positionals.push(value.string()?);
                    continue;
                }
                Arg::Short('h') => "help".to_owned(),
                Arg::Long(name) if name == "help" || allowed.contains(&name) => name.to_owned(),
                other => return Err(other.unexpected().into()),
            };
            options.set(&name, parser)?;
        }
        Ok(options)
    }

    fn set(&mut self, name: &str, parser: &mut Parser) -> Result<(), CliError> {
        match name {
            "help" => self.help = true,
            "json" => self.json = true,
            "ini" => self.ini = true,
            "reference" => self.reference = true,
            "check" => self.check = true,
            "summary" => self.summary = true,
            "wait" => self.wait = self.wait.or(Some(DEFAULT_IN_FORCE_WAIT)),
            "wait-s" => self.wait = Some(Duration::from_secs(parser.value()?.parse()?)),
            "config" => self.config = Some(parser.value()?.into()),
            "log" => self.log = Some(parser.value()?.into()),
            "metrics" => self.metrics = Some(parser.value()?.parse()?),
            "seconds" => self.seconds = Some(parser.value()?.parse()?),
            "admin" => self.admin.push(parser.value()?.parse()?),
            "key-file" => self.key_file = Some(parser.value()?.into()),
            "expect" => self.expect = Some(parser.value()?.parse()?),
            "record-id" => self.record_id = Some(RecordId(parser.value()?.parse()?)),
            "plans" => self.plans = Some(parser.value()?.into()),
            "entitlements" => self.entitlements = Some(parser.value()?.into()),
            other => return Err(CliError::Usage(format!("no option --{other}"))),
        }
        Ok(())
    }

    /// Returns the admin addresses from `--admin` or, if it is not given, from the environment.
    pub(crate) fn admin_addresses(&self) -> Result<Vec<SocketAddr>, CliError> {
        if !self.admin.is_empty() {
            return Ok(self.admin.clone());
        }
        let Ok(text) = std::env::var(ADMIN_VARIABLE) else {
            let detail =
                format!("an admin address is required: --admin IP:port or ${ADMIN_VARIABLE}");
            return Err(CliError::Usage(detail));
        };
        let invalid = |_| CliError::Usage(format!("${ADMIN_VARIABLE} is not a list of IP:port"));
        text.split(',')
            .map(|address| address.trim().parse().map_err(invalid))
            .collect()
    }

    /// Returns the operator's bearer key from `--key-file` or, if it is not given, from the
    /// environment.
    pub(crate) fn operator_key(&self) -> Result<String, CliError> {
        let key = match &self.key_file {
            Some(path) => read_text_file(path)?,
            None => std::env::var(OPERATOR_KEY_VARIABLE).map_err(|_| {
                let detail =
                    format!("an operator key is required: --key-file or ${OPERATOR_KEY_VARIABLE}");
                CliError::Usage(detail)
            })?,
        };
        Ok(key.trim().to_owned())
    }
}

/// Reads a UTF-8 file. Errors name the path.
pub(crate) fn read_text_file(path: &std::path::Path) -> Result<String, CliError> {
    std::fs::read_to_string(path).map_err(|error| CliError::File(path.display().to_string(), error))
}
