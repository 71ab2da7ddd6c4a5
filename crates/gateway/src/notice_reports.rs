//! Reports of what backend servers have stated in answers to one daemon and that concerns the
//! requests of all daemons.
//!
//! The reports take the same ways as load reports (see [`groups`](crate::groups)). A lost report
//! costs little: statements are repeated, and a daemon also learns them from its own answers.

use crate::groups::Role;
use crate::peers::ReportScope;
use crate::request_limit::{LimitStatement, RequestRate, StatementSource};
use crate::server::{Server, Servers};
use bincode::{Decode, Encode};
use std::net::SocketAddr;
use std::time::Duration;

/// Time between two reports.
pub const NOTICE_PERIOD: Duration = Duration::from_millis(250);
/// Age up to which a statement is reported. It is renewed by each answer that repeats it.
const AGE_MAX: Duration = Duration::from_secs(10);
/// Time after a change during which each report contains it.
const NEWS_TIME: Duration = Duration::from_secs(2);
/// Number of periods after which a statement that has not changed is reported again.
const REPEAT_PERIODS: u32 = 4;
/// Time after its start during which a daemon asks others for the statements that they know. Their
/// lists of members may not contain it yet, so they do not report to it.
pub const QUERY_TIME: Duration = Duration::from_secs(5);
/// Number of daemons that are asked each time.
const QUERIED_MAX: usize = 2;
/// Maximum number of notices in a datagram.
const NOTICES_MAX: usize = 50;

/// What a backend server has stated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub enum Statement {
    /// It takes this rate of requests from all daemons together, or any rate.
    Limit(Option<RequestRate>),
}

/// Statement of one backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct PeerNotice {
    /// Hash of the server; see [`Server::incarnation_hash`].
    pub server_hash: u64,
    /// Time since the server made the statement, in milliseconds.
    pub age_ms: u32,
    /// What the server has stated.
    pub statement: Statement,
}

/// Notices in one datagram.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct NoticeReport {
    /// Daemons whose answers contained the statements.
    pub scope: ReportScope,
    /// Statements of servers.
    pub notices: Vec<PeerNotice>,
}

/// Reports for a set of daemons.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AddressedReports {
    /// Daemons that get each of the reports.
    pub recipients: Vec<SocketAddr>,
    /// Reports, one for each datagram.
    pub reports: Vec<NoticeReport>,
}

/// Creates the reports of one daemon.
#[derive(Debug, Default)]
pub struct NoticeReporter {
    period: u32,
}

impl NoticeReporter {
    /// Returns the reports of the next period.
    pub fn next_reports(
        &mut self,
        servers: &Servers,
        role: &Role,
        now: Duration,
    ) -> Vec<AddressedReports> {
        self.period = self.period.wrapping_add(1);
        let is_repeat = self.period.is_multiple_of(REPEAT_PERIODS);
        let notices: Vec<SourcedNotice> = servers
            .iter()
            .filter_map(|(_, server)| notice_of(server, is_repeat, now))
            .collect();
        let own = |source| source == StatementSource::Answer;
        let group = |source| source != StatementSource::Fleet;
        match role {
            Role::Mesh { peers } => vec![addressed(peers, ReportScope::Daemon, &notices, own)],
            Role::Follower { leader } => {
                vec![addressed(&[*leader], ReportScope::Daemon, &notices, own)]
            }
            Role::Leader { followers, leaders } => vec![
                addressed(leaders, ReportScope::Group, &notices, group),
                addressed(followers, ReportScope::Fleet, &notices, |_| true),
            ],
        }
    }
}

/// Returns the daemons that a daemon asks for the statements that they know while it starts.
#[must_use]
pub fn queried_daemons(role: &Role) -> &[SocketAddr] {
    let known = match role {
        Role::Mesh { peers } => peers.as_slice(),
        Role::Follower { leader } => std::slice::from_ref(leader),
        Role::Leader { leaders, .. } => leaders.as_slice(),
    };
    &known[..known.len().min(QUERIED_MAX)]
}

/// Returns the reports for a daemon that asks for all statements.
#[must_use]
pub fn reports_of_all(servers: &Servers, now: Duration) -> Vec<NoticeReport> {
    let notices: Vec<SourcedNotice> = servers
        .iter()
        .filter_map(|(_, server)| notice_of(server, true, now))
        .collect();
    addressed(&[], ReportScope::Fleet, &notices, |_| true).reports
}

/// A notice with the way on which this daemon learned it.
#[derive(Clone, Copy)]
struct SourcedNotice {
    notice: PeerNotice,
    source: StatementSource,
}

fn notice_of(server: &Server, is_repeat: bool, now: Duration) -> Option<SourcedNotice> {
    let limit = &server.request_limit;
    let newest = limit.newest()?;
    let age = now.saturating_sub(newest.stated_at);
    let is_news = now.saturating_sub(limit.changed_at()) < NEWS_TIME;
    if age > AGE_MAX || !(is_news || is_repeat) {
        return None;
    }
    Some(SourcedNotice {
        notice: PeerNotice {
            server_hash: server.incarnation_hash(),
            age_ms: age.as_millis() as u32,
            statement: Statement::Limit(newest.limit),
        },
        source: newest.source,
    })
}

fn addressed(
    recipients: &[SocketAddr],
    scope: ReportScope,
    notices: &[SourcedNotice],
    is_included: impl Fn(StatementSource) -> bool,
) -> AddressedReports {
    let included: Vec<PeerNotice> = notices
        .iter()
        .filter(|sourced| is_included(sourced.source))
        .map(|sourced| sourced.notice)
        .collect();
    let reports = included.chunks(NOTICES_MAX).map(|notices| NoticeReport {
        scope,
        notices: notices.to_vec(),
    });
    AddressedReports {
        recipients: recipients.to_vec(),
        reports: reports.collect(),
    }
}

/// Returns from whom a daemon has learned the statements in a report, or `None` if its role does not
/// use reports of this scope.
fn source_of(role: &Role, scope: ReportScope) -> Option<StatementSource> {
    match (role, scope) {
        (Role::Leader { .. }, ReportScope::Daemon) => Some(StatementSource::Follower),
        (Role::Mesh { .. }, ReportScope::Daemon)
        | (Role::Leader { .. }, ReportScope::Group)
        | (_, ReportScope::Fleet) => Some(StatementSource::Fleet),
        _ => None,
    }
}

/// Applies a received report to the servers, and returns those for which the limit in force has
/// changed.
pub fn apply_report<'a>(
    servers: &'a mut Servers,
    role: &Role,
    report: &NoticeReport,
    now: Duration,
) -> Vec<&'a mut Server> {
    let Some(source) = source_of(role, report.scope) else {
        return Vec::new();
    };
    let apply = |server: &mut Server| {
        let hash = server.incarnation_hash();
        let mut notices = report.notices.iter();
        let Some(notice) = notices.find(|notice| notice.server_hash == hash) else {
            return false;
        };
        let Statement::Limit(limit) = notice.statement;
        let age = Duration::from_millis(u64::from(notice.age_ms));
        server.request_limit.on_statement(
            LimitStatement {
                limit,
                stated_at: now.saturating_sub(age),
                source,
            },
            now,
        )
    };
    servers
        .iter_mut()
        .filter_map(|server| apply(server).then_some(server))
        .collect()
}
