//! Errors of the command line and their exit codes.

use anvilgw_config::{Faults, RecordId};
use quick_error::quick_error;
use std::process::ExitCode;

/// Exit code for faults in a file or a change, and for wrong usage.
pub(crate) const EXIT_FAULTS: u8 = 2;
const EXIT_FAILED: u8 = 1;
const EXIT_VERSION_CONFLICT: u8 = 3;
const EXIT_NOT_IN_FORCE: u8 = 4;
const EXIT_OUTCOME_UNKNOWN: u8 = 5;

/// Section of the help texts that explains the exit codes.
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
    /// Reason why a command failed.
    #[derive(Debug)]
    #[allow(unreachable_pub)] // quick_error knows only private and fully public types
    pub enum CliError {
        /// The command line or an environment variable is invalid.
        Usage(detail: String) {
            display("{}", detail)
        }
        /// A file cannot be read or written.
        File(path: String, error: std::io::Error) {
            display("{}: {}", path, error)
        }
        /// A file, or a name given on the command line, has faults.
        FaultyInput(input: String, faults: Faults) {
            display("{}:\n{}", input, faults)
        }
        /// The command failed, for example because no daemon could be reached or the request was
        /// refused.
        Failed(detail: String) {
            display("{}", detail)
        }
        /// The daemon rejected the change for another reason than its version.
        InvalidChange(detail: String) {
            display("the change was rejected: {}", detail)
        }
        /// The change expected another version than the current one, because another change came
        /// first.
        VersionConflict(expected: u64, current: u64) {
            display("rejected: the change expected version {}, but version {} is current", expected, current)
        }
        /// The change is accepted, but was not in force at the listed daemons within the time to
        /// wait.
        NotInForce(version: u64, behind: Vec<String>) {
            display("version {} is accepted, but not yet in force at: {}", version, behind.join(", "))
        }
        /// The answer was lost, so the change may or may not have taken effect.
        OutcomeUnknown(record_id: RecordId, detail: String) {
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
    /// Returns the exit code of the process. [`EXIT_CODES`] explains it to users.
    pub(crate) fn exit_code(&self) -> ExitCode {
        ExitCode::from(match self {
            Self::Usage(_) | Self::FaultyInput(..) | Self::InvalidChange(_) => EXIT_FAULTS,
            Self::File(..) | Self::Failed(_) => EXIT_FAILED,
            Self::VersionConflict(..) => EXIT_VERSION_CONFLICT,
            Self::NotInForce(..) => EXIT_NOT_IN_FORCE,
            Self::OutcomeUnknown(..) => EXIT_OUTCOME_UNKNOWN,
        })
    }
}
