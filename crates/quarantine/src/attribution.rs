//! Attributes the ends of backend servers to prompt parts.

use crate::{PartKey, ServerStart, Suspect, WorkspaceKey};
use indexmap::{IndexMap, IndexSet};
use std::time::Duration;

/// Smallest number of ends under one part, without a whole answer in between, from which it is
/// quarantined.
pub const ENDS_TO_QUARANTINE: usize = 4;
/// The same while so many servers end that most requests lose theirs.
pub const ENDS_TO_QUARANTINE_MAX: usize = 8;
/// Probability with which a sound part may lose as many servers in a row as a quarantine takes.
const CHANCE_MAX: f64 = 0.05;
/// Number of ends from which daemons that know the part to be sound say so.
pub const ENDS_TO_CLEAR: usize = 2;
/// One workspace contributes at most one in this many of the ends of a quarantine for all
/// workspaces, so that no caller blocks a part of the others.
const ENDS_SHARE_OF_WORKSPACE: usize = 2;
/// Ends closer together than this count as one. Servers that lose their power together end under
/// all popular parts at the same moment.
const ENDS_GAP: Duration = Duration::from_millis(100);

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
        let has = |part: &PartKey| {
            let mut suspects = suspects.iter();
            suspects.any(|suspect| suspect.part == *part && self.scope.contains(suspect.workspace))
        };
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
/// not count against the others in flight at the same servers.
#[must_use]
pub fn attribute(evidence: &[Evidence]) -> Attribution {
    let mut parts = ends_by_part(evidence);
    let mut attribution = Attribution::default();
    while let Some(found) = next_quarantined(&parts) {
        let mut explained: IndexSet<ServerStart> = IndexSet::new();
        for part in &found.parts {
            if let Some(ends) = parts.swap_remove(part) {
                explained.extend(ends.servers.keys());
            }
        }
        attribution.quarantined.push(found);
        for ends in parts.values_mut() {
            ends.servers.retain(|server, _| !explained.contains(server));
        }
        parts.retain(|_, ends| !ends.servers.is_empty());
    }
    attribution.suspected = parts
        .into_iter()
        .map(|(part, ends)| (part, ends.suspicion()))
        .collect();
    attribution
}

/// One server's end under a part.
#[derive(Clone, Debug, Default)]
struct PartEnd {
    at_ms: u64,
    workspaces: IndexSet<WorkspaceKey>,
}

/// The ends under one part.
#[derive(Clone, Debug, Default)]
struct PartEnds {
    servers: IndexMap<ServerStart, PartEnd>,
    /// Number of requests that the reporting daemons lost, with and without the part.
    lost: u64,
    /// Number of whole answers that they got.
    completed: u64,
    reports: u64,
}

fn ends_by_part(evidence: &[Evidence]) -> IndexMap<PartKey, PartEnds> {
    // All reports of one end get the time of the first one.
    let mut end_times: IndexMap<ServerStart, u64> = IndexMap::new();
    for report in evidence {
        let at_ms = end_times.entry(report.server).or_insert(report.seen_at_ms);
        *at_ms = report.seen_at_ms.min(*at_ms);
    }
    let mut parts: IndexMap<PartKey, PartEnds> = IndexMap::new();
    for report in evidence {
        let mut counted: IndexSet<PartKey> = IndexSet::new();
        for suspect in &report.suspects {
            let ends = parts.entry(suspect.part).or_default();
            if counted.insert(suspect.part) {
                ends.lost += u64::from(report.lost.max(1));
                ends.completed += u64::from(report.completed);
                ends.reports += 1;
            }
            let end = ends.servers.entry(report.server).or_default();
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
    /// servers end, whatever the requests contain.
    fn ends_needed(&self) -> usize {
        // Each report counts as one whole answer more, for daemons with few requests.
        let outcomes = self.lost + self.completed + self.reports;
        let lost_share = self.lost as f64 / outcomes.max(1) as f64;
        let needed = (CHANCE_MAX.ln() / lost_share.ln()).ceil();
        (needed as usize).clamp(ENDS_TO_QUARANTINE, ENDS_TO_QUARANTINE_MAX)
    }

    /// Returns for whom the part is to be quarantined, or `None` if there is too little evidence.
    fn scope(&self) -> Option<Scope> {
        let needed = self.ends_needed();
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
        let per_workspace_max = needed / ENDS_SHARE_OF_WORKSPACE;
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

    /// Returns whether there is enough evidence for a quarantine, with the times of the ends.
    fn enough_times_ms(&self) -> Option<Vec<u64>> {
        let needed = self.ends_needed();
        if self.servers.len() < needed {
            return None;
        }
        let times = self.times_ms(None);
        (times.len() >= needed && self.scope().is_some()).then_some(times)
    }

    fn has_same_servers(&self, other: &Self) -> bool {
        let mut servers = self.servers.keys();
        self.servers.len() == other.servers.len()
            && servers.all(|server| other.servers.contains_key(server))
    }
}

/// Returns the part to which most ends are attributed, together with all parts that were in flight
/// at exactly the same servers. Returns `None` if no part has enough ends.
fn next_quarantined(parts: &IndexMap<PartKey, PartEnds>) -> Option<QuarantinedParts> {
    let candidates = parts
        .iter()
        .filter_map(|(part, ends)| Some((part, ends, ends.enough_times_ms()?)));
    let (_, most, times) =
        candidates.max_by_key(|(part, _, times)| (times.len(), std::cmp::Reverse(**part)))?;
    let same = parts.iter().filter(|(_, ends)| ends.has_same_servers(most));
    let mut same: Vec<PartKey> = same.map(|(part, _)| *part).collect();
    same.sort_unstable();
    Some(QuarantinedParts {
        parts: same,
        scope: most.scope()?,
        ends: times.len(),
        reached_at_ms: times[most.ends_needed() - 1],
        last_end_ms: times.last().copied()?,
    })
}
