//! Counts of requests by software version, for the metrics.

use indexmap::IndexMap;

/// Number of versions up to which requests are counted by version.
const COUNTED_VERSIONS_MAX: usize = 64;

/// Version of a service's servers.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct VersionKey {
    pub(crate) service: String,
    pub(crate) version: String,
}

/// What this daemon has counted of a version.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct VersionCounts {
    /// Requests that were sent, retries included.
    pub(crate) requests: u64,
    /// Answers, and streams that began.
    pub(crate) answers: u64,
    /// Answers that report a failure, and requests without a complete answer.
    pub(crate) failures: u64,
}

/// Counts of all versions that this daemon has sent requests to.
#[derive(Debug, Default)]
pub(crate) struct VersionTotals {
    counts: IndexMap<VersionKey, VersionCounts>,
}

impl VersionTotals {
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&VersionKey, &VersionCounts)> {
        self.counts.iter()
    }

    /// Changes the counts of a version, unless there are too many versions.
    pub(crate) fn count(
        &mut self,
        service: &str,
        version: &str,
        change: impl FnOnce(&mut VersionCounts),
    ) {
        let key = VersionKey {
            service: service.to_owned(),
            version: version.to_owned(),
        };
        if self.counts.len() < COUNTED_VERSIONS_MAX || self.counts.contains_key(&key) {
            change(self.counts.entry(key).or_default());
        }
    }
}
