//! Backend servers at which an answer broke off, until it is known whether the server has ended or
//! only the connection.

use crate::server::{Server, ServerKey, Servers};
use crate::server_ends::BrokenAnswer;
use anvilgw_quarantine::{LostRequests, ServerStart, Suspect};
use indexmap::IndexMap;
use std::time::Duration;

/// Time after which a break without other signs of an end counts as that of a connection alone.
/// Entries of servers that ended silently are removed within a few seconds.
const PENDING_TIME: Duration = Duration::from_secs(10);
/// Maximum number of servers that are kept.
const PENDING_MAX: usize = 256;
/// Maximum number of suspects of one workspace that are kept for one server, so that the parts of
/// one caller leave room for those of others.
const SUSPECTS_PER_WORKSPACE_MAX: usize = 4096;
/// Maximum number of suspects that are kept for all servers.
const SUSPECTS_MAX: usize = 64 * 1024;

/// What is known of one server.
#[derive(Debug)]
struct PendingEnd {
    key: ServerKey,
    broken_at: Duration,
    lost: u32,
    long_answers: u32,
    suspects: Vec<Suspect>,
}

/// The end of a server that is certain.
#[derive(Debug)]
pub(crate) struct ConfirmedEnd {
    pub(crate) lost: LostRequests,
    /// Number of the lost requests whose answers the server had been writing for long.
    pub(crate) long_answers: u32,
}

/// Servers at which answers broke off.
#[derive(Debug, Default)]
pub(crate) struct PendingEnds {
    by_start: IndexMap<ServerStart, PendingEnd>,
}

impl PendingEnds {
    /// Records that an answer broke off at a server. Returns whether it is the first one at this start
    /// of the server.
    pub(crate) fn on_broken(
        &mut self,
        answer: &BrokenAnswer,
        server: &Server,
        now: Duration,
    ) -> bool {
        let suspects = &answer.suspects;
        let start = start_of(server);
        let is_first = !self.by_start.contains_key(&start);
        if is_first && self.by_start.len() >= PENDING_MAX {
            self.by_start.shift_remove_index(0);
        }
        let all_suspects: usize = self
            .by_start
            .values()
            .map(|pending| pending.suspects.len())
            .sum();
        let pending = self.by_start.entry(start).or_insert_with(|| PendingEnd {
            key: answer.server.key,
            broken_at: now,
            lost: 0,
            long_answers: 0,
            suspects: Vec::new(),
        });
        pending.lost += 1;
        pending.long_answers += u32::from(answer.is_long);
        let workspace = suspects.first().map(|suspect| suspect.workspace);
        let kept = pending.suspects.iter();
        let of_workspace = kept.filter(|kept| Some(kept.workspace) == workspace);
        let room = SUSPECTS_PER_WORKSPACE_MAX
            .saturating_sub(of_workspace.count())
            .min(SUSPECTS_MAX.saturating_sub(all_suspects));
        pending.suspects.extend(suspects.iter().take(room));
        is_first
    }

    /// Returns whether there are any.
    pub(crate) fn is_empty(&self) -> bool {
        self.by_start.is_empty()
    }

    /// Forgets a server that turned out to be running.
    pub(crate) fn discard(&mut self, start: ServerStart) {
        self.by_start.shift_remove(&start);
    }

    /// Takes a server that turned out to have ended.
    pub(crate) fn take(&mut self, start: ServerStart) -> Option<ConfirmedEnd> {
        let pending = self.by_start.shift_remove(&start)?;
        Some(ConfirmedEnd {
            lost: LostRequests {
                server: start,
                count: pending.lost,
                suspects: pending.suspects,
            },
            long_answers: pending.long_answers,
        })
    }

    /// Takes the servers whose entries show that they ended, and forgets those whose break was long
    /// ago.
    pub(crate) fn take_replaced(&mut self, servers: &Servers, now: Duration) -> Vec<ConfirmedEnd> {
        self.by_start
            .retain(|_, pending| now < pending.broken_at + PENDING_TIME);
        let is_replaced = |start: ServerStart, pending: &PendingEnd| {
            let server = servers.get(pending.key);
            server.is_none_or(|server| start_of(server) != start)
        };
        let replaced: Vec<ServerStart> = self
            .by_start
            .iter()
            .filter(|(start, pending)| is_replaced(**start, pending))
            .map(|(start, _)| *start)
            .collect();
        replaced
            .into_iter()
            .filter_map(|start| self.take(start))
            .collect()
    }
}

/// Returns the key of the current start of a server.
pub(crate) fn start_of(server: &Server) -> ServerStart {
    ServerStart(server.incarnation_hash())
}
