//! Published versions of a model's weights, and how long each may serve.

use std::time::Duration;

/// Fraction of the operators' time limit for a switch after which replaced weights serve no new
/// requests.
pub(super) const OLD_WEIGHTS_FRACTION: f64 = 0.8;

/// Versions of one model's weights that operators have published.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PublishedWeights {
    /// Newest published version, which all servers have to load.
    pub version: u64,
    /// The latest publications, oldest first; at most [`PUBLICATIONS_MAX`].
    publications: Vec<WeightPublication>,
}

/// Publication of one version. A daemon does not know its exact time, only an interval that
/// contains it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WeightPublication {
    /// Published version; increases with each publication of the model.
    pub version: u64,
    /// Start of the interval: the latest time at which this daemon's copy of the operators' table
    /// was known to be complete and did not contain the version. `None` if the first copy that the
    /// daemon read contained it already.
    pub published_after: Option<Duration>,
    /// End of the interval: the time at which this daemon read the version.
    pub learned_at: Duration,
}

/// Number of publications that are remembered. A switch of weights takes seconds, so servers hold
/// versions of the last few publications only.
const PUBLICATIONS_MAX: usize = 8;

impl PublishedWeights {
    /// Creates the list from the first publication that the daemon has read.
    #[must_use]
    pub fn new(publication: WeightPublication) -> Self {
        Self {
            version: publication.version,
            publications: vec![publication],
        }
    }

    /// Records the publication of a newer version and drops the oldest ones beyond the limit.
    pub fn on_published(&mut self, publication: WeightPublication) {
        self.version = publication.version;
        self.publications.push(publication);
        let surplus = self.publications.len().saturating_sub(PUBLICATIONS_MAX);
        self.publications.drain(..surplus);
    }

    /// Returns the time at which weights of `version` stop serving new requests, or `None` if no
    /// newer ones are published. `switch_time` is the operators' time limit for a switch. If the
    /// time of the publication is not known, it counts as over.
    #[must_use]
    pub fn serves_until(&self, version: u64, switch_time: Duration) -> Option<Duration> {
        let replaced_after = self.replaced_by(version)?.published_after;
        let serves_for = switch_time.mul_f64(OLD_WEIGHTS_FRACTION);
        Some(replaced_after.map_or(Duration::ZERO, |after| after + serves_for))
    }

    /// Returns the oldest remembered publication that is newer than `version`.
    pub(super) fn replaced_by(&self, version: u64) -> Option<&WeightPublication> {
        self.publications
            .iter()
            .find(|publication| publication.version > version)
    }
}

/// Returns the oldest version that may serve a new request, or `None` while older weights are still
/// allowed.
#[must_use]
pub fn oldest_allowed_version(
    published: &PublishedWeights,
    switch_time: Duration,
    now: Duration,
) -> Option<u64> {
    let publication = published.publications.last()?;
    let old_allowed_for = switch_time.mul_f64(OLD_WEIGHTS_FRACTION);
    let may_be_old = publication
        .published_after
        .is_some_and(|after| now < after + old_allowed_for);
    (!may_be_old).then_some(published.version)
}
