//! Metrics of the logs of the metadata store that this daemon follows.

use crate::gateway::State;
use std::fmt::Write;
use std::time::Duration;

/// Renders position, epoch and age of each log, and the version of the configuration in force.
pub(crate) fn render(state: &State, now: Duration) -> String {
    let mut text = String::new();
    if let Some(configuration) = &state.configuration {
        // Writing to a string cannot fail.
        let _ = writeln!(
            text,
            "anvilgw_configuration_version {}",
            configuration.version
        );
    }
    for (topic, origin) in &state.log_reads {
        let fields = origin.fields(now);
        let labels = format!("{{log=\"{}\",source=\"{}\"}}", topic.name(), fields.source);
        let _ = writeln!(text, "anvilgw_log_epoch{labels} {}", fields.epoch);
        let _ = writeln!(text, "anvilgw_log_offset{labels} {}", fields.offset);
        if let Some(age_ms) = fields.age_ms {
            let _ = writeln!(text, "anvilgw_log_age_ms{labels} {age_ms}");
        }
    }
    text
}
