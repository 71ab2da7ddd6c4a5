//! Events of a simulation, ordered by time.

use super::Trouble;
use anvilgw_gateway::notice_reports::NoticeReport;
use anvilgw_gateway::permits::PermitOutcome;
use anvilgw_gateway::request_limit::RequestRate;
use anvilgw_gateway::server::ServerKey;
use std::time::Duration;

/// A client's request that is waiting for a permit.
#[derive(Clone, Copy, Debug)]
pub(super) struct Pending {
    pub(super) daemon: usize,
    pub(super) server: ServerKey,
    pub(super) limit: RequestRate,
    pub(super) asks: u32,
    pub(super) number: u64,
}

#[derive(Clone, Debug)]
pub(super) enum Event {
    Request,
    Ask(Pending, usize),
    Reply(Pending, PermitOutcome),
    Answer(usize, ServerKey, Option<RequestRate>),
    NoticePeriod(usize),
    Notices(usize, NoticeReport),
    NoticeQuery(usize, usize),
    ReadMembers(usize),
    ConfirmMembers(usize),
    Trouble(Trouble),
    MembersChanged,
}

pub(super) struct Scheduled {
    pub(super) at: Duration,
    pub(super) number: u64,
    pub(super) event: Event,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.number) == (other.at, other.number)
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}
