//! Errors of the command line and their exit codes.

use anvilgw_config::{Faults, RecordId};
use quick_error::quick_error;
use std::process::ExitCode;

/// Exit code for faults in a file and wrong usage.
pub(crate) const FAULTS: u8 = 2;
const FAILED: u8 = 1;
const LOST_RACE: u8 = 3;
const NOT_IN_FORCE: u8 = 4;
const UNKNOWN: u8 = 5;

/// Explanation of the exit codes for help texts.
pub(crate) const EXIT_CODES: &str = "\
Exit codes:
  0  done
  1  failed: the daemon cannot be reached or refuses the request
  2  faults in a file or a change, or wrong usage
  3  another change came first; the message names the current version
  4  accepted, but not in force everywhere within the time of --wait-s
  5  the answer was lost; repeat with the same --record-id to learn the outcome
";

quick_error! {
    /// Why a command failed.
    #[derive(Debug)]
    #[allow(unreachable_pub)] // quick_error knows only private and fully public types
    pub enum CliError {
        /// The command line is wrong.
        Usage(detail: String) {
            display("{}", detail)
        }
        /// A file cannot be read or written.
        File(path: String, error: std::io::Error) {
            display("{}: {}", path, error)
        }
        /// A file has faults.
        Faulty(path: String, faults: Faults) {
            display("{}:\n{}", path, faults)
        }
        /// The request had no effect.
        Failed(detail: String) {
            display("{}", detail)
        }
        /// The change itself has faults.
        InvalidChange(detail: String) {
            display("the change was rejected: {}", detail)
        }
        /// Another change came first.
        LostRace(expected: u64, current: u64) {
            display("rejected: the change expected version {}, but version {} is current", expected, current)
        }
        /// Accepted, and not in force everywhere in time.
        NotInForce(version: u64, behind: Vec<String>) {
            display("version {} is accepted, but not yet in force at: {}", version, behind.join(", "))
        }
        /// The change may have taken effect.
        Unknown(record_id: RecordId, detail: String) {
            display("the answer was lost ({}); repeat with --record-id {} to learn the outcome", detail, record_id)
        }
    }
}

impl From<lexopt::Error> for CliError {
    fn from(error: lexopt::Error) -> Self {
        Self::Usage(error.to_string())
    }
}

impl CliError {
    /// Exit code of the process.
    pub(crate) fn exit_code(&self) -> ExitCode {
        ExitCode::from(match self {
            Self::Usage(_) | Self::Faulty(..) | Self::InvalidChange(_) => FAULTS,
            Self::File(..) | Self::Failed(_) => FAILED,
            Self::LostRace(..) => LOST_RACE,
            Self::NotInForce(..) => NOT_IN_FORCE,
            Self::Unknown(..) => UNKNOWN,
        })
    }
}
