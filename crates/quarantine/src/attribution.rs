//! Attributes the ends of backend servers to prompt parts.

use crate::{PartKey, ServerStart, Suspect, WorkspaceKey};
use indexmap::{IndexMap, IndexSet};
use std::time::Duration;

/// Smallest number of ends under one part, without a whole answer in between, from which it is
/// quarantined.
pub const ENDS_TO_QUARANTINE: usize = 5;
/// The same for a part that is absent at most ends while most requests lose their servers.
pub const ENDS_TO_QUARANTINE_MAX: usize = 10;
/// Probability with which a sound part may lose as many servers in a row as a quarantine takes. It
/// is small because there are many parts, each of which may.
const CHANCE_MAX: f64 = 0.001;
/// Smallest share of lost requests that is assumed, so that a single report does not count too much.
const LOST_SHARE_MIN: f64 = 0.05;
/// Share of all ends of its time that a part explains if it is the cause of a series of ends.
const EXPLAINED_SHARE_MIN: f64 = 0.9;
/// Number of ends from which daemons that know the part to be sound say so.
pub const ENDS_TO_CLEAR: usize = 3;
/// One workspace contributes at most one in this many, rounded up, of the ends of a quarantine for all
/// workspaces, so that no caller blocks a part of the others.
const ENDS_SHARE_OF_WORKSPACE: usize = 2;
/// Ends closer together than this count as one. Servers that lose their power together end under
/// all popular parts at the same moment.
const ENDS_GAP: Duration = Duration::from_millis(50);

/// The suspects of one report of a server's end.
#[derive(Clone, Debug)]
pub struct Evidence {
    /// The start of the server that ended.
    pub server: ServerStart,
    /// When the end was noticed, in Unix milliseconds.
    pub seen_at_ms: u64,
    /// Number of requests that were lost there.
    pub lost: u32,
    /// Number of whole answers that the reporting daemon got before.
    pub completed: u32,
    /// Parts in flight at the server.
    pub suspects: Vec<Suspect>,
}

/// For whose requests a part is quarantined.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Scope {
    /// For all workspaces.
    Fleet,
    /// For these workspaces.
    Workspaces(Vec<WorkspaceKey>),
}

impl Scope {
    /// Returns whether requests of a workspace are concerned.
    #[must_use]
    pub fn contains(&self, workspace: WorkspaceKey) -> bool {
        match self {
            Self::Fleet => true,
            Self::Workspaces(workspaces) => workspaces.contains(&workspace),
        }
    }
}

/// Parts to which ends are attributed together.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QuarantinedParts {
    /// Parts that were in flight at exactly the same servers, in order. Requests with all of them
    /// are refused; others tell them apart.
    pub parts: Vec<PartKey>,
    /// For whose requests they are quarantined.
    pub scope: Scope,
    /// Number of ends under them.
    pub ends: usize,
    /// Time of the end with which there were enough, in Unix milliseconds.
    pub reached_at_ms: u64,
    /// Time of the last end, in Unix milliseconds.
    pub last_end_ms: u64,
}

impl QuarantinedParts {
    /// Returns whether a request with these suspects has all of the parts and is in the scope.
    #[must_use]
    pub fn concerns(&self, suspects: &[Suspect]) -> bool {
        let mut in_scope = suspects.iter();
        in_scope.any(|suspect| self.scope.contains(suspect.workspace)) && self.are_in(suspects)
    }

    /// Returns whether a request with these suspects has all of the parts, in any scope.
    #[must_use]
    pub fn are_in(&self, suspects: &[Suspect]) -> bool {
        let has = |part: &PartKey| suspects.iter().any(|suspect| suspect.part == *part);
        self.parts.iter().all(has)
    }
}

/// A part under which servers ended, but too few that are not attributed to other parts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SuspectedPart {
    /// Number of ends under it that are not attributed to other parts.
    pub ends: usize,
    /// Time of the last of them, in Unix milliseconds.
    pub last_end_ms: u64,
}

/// Parts to which the ends of servers are attributed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Attribution {
    /// Parts that are quarantined.
    pub quarantined: Vec<QuarantinedParts>,
    /// Other parts under which servers ended.
    pub suspected: IndexMap<PartKey, SuspectedPart>,
}

