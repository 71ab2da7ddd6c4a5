//! Decides how long cached parts of replaced weights are read, and when they are freed.

use super::publications::{OLD_WEIGHTS_FRACTION, PublishedWeights};
use super::scope::scope_weights;
use indexmap::IndexMap;
use std::time::Duration;

/// Longest time that a request allows its server for reading cached parts from a cache store. The
/// server abandons a read that takes longer.
pub const FETCH_TIME_MAX: Duration = Duration::from_millis(1000);
/// Longest time for which the metadata store may withhold a change while it answers reads, as it
/// does when it truncates its history. A copy may therefore lack changes that are up to this much
/// older than the time at which it was verified.
const WITHHELD_CHANGE_MAX: Duration = Duration::from_millis(1000);
/// Largest error in a daemon's estimate of the servers' clock.
const CLOCK_MARGIN: Duration = Duration::from_millis(500);
/// Operators' bounds that determine how long cached parts of replaced weights are read from cache
/// stores.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OldPartTimes {
    /// Age up to which a daemon uses its copy of the operators' table.
    pub configuration_age_max: Duration,
    /// Time limit for a switch of all servers to new weights.
    pub weight_switch: Duration,
}

impl OldPartTimes {
    /// Returns how long after the replacement of its version a part may still be read from cache
    /// stores.
    ///
    /// Servers switch one after the other until old weights no longer serve. Parts of the old
    /// weights are retired at the same pace to make room for new parts, in an order that all
    /// daemons derive from the hashes of the parts' identifiers. No part is retired before
    /// `configuration_age_max`: until then a daemon may not have learned of the new version, so the
    /// part could not be freed anyway.
    fn read_time(self, id_hash: u64) -> Duration {
        let last = self.weight_switch.mul_f64(OLD_WEIGHTS_FRACTION);
        let position = id_hash as f64 / u64::MAX as f64;
        self.configuration_age_max
            + last
                .saturating_sub(self.configuration_age_max)
                .mul_f64(position)
    }

    /// Returns how long after this daemon learned of the replacement no daemon reads the part any
    /// more.
    ///
    /// A daemon that knows the newer weights stops after the part's read time, counted from before
    /// their publication. A daemon that does not know them has an older copy of the table and stops
    /// when that copy expires. A read that either of them started last ends within
    /// [`FETCH_TIME_MAX`].
    fn free_time(self, id_hash: u64) -> Duration {
        // The read time is never below `configuration_age_max`, so it also covers outdated copies.
        self.read_time(id_hash) + WITHHELD_CHANGE_MAX + FETCH_TIME_MAX + CLOCK_MARGIN
    }
}

/// Returns whether a cached part that weights of `version` computed may still be read from cache
/// stores.
#[must_use]
pub fn may_read_part(
    published: &PublishedWeights,
    version: u64,
    id_hash: u64,
    times: OldPartTimes,
    now: Duration,
) -> bool {
    let Some(publication) = published.replaced_by(version) else {
        return true;
    };
    let published_after = publication.published_after;
    published_after.is_some_and(|after| now < after + times.read_time(id_hash))
}

/// Returns whether no daemon reads a cached part any more, so that it can be freed: newer weights of
/// the model that computed it were published long enough ago.
#[must_use]
pub fn is_retired(
    scope: &str,
    id_hash: u64,
    published: &IndexMap<String, PublishedWeights>,
    times: OldPartTimes,
    now: Duration,
) -> bool {
    let Some(weights) = scope_weights(scope) else {
        return false;
    };
    // The weights of a model are not replaced while no version of it is published.
    let published = published.get(weights.model.as_ref());
    let publication = published.and_then(|published| published.replaced_by(weights.version));
    publication.is_some_and(|publication| now >= publication.learned_at + times.free_time(id_hash))
}
