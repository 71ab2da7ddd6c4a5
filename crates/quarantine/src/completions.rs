//! Parts of prompts for which this daemon has received whole answers lately.

use crate::{PartKey, Suspect, WorkspaceKey};
use indexmap::IndexMap;
use std::time::Duration;

/// Time for which a whole answer shows that its parts are sound.
pub const COMPLETION_TIME: Duration = Duration::from_secs(60);
/// Maximum number of parts that are remembered for one workspace, so that a workspace which names
/// many parts pushes out only its own.
const PARTS_PER_WORKSPACE_MAX: usize = 512;
/// Maximum number of workspaces whose parts are remembered.
const WORKSPACES_MAX: usize = 512;

/// Time over which [`AnswerCount`] counts.
const COUNT_TIME: Duration = Duration::from_secs(60);

/// Answers that a daemon reports which has just started, so that its first report does not look as
/// if most requests lost their servers.
const INITIAL_ANSWERS: u32 = 10;

/// Number of whole answers since it was last taken.
#[derive(Clone, Copy, Debug)]
pub struct AnswerCount {
    answers: u32,
    counted_from: Duration,
}

impl Default for AnswerCount {
    fn default() -> Self {
        Self {
            answers: INITIAL_ANSWERS,
            counted_from: Duration::ZERO,
        }
    }
}

impl AnswerCount {
    /// Counts a whole answer.
    pub fn on_answer(&mut self) {
        self.answers = self.answers.saturating_add(1);
    }

    /// Returns the number of answers since the last call. If that was more than a minute ago,
    /// returns as many as came in a minute on average.
    pub fn take(&mut self, now: Duration) -> u32 {
        let elapsed = now.saturating_sub(self.counted_from);
        let answers = f64::from(std::mem::take(&mut self.answers));
        self.counted_from = now;
        let share = COUNT_TIME.as_secs_f64() / elapsed.max(COUNT_TIME).as_secs_f64();
        (answers * share) as u32
    }
}

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

    /// Forgets all answers, as is necessary when new weights may fail on parts that were sound.
    pub fn clear(&mut self) {
        self.workspaces.clear();
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
