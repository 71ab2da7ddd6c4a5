//! Decides on switches of model weights: which servers are ordered to load new weights next, which
//! versions may serve requests, and when cached parts of replaced weights are freed.

mod announcements;
mod old_parts;
mod order_tracker;
mod publications;
mod switch_plan;

pub use announcements::{apply_announcement, apply_records};
pub use old_parts::{FETCH_TIME_MAX, OldPartTimes, is_retired, may_read_part};
pub use order_tracker::{OrderOutcome, OrderTracker};
pub use publications::{PublishedWeights, WeightPublication, oldest_allowed_version};
pub(crate) use switch_plan::is_backing_off;
pub use switch_plan::{OutdatedServer, next_orders, outdated_servers};

/// Returns the scope that keeps cached prompts apart: the version of the weights that computed
/// them, and the workspace if it is isolated.
#[must_use]
pub fn cache_scope(version: Option<u64>, isolated_workspace: Option<&str>) -> String {
    let version = version.map_or_else(|| "w".to_owned(), |version| format!("w{version}"));
    match isolated_workspace {
        Some(workspace) => format!("{version}/{workspace}"),
        None => version,
    }
}

/// Returns the version of the weights in a scope, or `None` if the scope contains none.
#[must_use]
pub fn scope_version(scope: &str) -> Option<u64> {
    let version = scope.strip_prefix('w')?;
    let version = version.split('/').next().unwrap_or_default();
    version.parse().ok()
}
