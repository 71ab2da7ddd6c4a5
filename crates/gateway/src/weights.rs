//! Decides on switches of model weights: which servers are ordered to load new weights next, which
//! versions may serve requests, and when cached parts of replaced weights are freed.

mod announcements;
mod old_parts;
mod order_tracker;
mod publications;
mod scope;
mod switch_plan;

pub use announcements::{apply_announcement, apply_records};
pub use old_parts::{FETCH_TIME_MAX, OldPartTimes, is_retired, may_read_part};
pub use order_tracker::{OrderOutcome, OrderTracker};
pub use publications::{PublishedWeights, WeightPublication, oldest_allowed_version};
pub use scope::{CacheSharing, ScopeWeights, cache_scope, scope_weights};
pub(crate) use switch_plan::is_backing_off;
pub use switch_plan::{OutdatedServer, next_orders, outdated_servers};
