//! `anvilgw key`: generates bearer keys for callers and operators.

use crate::error::{CliError, EXIT_CODES};
use crate::options::Options;
use crate::render::{print, print_json, print_table};
use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use lexopt::Parser;
use serde::Serialize;
use std::process::ExitCode;

const HELP: &str = "\
Makes a random bearer key and prints it with its hash

Usage: anvilgw key new [--json]

The key is shown once: give it to the caller or operator. The hash goes into [keys] or [operators]
of the settings of every daemon.

Options:
  --json       print JSON for scripts
  -h, --help   print this help
";

/// Prefix of every key, by which scanners for leaked secrets recognise it.
const KEY_PREFIX: &str = "agw_";

#[derive(Serialize)]
struct NewKey {
    key: String,
    hash: String,
}

pub(super) fn run(parser: &mut Parser) -> Result<ExitCode, CliError> {
    let options = Options::parse(parser, &["json"])?;
    if options.help {
        print(&format!("{HELP}\n{EXIT_CODES}"));
        return Ok(ExitCode::SUCCESS);
    }
    if options.positionals != ["new"] {
        return Err(CliError::Usage("expected `key new`; see --help".to_owned()));
    }
    let random: [u8; 32] = rand::random();
    let key = format!("{KEY_PREFIX}{}", URL_SAFE_NO_PAD.encode(random));
    let hash = blake3::hash(key.as_bytes()).to_hex().to_string();
    if options.json {
        print_json(&NewKey { key, hash });
    } else {
        print_table(&["key", &key], &[vec!["hash".to_owned(), hash]]);
    }
    Ok(ExitCode::SUCCESS)
}