/// Attributes ends to parts, those with most ends first. Ends that are attributed to one part do
/// not count against the others in flight at the same servers. Nothing is attributed to parts that
/// are sound as far as the caller knows.
#[must_use]
pub fn attribute(evidence: &[Evidence], is_sound: impl Fn(PartKey) -> bool) -> Attribution {
    let end_times = end_times(evidence);
    let last_ends = last_ends(evidence);
    let is_candidate = |part| last_ends[&part].is_repeated && !is_sound(part);
    let mut parts = ends_by_part(evidence, &end_times, is_candidate);
    let mut quarantined = Vec::new();
    let mut explained: IndexSet<ServerStart> = IndexSet::new();
    while let Some(found) = next_quarantined(&parts, &end_times) {
        for part in &found.parts {
            if let Some(ends) = parts.swap_remove(part) {
                explained.extend(ends.servers.keys());
            }
        }
        quarantined.push(found);
        for ends in parts.values_mut() {
            ends.servers.retain(|server, _| !explained.contains(server));
        }
        parts.retain(|_, ends| !ends.servers.is_empty());
    }
    let single = last_ends.iter().filter(|(_, end)| !end.is_repeated);
    let single = single
        .filter(|(_, end)| !explained.contains(&end.server))
        .map(|(part, end)| {
            let last_end_ms = end_times[&end.server];
            (
                *part,
                SuspectedPart {
                    ends: 1,
                    last_end_ms,
                },
            )
        });
    let repeated = parts.iter().map(|(part, ends)| (*part, ends.suspicion()));
    Attribution {
        suspected: single.chain(repeated).collect(),
        quarantined,
    }
}

/// Returns the number of ends under each part with more than one, without attributing them.
#[must_use]
pub fn count_ends(evidence: &[Evidence]) -> IndexMap<PartKey, usize> {
    let last_ends = last_ends(evidence);
    let parts = ends_by_part(evidence, &end_times(evidence), |part| {
        last_ends[&part].is_repeated
    });
    let counts = parts
        .into_iter()
        .map(|(part, ends)| (part, ends.times_ms(None).len()));
    counts.collect()
}

/// The last server in the evidence that ended under a part.
struct LastEnd {
    server: ServerStart,
    /// Whether other servers ended under the part too.
    is_repeated: bool,
}

/// Returns the last end under each part. Most parts are in flight at one end only; telling them
/// from the others first keeps prompts with many parts cheap.
fn last_ends(evidence: &[Evidence]) -> IndexMap<PartKey, LastEnd> {
    let mut last_ends: IndexMap<PartKey, LastEnd> = IndexMap::new();
    for report in evidence {
        for suspect in &report.suspects {
            let last = last_ends.entry(suspect.part).or_insert(LastEnd {
                server: report.server,
                is_repeated: false,
            });
            last.is_repeated |= last.server != report.server;
            last.server = report.server;
        }
    }
    last_ends
}

/// One server's end under a part.
#[derive(Clone, Debug, Default)]
struct PartEnd {
    at_ms: u64,
    /// Share of the requests of the reporting daemons that lost their servers at about this time.
    lost_share: f64,
    workspaces: IndexSet<WorkspaceKey>,
}

/// The ends under one part.
#[derive(Clone, Debug, Default)]
struct PartEnds {
    servers: IndexMap<ServerStart, PartEnd>,
}

impl Evidence {
    /// Returns the share of the daemon's requests that lost their servers lately. The report counts
    /// as one whole answer more, for daemons with few requests.
    fn lost_share(&self) -> f64 {
        let lost = f64::from(self.lost.max(1));
        let share = lost / (lost + f64::from(self.completed) + 1.0);
        share.max(LOST_SHARE_MIN)
    }
}

/// Times of all known ends, in Unix milliseconds.
type EndTimes = IndexMap<ServerStart, u64>;

/// Returns the times of all ends. All reports of one end get the time of the first one.
fn end_times(evidence: &[Evidence]) -> EndTimes {
    let mut end_times = EndTimes::new();
    for report in evidence {
        let at_ms = end_times.entry(report.server).or_insert(report.seen_at_ms);
        *at_ms = report.seen_at_ms.min(*at_ms);
    }
    end_times
}

fn ends_by_part(
    evidence: &[Evidence],
    end_times: &EndTimes,
    is_candidate: impl Fn(PartKey) -> bool,
) -> IndexMap<PartKey, PartEnds> {
    let mut parts: IndexMap<PartKey, PartEnds> = IndexMap::new();
    for report in evidence {
        let candidates = report.suspects.iter();
        for suspect in candidates.filter(|suspect| is_candidate(suspect.part)) {
            let ends = parts.entry(suspect.part).or_default();
            let end = ends.servers.entry(report.server).or_default();
            end.lost_share = end.lost_share.max(report.lost_share());
            end.at_ms = end_times[&report.server];
            end.workspaces.insert(suspect.workspace);
        }
    }
    parts
}

impl PartEnds {
    /// Returns the times of the ends that count, in order. With a workspace, only ends under its
    /// requests count.
    fn times_ms(&self, workspace: Option<WorkspaceKey>) -> Vec<u64> {
        let ends = self.servers.values();
        let mut times: Vec<u64> = ends
            .filter(|end| workspace.is_none_or(|workspace| end.workspaces.contains(&workspace)))
            .map(|end| end.at_ms)
            .collect();
        times.sort_unstable();
        let mut counted: Vec<u64> = Vec::with_capacity(times.len());
        for at_ms in times {
            let gap_end = counted
                .last()
                .map(|last| last + ENDS_GAP.as_millis() as u64);
            if gap_end.is_none_or(|gap_end| at_ms >= gap_end) {
                counted.push(at_ms);
            }
        }
        counted
    }

