//! Counts of the answers of both versions, by route and server.

use bincode::{Decode, Encode};
use indexmap::IndexMap;
use std::time::Duration;

/// Size of the rows in one report. With the other fields, the datagram stays within its limit.
pub const ROWS_MAX_BYTES: usize = 1_300;
/// Memory that the rows of one report take when they are decoded, which is bounded as well.
const ROWS_MAX_DECODED_BYTES: usize = 4 * ROWS_MAX_BYTES;
/// Number of buckets per factor of two.
const BUCKETS_PER_OCTAVE: f64 = 3.0;
/// Number of buckets of the histogram, which covers 1 ms to 65 s.
pub(super) const BUCKETS: u8 = 48;
/// Number of groups that the base servers of a report are divided into. Only the target's servers
/// are told apart one by one.
const BASE_GROUPS: u32 = 8;

/// Which of the two versions of a rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub enum Side {
    /// The version that was in force before the order.
    Base,
    /// The version that the order names.
    Target,
}

/// Requests whose answers may be compared with each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub struct RouteKey {
    /// Hash of the route's name.
    pub route: u16,
    /// Class of the work that the request causes, such as the order of magnitude of the prompt
    /// tokens that the server has to compute. Servers with empty caches are thereby compared with
    /// the same work at others.
    pub work: u8,
}

/// Key of one row of evidence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub struct RowKey {
    /// Version that answered.
    pub side: Side,
    /// Route and work of the requests.
    pub route: RouteKey,
    /// Hash of the server, or the number of a group of base servers.
    pub server: u32,
}

/// Number of answers in one bucket of a histogram.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct BucketCount {
    /// Bucket; see [`bucket_of`].
    pub bucket: u8,
    /// Number of answers.
    pub count: u32,
}

/// Counts of the answers of one server on one route. Counts never decrease.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct EvidenceRow {
    /// What the row counts.
    pub key: RowKey,
    /// Answers, failures included.
    pub answers: u32,
    /// Answers that are failures, and requests that ended without an answer.
    pub failures: u32,
    /// Histogram of the time to the first event, or to the answer. Buckets ascend.
    pub times: Vec<BucketCount>,
}

impl EvidenceRow {
    /// Creates a row without answers.
    #[must_use]
    pub fn new(key: RowKey) -> Self {
        Self {
            key,
            answers: 0,
            failures: 0,
            times: Vec::new(),
        }
    }

    /// Adds answers to a bucket of the histogram.
    fn add_time(&mut self, bucket: u8, count: u32) {
        match self.times.binary_search_by_key(&bucket, |time| time.bucket) {
            Ok(index) => {
                let time = &mut self.times[index];
                time.count = time.count.saturating_add(count);
            }
            Err(index) => self.times.insert(index, BucketCount { bucket, count }),
        }
    }

    /// Adds the counts of another row.
    pub fn add(&mut self, other: &Self) {
        self.answers = self.answers.saturating_add(other.answers);
        self.failures = self.failures.saturating_add(other.failures);
        for time in &other.times {
            self.add_time(time.bucket, time.count);
        }
    }

    /// Returns the answers that this row counts and an `earlier` one does not.
    #[must_use]
    pub fn since(&self, earlier: &Self) -> Self {
        let earlier_in = |bucket| {
            let found = earlier.times.iter().find(|time| time.bucket == bucket);
            found.map_or(0, |time| time.count)
        };
        let times = self.times.iter().map(|time| BucketCount {
            bucket: time.bucket,
            count: time.count.saturating_sub(earlier_in(time.bucket)),
        });
        Self {
            key: self.key,
            answers: self.answers.saturating_sub(earlier.answers),
            failures: self.failures.saturating_sub(earlier.failures),
            times: times.filter(|time| time.count > 0).collect(),
        }
    }

    /// Returns the number of answers with a time.
    #[must_use]
    pub fn timed(&self) -> u32 {
        self.times.iter().map(|time| time.count).sum()
    }

    /// Returns the number of answers with a time in or above a bucket.
    #[must_use]
    pub fn timed_from(&self, bucket: u8) -> u32 {
        let slow = self.times.iter().filter(|time| time.bucket >= bucket);
        slow.map(|time| time.count).sum()
    }
}

/// Returns the bucket of a time.
#[must_use]
pub fn bucket_of(time: Duration) -> u8 {
    let time_ms = (time.as_secs_f64() * 1000.0).max(1.0);
    let bucket = (time_ms.log2() * BUCKETS_PER_OCTAVE) as u8;
    bucket.min(BUCKETS - 1)
}

/// Answers that one daemon has seen since it learned of an order, or the sum over several daemons.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    rows: IndexMap<RowKey, EvidenceRow>,
}

impl Evidence {
    /// Records the end of a request, or the first event of a stream.
    ///
    /// `server_hash` is [`server_hash`](crate::server::server_hash) of the server. `time` is the
    /// time to the first event or to the answer; it is `None` for failures without an answer and
    /// while the server is cold. A stream that breaks after its first event is a second record, with
    /// `is_failure` and without time.
    pub fn record(
        &mut self,
        side: Side,
        route: RouteKey,
        server_hash: u32,
        is_failure: bool,
        time: Option<Duration>,
    ) {
        let server = match side {
            Side::Base => server_hash % BASE_GROUPS,
            Side::Target => server_hash,
        };
        let row = self.row_mut(RowKey {
            side,
            route,
            server,
        });
        row.answers = row.answers.saturating_add(1);
        row.failures = row.failures.saturating_add(u32::from(is_failure));
        if let Some(time) = time {
            row.add_time(bucket_of(time), 1);
        }
    }

    /// Returns the rows for a report: first those of the target, then the largest ones, as many as
    /// fit into one datagram.
    #[must_use]
    pub fn snapshot(&self) -> Vec<EvidenceRow> {
        let mut rows: Vec<&EvidenceRow> = self.rows.values().collect();
        rows.sort_by_key(|row| {
            let is_target = row.key.side == Side::Target;
            std::cmp::Reverse((is_target, row.failures, row.answers))
        });
        let (mut encoded_bytes, mut decoded_bytes) = (0, 0);
        let fits = |row: &&&EvidenceRow| {
            encoded_bytes += encoded_len(row);
            decoded_bytes += decoded_len(row);
            encoded_bytes <= ROWS_MAX_BYTES && decoded_bytes <= ROWS_MAX_DECODED_BYTES
        };
        rows.iter()
            .take_while(fits)
            .map(|row| (*row).clone())
            .collect()
    }

    /// Adds a row.
    pub fn add(&mut self, row: &EvidenceRow) {
        self.row_mut(row.key).add(row);
    }

    /// Returns all rows.
    pub fn rows(&self) -> impl Iterator<Item = &EvidenceRow> {
        self.rows.values()
    }

    fn row_mut(&mut self, key: RowKey) -> &mut EvidenceRow {
        self.rows
            .entry(key)
            .or_insert_with(|| EvidenceRow::new(key))
    }
}

/// Returns the size of an encoded row. A row that cannot be encoded fits into no datagram.
fn encoded_len(row: &EvidenceRow) -> usize {
    let encoded = bincode::encode_to_vec(row, bincode::config::standard());
    encoded.map_or(ROWS_MAX_BYTES, |bytes| bytes.len())
}

fn decoded_len(row: &EvidenceRow) -> usize {
    size_of::<EvidenceRow>() + row.times.len() * size_of::<BucketCount>()
}
