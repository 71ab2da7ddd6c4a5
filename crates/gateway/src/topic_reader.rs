//! Reads topics of the metadata store, either from the store itself or from a leader's copy.
//!
//! Calls to the metadata store are limited and charged, so in each failure domain only one leader
//! reads it continuously. The other daemons read a leader's copy, and read the store itself while
//! that copy is missing or too old.

use crate::dependency::Dependency;
use crate::direct_reads::DirectReads;
use crate::gateway::Gateway;
use crate::http_client::HttpClients;
use crate::listeners::{TopicRead, topic_log_target};
use crate::log::Event;
use crate::log_position::{LogPosition, StoreEpoch};
use crate::page::fetch;
use crate::ports::{Changes, StoreError, Table, Topic};
use crate::read_origin::ReadOrigin;
use crate::topic_log::TopicPage;
use anvilgw_core::Clock;
use bytes::Bytes;
use std::cmp::Ordering;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

/// Age from which a leader's copy is too old, so that this daemon reads the metadata store itself.
const LEADER_COPY_AGE_MAX: Duration = Duration::from_millis(1200);
/// The same for evidence on prompt parts. Leaders tell when there is more of it, and let the store
/// hold reads back for longer.
const EVIDENCE_COPY_AGE_MAX: Duration = Duration::from_secs(8);
/// Timeout of a read of a leader's copy. A leader that takes longer may be frozen.
const LEADER_TIMEOUT: Duration = Duration::from_millis(400);
/// Fraction of the requested wait that daemons in the chain of copies use: a follower pauses this
/// long before it reads its leader's copy, and a daemon whose copy others read lets the store hold
/// a read back this long. The followers' copies are then about as old as if they read the store
/// themselves.
const LEADER_WAIT_FRACTION: f64 = 0.5;
/// Fraction of the requested wait for which a leader pauses before it reads another leader's copy.
/// It is smaller because its group's copies are delayed by both reads.
const RELAY_WAIT_FRACTION: f64 = 0.25;
/// Mean delay of a listing that follows when the leader's copy is of a newer epoch.
const LISTING_DELAY: Duration = Duration::from_millis(150);
/// Maximum random deviation of that delay, as a fraction of it.
const LISTING_DELAY_JITTER: f64 = 1.0;
/// Maximum random deviation of a pause, as a fraction of it.
const JITTER: f64 = 0.15;

/// Records that a read of a topic returned.
pub(crate) struct TopicRecords {
    /// Contents of the records, oldest first.
    pub(crate) records: Vec<Bytes>,
    /// Where and when they were read.
    pub(crate) origin: ReadOrigin,
}

/// Reads one topic and chooses between the metadata store and the leader's copy.
pub(crate) struct TopicReader {
    topic: Topic,
    clients: HttpClients,
    leader_dependency: Dependency,
    direct_reads: DirectReads,
}

impl TopicReader {
    pub(crate) fn new(topic: Topic, clock: Arc<dyn Clock>) -> Self {
        Self {
            topic,
            clients: HttpClients::new(clock),
            leader_dependency: Dependency::new(match topic {
                Topic::Table(Table::Operators) => "leader's copy, operators",
                Topic::Table(Table::Servers) => "leader's copy, servers",
                Topic::Leases => "leader's copy, leases",
                Topic::Evidence => "leader's copy, evidence",
                Topic::Statuses => "leader's copy, statuses",
            }),
            direct_reads: DirectReads::default(),
        }
    }

    /// Reads the records from the position `from` on. The metadata store may hold the read back for up to
    /// `wait` until there are new records; before a read of a leader's copy, this daemon pauses for
    /// a fraction of `wait` instead.
    pub(crate) async fn read(
        &mut self,
        gateway: &Gateway,
        from: LogPosition,
        wait: Duration,
    ) -> Result<TopicRecords, StoreError> {
        let store_reads = gateway.state.borrow().store_reads;
        if let Some(leader) = store_reads.source()
            && self.direct_reads.reads_leader_first(gateway.now())
        {
            let wait_fraction = if store_reads.serves_copies() {
                RELAY_WAIT_FRACTION
            } else {
                LEADER_WAIT_FRACTION
            };
            sleep(gateway.jittered(wait.mul_f64(wait_fraction), JITTER)).await;
            match self.read_leader_copy(gateway, leader, from).await {
                Ok(read) => {
                    self.leader_dependency.on_answer(gateway);
                    return Ok(read);
                }
                Err(LeaderReadError::Restored(epoch)) => {
                    self.log_epoch(gateway, from, epoch, &leader.to_string());
                    // The daemons that read this copy do not all list the log at the same time.
                    let delay = gateway.jittered(LISTING_DELAY, LISTING_DELAY_JITTER);
                    sleep(delay).await;
                    return Err(StoreError::Restored(epoch));
                }
                Err(LeaderReadError::Unusable(reason)) => {
                    gateway.metrics.count("leader_reads_failed");
                    self.leader_dependency
                        .on_failure(gateway, &format!("{leader}: {reason}"));
                    if !self.direct_reads.on_leader_failed(gateway.now()) {
                        return Err(StoreError::NoAnswer(reason));
                    }
                }
            }
        }
        let result = self.read_store(gateway, from, wait).await;
        match &result {
            Ok(_) | Err(StoreError::Expired(_) | StoreError::Restored(_)) => {
                self.direct_reads.on_store_answer();
            }
            Err(_) => self.direct_reads.on_store_failure(gateway.now()),
        }
        result
    }