    fn suspicion(&self) -> SuspectedPart {
        let times = self.times_ms(None);
        SuspectedPart {
            ends: times.len(),
            last_end_ms: times.last().copied().unwrap_or_default(),
        }
    }

    /// Returns the number of ends from which the part is quarantined: so many that a sound part
    /// hardly loses its servers as often in a row. Requests lose their servers more often while many
    /// servers end, whatever the requests contain; but a part that was in flight at nearly all of
    /// these ends is their cause.
    fn ends_needed(&self, end_times: &EndTimes) -> usize {
        if self.explained_share(end_times) >= EXPLAINED_SHARE_MIN {
            return ENDS_TO_QUARANTINE;
        }
        let mut ends: Vec<&PartEnd> = self.servers.values().collect();
        ends.sort_by_key(|end| end.at_ms);
        let chances = ends.iter().scan(1.0, |chance, end| {
            *chance *= end.lost_share;
            Some(*chance)
        });
        let unlikely_after = chances.take_while(|chance| *chance > CHANCE_MAX).count() + 1;
        unlikely_after.clamp(ENDS_TO_QUARANTINE, ENDS_TO_QUARANTINE_MAX)
    }

    /// Returns the share of the servers that ended between the first and the last end under the part
    /// at which it was in flight.
    fn explained_share(&self, end_times: &EndTimes) -> f64 {
        let first_ms = self.servers.values().map(|end| end.at_ms).min();
        let last_ms = self.servers.values().map(|end| end.at_ms).max();
        let time = first_ms.unwrap_or_default()..=last_ms.unwrap_or_default();
        let all = end_times.values().filter(|at_ms| time.contains(at_ms));
        self.servers.len() as f64 / all.count().max(1) as f64
    }

    /// Returns for whom the part is to be quarantined, or `None` if there is too little evidence.
    fn scope(&self, needed: usize) -> Option<Scope> {
        let workspaces: IndexSet<WorkspaceKey> = self
            .servers
            .values()
            .flat_map(|end| &end.workspaces)
            .copied()
            .collect();
        let counts: Vec<(WorkspaceKey, usize)> = workspaces
            .into_iter()
            .map(|workspace| (workspace, self.times_ms(Some(workspace)).len()))
            .collect();
        let per_workspace_max = needed.div_ceil(ENDS_SHARE_OF_WORKSPACE);
        let limited = counts
            .iter()
            .map(|(_, ends)| (*ends).min(per_workspace_max));
        if limited.sum::<usize>() >= needed {
            return Some(Scope::Fleet);
        }
        let own: Vec<WorkspaceKey> = counts
            .iter()
            .filter(|(_, ends)| *ends >= needed)
            .map(|(workspace, _)| *workspace)
            .collect();
        (!own.is_empty()).then_some(Scope::Workspaces(own))
    }

    /// Returns what the part is to be quarantined with, or `None` if there is too little evidence.
    fn verdict(&self, end_times: &EndTimes) -> Option<Verdict> {
        if self.servers.len() < ENDS_TO_QUARANTINE {
            return None;
        }
        let needed = self.ends_needed(end_times);
        let times_ms = self.times_ms(None);
        let reached_at_ms = *times_ms.get(needed - 1)?;
        Some(Verdict {
            scope: self.scope(needed)?,
            reached_at_ms,
            times_ms,
        })
    }

    fn has_same_servers(&self, other: &Self) -> bool {
        let mut servers = self.servers.keys();
        self.servers.len() == other.servers.len()
            && servers.all(|server| other.servers.contains_key(server))
    }
}

/// Sufficient evidence against a part.
struct Verdict {
    scope: Scope,
    /// Time of the end with which there was enough, in Unix milliseconds.
    reached_at_ms: u64,
    times_ms: Vec<u64>,
}

/// Returns the part to which most ends are attributed, together with all parts that were in flight
/// at exactly the same servers. Returns `None` if no part has enough ends.
fn next_quarantined(
    parts: &IndexMap<PartKey, PartEnds>,
    end_times: &EndTimes,
) -> Option<QuarantinedParts> {
    let candidates = parts
        .iter()
        .filter_map(|(part, ends)| Some((part, ends, ends.verdict(end_times)?)));
    let (_, most, verdict) = candidates
        .max_by_key(|(part, _, verdict)| (verdict.times_ms.len(), std::cmp::Reverse(**part)))?;
    let same = parts.iter().filter(|(_, ends)| ends.has_same_servers(most));
    let mut same: Vec<PartKey> = same.map(|(part, _)| *part).collect();
    same.sort_unstable();
    Some(QuarantinedParts {
        parts: same,
        scope: verdict.scope,
        ends: verdict.times_ms.len(),
        reached_at_ms: verdict.reached_at_ms,
        last_end_ms: verdict.times_ms.last().copied()?,
    })
}
