//! Published versions of a model's weights, and how long each may serve.

use std::time::Duration;

/// Fraction of the operators' time limit for a switch after which replaced weights serve no new
/// requests.
pub(super) const OLD_WEIGHTS_FRACTION: f64 = 0.8;

/// Time before the end of the operators' limit at which a request that has not begun is given up.
/// It covers the way of the cancellation to the server on a busy instance.
const BEGIN_MARGIN: Duration = Duration::from_millis(300);

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
    /// End of the interval: the time at which this daemon read the version. Later if the store was
    /// restored since.
    pub learned_at: Duration,
}

impl WeightPublication {
    /// Returns the time at which the weights that this publication replaced stop serving new
    /// requests. Later publications do not prolong it.
    fn replaced_serve_until(&self, switch_time: Duration) -> Duration {
        let serve_for = switch_time.mul_f64(OLD_WEIGHTS_FRACTION);
        self.published_after
            .map_or(Duration::ZERO, |after| after + serve_for)
    }
}

/// Number of publications that are remembered.
const PUBLICATIONS_MAX: usize = 16;

impl PublishedWeights {
    /// Creates the list from the first publication that the daemon has read.
    #[must_use]
    pub fn new(publication: WeightPublication) -> Self {
        Self {
            version: publication.version,
            publications: vec![publication],
        }
    }

    /// Records the publication of a newer version. Beyond the limit, the two oldest publications
    /// become one.
    pub fn on_published(&mut self, publication: WeightPublication) {
        self.version = publication.version;
        self.publications.push(publication);
        if self.publications.len() > PUBLICATIONS_MAX {
            let oldest = self.publications.remove(0);
            // Forgetting the earlier time would prolong the use of the versions before it.
            self.publications[0].published_after = oldest.published_after;
        }
    }

    /// Records that the metadata store was restored from a copy that may lack the publications, until
    /// operators write them again. Daemons that learn of them only then may count from a time shortly
    /// before `repeated_at`.
    pub fn on_store_restored(&mut self, repeated_at: Duration) {
        for publication in &mut self.publications {
            publication.learned_at = publication.learned_at.max(repeated_at);
        }
    }

    /// Returns the time at which weights of `version` stop serving new requests, or `None` if no
    /// newer ones are published. `switch_time` is the operators' time limit for a switch. If the
    /// time of the publication is not known, it counts as over.
    #[must_use]
    pub fn serves_until(&self, version: u64, switch_time: Duration) -> Option<Duration> {
        let replaced_by = self.replaced_by(version)?;
        Some(replaced_by.replaced_serve_until(switch_time))
    }

    /// Returns the time by which a request on weights of `version` has to begin at its server, where
    /// it may wait in a queue. `verified_at` is the time up to which this daemon's copy of the
    /// operators' table is complete: newer weights than the newest that it contains were published
    /// later.
    #[must_use]
    pub fn must_begin_by(
        &self,
        version: u64,
        verified_at: Duration,
        switch_time: Duration,
    ) -> Duration {
        let replaced_after = match self.replaced_by(version) {
            Some(publication) => publication.published_after.unwrap_or_default(),
            None => verified_at,
        };
        replaced_after + switch_time.saturating_sub(BEGIN_MARGIN)
    }

    /// Returns the oldest remembered publication that is newer than `version`.
    pub(super) fn replaced_by(&self, version: u64) -> Option<&WeightPublication> {
        self.publications
            .iter()
            .find(|publication| publication.version > version)
    }
}

/// Returns the oldest version that may serve a new request, or `None` if the time of no replaced
/// version is over. `switch_time` is the operators' time limit for a switch.
#[must_use]
pub fn oldest_allowed_version(
    published: &PublishedWeights,
    switch_time: Duration,
    now: Duration,
) -> Option<u64> {
    let publications = published.publications.iter();
    let expired = publications
        .filter(|publication| publication.replaced_serve_until(switch_time) <= now)
        .map(|publication| publication.version);
    expired.max()
}