    async fn read_store(
        &self,
        gateway: &Gateway,
        from: LogPosition,
        wait: Duration,
    ) -> Result<TopicRecords, StoreError> {
        let serves_copies = gateway.state.borrow().store_reads.serves_copies();
        let wait = if serves_copies {
            wait.mul_f64(LEADER_WAIT_FRACTION)
        } else {
            wait
        };
        let started_at = gateway.now();
        let store = &gateway.ports.metadata_store;
        let result = store.read(self.topic, from.offset, wait).await;
        let epoch = match &result {
            Ok(page) => page.next.epoch,
            Err(StoreError::Expired(first)) => first.epoch,
            Err(_) => from.epoch,
        };
        if epoch != from.epoch {
            self.log_epoch(gateway, from, epoch, "store");
            return Err(StoreError::Restored(epoch));
        }
        let page = result?;
        // A page that leaves records out does not show that the copy is current.
        let verified_at = if page.is_complete {
            started_at
        } else {
            Duration::ZERO
        };
        let origin = ReadOrigin::store(page.next, verified_at, gateway.now());
        self.on_read(gateway, from, &page.records, &origin);
        Ok(TopicRecords {
            records: page.records,
            origin,
        })
    }

    async fn read_leader_copy(
        &self,
        gateway: &Gateway,
        leader: SocketAddr,
        from: LogPosition,
    ) -> Result<TopicRecords, LeaderReadError> {
        let started_at = gateway.now();
        let target = topic_log_target(TopicRead {
            topic: self.topic,
            from,
        });
        let fetched = fetch(&self.clients, leader, &target, LEADER_TIMEOUT).await;
        let page: TopicPage = fetched.map_err(LeaderReadError::Unusable)?;
        check_epoch(from, page.next)?;
        let age = page.age_ms.map(Duration::from_millis);
        let verified_at = age.map(|age| started_at.saturating_sub(age));
        let age_max = match self.topic {
            Topic::Evidence => EVIDENCE_COPY_AGE_MAX,
            Topic::Table(_) | Topic::Leases | Topic::Statuses => LEADER_COPY_AGE_MAX,
        };
        if age.is_some_and(|age| age > age_max) {
            let reason = "the leader's copy is too old".to_owned();
            return Err(LeaderReadError::Unusable(reason));
        }
        let records: Vec<Bytes> = page.records.into_iter().map(Bytes::from).collect();
        let origin = ReadOrigin::copy(leader, page.next, verified_at.unwrap_or_default());
        self.on_read(gateway, from, &records, &origin);
        Ok(TopicRecords { records, origin })
    }

    fn log_epoch(&self, gateway: &Gateway, from: LogPosition, epoch: StoreEpoch, source: &str) {
        gateway.metrics.count("log_epoch_changes");
        gateway.log_notable(&Event::EpochChanged {
            log: self.topic.name(),
            epoch: epoch.0,
            known_epoch: from.epoch.0,
            from_offset: from.offset,
            source,
        });
    }

    /// Adds records to the copy for other daemons, and records where they were read.
    fn on_read(
        &self,
        gateway: &Gateway,
        from: LogPosition,
        records: &[Bytes],
        origin: &ReadOrigin,
    ) {
        gateway.on_topic_read(self.topic, from, records, origin.verified_at);
        gateway.on_log_read(self.topic, origin);
    }
}

/// Why a read of a leader's copy has no records.
enum LeaderReadError {
    /// The leader reads a store that was restored since the position was read, in this epoch.
    Restored(StoreEpoch),
    /// The copy is missing or too old, or the leader did not answer.
    Unusable(String),
}

/// Checks that a page continues the records before the position `from`. A leader that has not
/// learned of a restore yet shows nothing about the newer epoch.
fn check_epoch(from: LogPosition, next: LogPosition) -> Result<(), LeaderReadError> {
    match next.epoch.cmp(&from.epoch) {
        Ordering::Equal => Ok(()),
        Ordering::Greater => Err(LeaderReadError::Restored(next.epoch)),
        Ordering::Less => {
            let reason = format!("the leader's copy is of epoch {}", next.epoch);
            Err(LeaderReadError::Unusable(reason))
        }
    }
}

/// Decodes the records of a table. Records that do not concern the gateway are left out.
pub(crate) fn decode_changes(gateway: &Gateway, table: Table, read: TopicRecords) -> Changes {
    let first_offset = read.origin.next.offset - read.records.len() as u64;
    let records = (first_offset..).zip(read.records);
    let store = &gateway.ports.metadata_store;
    Changes {
        changes: records
            .filter_map(|(offset, record)| store.decode(table, offset, record))
            .collect(),
        next: read.origin.next,
    }
}
