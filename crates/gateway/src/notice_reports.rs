//! Reports of what backend servers have stated in answers to one daemon and that concerns the
//! requests of all daemons.
//!
//! The reports take the same ways as load reports (see [`groups`](crate::groups)). A lost report
//! costs little: statements are repeated, and a daemon also learns them from its own answers.

use crate::groups::Role;
use crate::peers::ReportScope;
use crate::request_limit::{LimitStatement, RequestRate, StatementSource};
use crate::server::{Server, ServerKey, Servers};
use bincode::{Decode, Encode};
use indexmap::IndexMap;
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
    /// It is draining and takes no new work.
    Draining,
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
            .flat_map(|(_, server)| notices_of(server, is_repeat, now))
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
        .flat_map(|(_, server)| notices_of(server, true, now))
        .collect();
    addressed(&[], ReportScope::Fleet, &notices, |_| true).reports
}

/// A notice with the way on which this daemon learned it.
#[derive(Clone, Copy)]
struct SourcedNotice {
    notice: PeerNotice,
    source: StatementSource,
}

/// Statement of a server as this daemon knows it.
struct Known {
    statement: Statement,
    stated_at: Duration,
    /// When this daemon learned of it or, if it was repeated, when it last changed.
    changed_at: Duration,
    source: StatementSource,
}

fn known_statements(server: &Server) -> impl Iterator<Item = Known> {
    let limit = server.request_limit.newest().map(|newest| Known {
        statement: Statement::Limit(newest.limit),
        stated_at: newest.stated_at,
        changed_at: server.request_limit.changed_at(),
        source: newest.source,
    });
    let draining = server.drain_notice().map(|notice| Known {
        statement: Statement::Draining,
        stated_at: notice.learned_at,
        changed_at: notice.learned_at,
        source: notice.source,
    });
    limit.into_iter().chain(draining)
}

/// Returns the statements of a server that are reported now. In periods that are no repetition,
/// these are only the ones that have changed.
fn notices_of(
    server: &Server,
    is_repeat: bool,
    now: Duration,
) -> impl Iterator<Item = SourcedNotice> {
    let server_hash = server.incarnation_hash();
    known_statements(server).filter_map(move |known| {
        let age = now.saturating_sub(known.stated_at);
        let is_news = now.saturating_sub(known.changed_at) < NEWS_TIME;
        let is_reported = age <= AGE_MAX && (is_news || is_repeat);
        is_reported.then_some(SourcedNotice {
            notice: PeerNotice {
                server_hash,
                age_ms: age.as_millis() as u32,
                statement: known.statement,
            },
            source: known.source,
        })
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

/// Returns from whom a daemon has learned the statements in a report, or `None` if its role does
/// not use reports of this scope.
fn source_of(role: &Role, scope: ReportScope) -> Option<StatementSource> {
    match (role, scope) {
        (Role::Leader { .. }, ReportScope::Daemon) => Some(StatementSource::Follower),
        (Role::Mesh { .. }, ReportScope::Daemon)
        | (Role::Leader { .. }, ReportScope::Group)
        | (_, ReportScope::Fleet) => Some(StatementSource::Fleet),
        _ => None,
    }
}

/// What a received report has changed at a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoticeChange {
    /// The limit in force has changed.
    Limit(ServerKey),
    /// The server is known to be draining now.
    Draining(ServerKey),
}

/// Applies a received report to the servers, and returns what has changed.
pub fn apply_report(
    servers: &mut Servers,
    role: &Role,
    report: &NoticeReport,
    now: Duration,
) -> Vec<NoticeChange> {
    let Some(source) = source_of(role, report.scope) else {
        return Vec::new();
    };
    let by_hash: IndexMap<u64, ServerKey> = servers
        .iter()
        .map(|(key, server)| (server.incarnation_hash(), key))
        .collect();
    let apply = |notice: &PeerNotice| {
        let key = *by_hash.get(&notice.server_hash)?;
        let server = servers.get_mut(key)?;
        let change = match notice.statement {
            Statement::Limit(_) => NoticeChange::Limit(key),
            Statement::Draining => NoticeChange::Draining(key),
        };
        apply_notice(server, notice, source, now).then_some(change)
    };
    report.notices.iter().filter_map(apply).collect()
}

/// Applies a notice to its server, and returns whether that changes anything.
fn apply_notice(
    server: &mut Server,
    notice: &PeerNotice,
    source: StatementSource,
    now: Duration,
) -> bool {
    let age = Duration::from_millis(u64::from(notice.age_ms));
    match notice.statement {
        Statement::Limit(limit) => {
            let statement = LimitStatement {
                limit,
                stated_at: now.saturating_sub(age),
                source,
            };
            server.request_limit.on_statement(statement, now)
        }
        Statement::Draining => server.on_drain_notice(source, now),
    }
}
