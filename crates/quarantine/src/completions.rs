//! Parts of prompts for which this daemon has received whole answers lately.

use crate::{PartKey, Suspect, WorkspaceKey};
use indexmap::IndexMap;
use std::time::Duration;

/// Time for which a whole answer shows that its parts are sound.
pub const COMPLETION_TIME: Duration = Duration::from_secs(10);
/// Maximum number of parts that are remembered for one workspace, so that a workspace which names
/// many parts pushes out only its own.
const PARTS_PER_WORKSPACE_MAX: usize = 512;
/// Maximum number of workspaces whose parts are remembered.
const WORKSPACES_MAX: usize = 512;

/// Times of the last whole answers, by workspace and part.
#[derive(Clone, Debug, Default)]
pub struct Completions {
    workspaces: IndexMap<WorkspaceKey, IndexMap<PartKey, Duration>>,
}

impl Completions {
    /// Records that a request with this part got a whole answer.
    pub fn on_completed(&mut self, suspect: Suspect, now: Duration) {
        if !self.workspaces.contains_key(&suspect.workspace) {
            self.make_room(now);
        }
        let parts = self.workspaces.entry(suspect.workspace).or_default();
        // The most recently used part moves to the end.
        parts.shift_remove(&suspect.part);
        parts.insert(suspect.part, now);
        if parts.len() > PARTS_PER_WORKSPACE_MAX {
            parts.shift_remove_index(0);
        }
    }

    fn make_room(&mut self, now: Duration) {
        if self.workspaces.len() < WORKSPACES_MAX {
            return;
        }
        self.workspaces.retain(|_, parts| {
            let last = parts.last().map(|(_, at)| *at);
            last.is_some_and(|at| is_recent(at, now))
        });
        if self.workspaces.len() >= WORKSPACES_MAX {
            self.workspaces.shift_remove_index(0);
        }
    }

    /// Returns whether a request with this part got a whole answer within [`COMPLETION_TIME`].
    #[must_use]
    pub fn has_recent(&self, part: PartKey, now: Duration) -> bool {
        let mut times = self
            .workspaces
            .values()
            .filter_map(|parts| parts.get(&part));
        times.any(|at| is_recent(*at, now))
    }
}

fn is_recent(at: Duration, now: Duration) -> bool {
    now.saturating_sub(at) < COMPLETION_TIME
}
