//! Reads topics of the metadata store, from the store itself or from the copy of a leader.
//!
//! Calls to the store are limited and charged, so only one leader a failure domain reads it all the time. The
//! others read a leader's copy and turn to the store whenever that copy is not fresh.

use crate::call::Callers;
use crate::dependency::Dependency;
use crate::direct_reads::DirectReads;
use crate::front::{TopicRead, topic_log_target};
use crate::gateway::Gateway;
use crate::page::fetch;
use crate::ports::{Changes, StoreError, Table, Topic};
use crate::topic_log::TopicPage;
use anvilgw_core::Clock;
use bytes::Bytes;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

/// Age of a leader's copy from which on this daemon reads the store itself.
const LEADER_AGE_MAX: Duration = Duration::from_millis(1200);
/// Time for a read of a leader's copy. A leader that takes longer may be frozen.
const LEADER_TIMEOUT: Duration = Duration::from_millis(400);
/// Part of the time for which the store may hold a read back after which a leader's copy is read again,
/// and for which leaders let the store hold reads back. The copies of the others are then about as old
/// as if they read the store themselves.
const LEADER_WAIT_PART: f64 = 0.5;
/// The same for a leader that reads the copy of another one: its group reads after both.
const RELAY_WAIT_PART: f64 = 0.25;
/// Largest deviation of a pause, as a part of it.
const JITTER: f64 = 0.15;

/// What a read returned.
pub(crate) struct TopicRecords {
    /// Contents, oldest first.
    pub(crate) records: Vec<Bytes>,
    /// Offset after the last record.
    pub(crate) next_offset: u64,
    /// Time at which the topic held nothing after these records, or that of a little before.
    pub(crate) verified_at: Duration,
}

/// Reads one topic.
pub(crate) struct TopicReader {
    topic: Topic,
    callers: Callers,
    leader: Dependency,
    direct_reads: DirectReads,
}

impl TopicReader {
    pub(crate) fn new(topic: Topic, clock: Arc<dyn Clock>) -> Self {
        Self {
            topic,
            callers: Callers::new(clock),
            leader: Dependency::new(match topic {
                Topic::Table(Table::Operators) => "leader's copy, operators",
                Topic::Table(Table::Servers) => "leader's copy, servers",
                Topic::Leases => "leader's copy, leases",
            }),
            direct_reads: DirectReads::default(),
        }
    }

    /// Reads the records from an offset on. The store may hold the read back up to `wait`; a read of a
    /// leader's copy follows after a pause of its own.
    pub(crate) async fn read(
        &mut self,
        gateway: &Gateway,
        from_offset: u64,
        wait: Duration,
    ) -> Result<TopicRecords, StoreError> {
        let reads = gateway.state.borrow().store_reads;
        if let Some(leader) = reads.source()
            && self.direct_reads.asks_leader(gateway.now())
        {
            let wait_part = if reads.serves_copies() {
                RELAY_WAIT_PART
            } else {
                LEADER_WAIT_PART
            };
            sleep(gateway.jittered(wait.mul_f64(wait_part), JITTER)).await;
            match self.read_leader(gateway, leader, from_offset).await {
                Ok(read) => {
                    self.leader.on_answer(gateway);
                    return Ok(read);
                }
                Err(reason) => {
                    gateway.metrics.count("leader_reads_failed");
                    self.leader
                        .on_failure(gateway, &format!("{leader}: {reason}"));
                    if !self.direct_reads.on_leader_failed(gateway.now()) {
                        return Err(StoreError::NoAnswer(reason));
                    }
                }
            }
        }
        let result = self.read_store(gateway, from_offset, wait).await;
        match &result {
            Ok(_) | Err(StoreError::Expired(_)) => self.direct_reads.on_store_answer(),
            Err(_) => self.direct_reads.on_store_failure(gateway.now()),
        }
        result
    }

    async fn read_store(
        &self,
        gateway: &Gateway,
        from_offset: u64,
        wait: Duration,
    ) -> Result<TopicRecords, StoreError> {
        let serves_copies = gateway.state.borrow().store_reads.serves_copies();
        let wait = if serves_copies {
            wait.mul_f64(LEADER_WAIT_PART)
        } else {
            wait
        };
        let verified_at = gateway.now();
        let store = &gateway.ports.store;
        let page = store.read(self.topic, from_offset, wait).await?;
        gateway.on_topic_read(self.topic, from_offset, &page.records, verified_at);
        Ok(TopicRecords {
            records: page.records,
            next_offset: page.next_offset,
            verified_at,
        })
    }

    async fn read_leader(
        &self,
        gateway: &Gateway,
        leader: SocketAddr,
        from_offset: u64,
    ) -> Result<TopicRecords, String> {
        let started_at = gateway.now();
        let target = topic_log_target(TopicRead {
            topic: self.topic,
            from_offset,
        });
        let page: TopicPage = fetch(&self.callers, leader, &target, LEADER_TIMEOUT).await?;
        let age = page.age_ms.map(Duration::from_millis);
        let verified_at = age.map(|age| started_at.saturating_sub(age));
        if age.is_some_and(|age| age > LEADER_AGE_MAX) {
            return Err("the leader's copy is too old".to_owned());
        }
        let read = TopicRecords {
            records: page.records.into_iter().map(Bytes::from).collect(),
            next_offset: page.next_offset,
            verified_at: verified_at.unwrap_or_default(),
        };
        gateway.on_topic_read(self.topic, from_offset, &read.records, read.verified_at);
        Ok(read)
    }
}

/// Decodes the records of a table. What is of no interest is left out.
pub(crate) fn decode_changes(gateway: &Gateway, table: Table, read: TopicRecords) -> Changes {
    let records = read.records.into_iter();
    Changes {
        changes: records
            .filter_map(|record| gateway.ports.store.decode(table, record))
            .collect(),
        next_offset: read.next_offset,
    }
}
