//! Exhaustive search of a model.

use indexmap::IndexSet;
use pathfinding::directed::bfs::bfs_reach;
use std::fmt;
use std::hash::Hash;

/// A state that one step leads to.
pub struct Successor<M: Model> {
    /// The step.
    pub step: M::Step,
    /// The state after it.
    pub state: M::State,
    /// Whether the step is a fault. Progress has to be possible without further faults.
    pub is_fault: bool,
}

/// A state machine to explore.
pub trait Model {
    /// State of the whole world.
    type State: Clone + Eq + Hash;
    /// What leads from one state to another.
    type Step: Copy + fmt::Display;

    /// The first state.
    fn start(&self) -> Self::State;
    /// All states that one step leads to.
    fn successors(&self, state: &Self::State) -> Vec<Successor<Self>>
    where
        Self: Sized;
    /// The invariant that the state violates, if any.
    fn violation(&self, state: &Self::State) -> Option<String>;
    /// Whether nothing is left open. From every state such a state has to be reachable without
    /// further faults.
    fn is_settled(&self, state: &Self::State) -> bool;
}

/// Steps from the first state to a violation. No shorter one exists.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Trace {
    /// The violated invariant.
    pub violation: String,
    /// The steps.
    pub steps: Vec<String>,
}

impl fmt::Display for Trace {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (number, step) in self.steps.iter().enumerate() {
            writeln!(f, "{:3}. {step}", number + 1)?;
        }
        write!(f, "     violates: {}", self.violation)
    }
}

/// Result of a search.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SearchOutcome {
    /// Number of different states that were reached.
    pub states: usize,
    /// Longest shortest path to a state.
    pub depth: usize,
    /// Whether every reachable state was explored. False after a violation and when the model has
    /// more states than allowed.
    pub is_complete: bool,
    /// The first violation, if any.
    pub violation: Option<Trace>,
}

struct Origin<S> {
    parent: u32,
    step: S,
    depth: u32,
}

struct Explored<'m, M: Model> {
    model: &'m M,
    states: IndexSet<M::State>,
    origins: Vec<Option<Origin<M::Step>>>,
    /// Steps without a fault, as pairs of state numbers (to, from).
    progress: Vec<(u32, u32)>,
    violation: Option<(u32, String)>,
    max_states: usize,
    is_cut: bool,
}

impl<M: Model> Explored<'_, M> {
    fn add(&mut self, state: M::State, origin: Option<Origin<M::Step>>) -> Option<u32> {
        if let Some(number) = self.states.get_index_of(&state) {
            return Some(number as u32);
        }
        if self.states.len() >= self.max_states {
            self.is_cut = true;
            return None;
        }
        let violation = self.model.violation(&state);
        let number = self.states.insert_full(state).0 as u32;
        self.origins.push(origin);
        if self.violation.is_none() {
            self.violation = violation.map(|violation| (number, violation));
        }
        Some(number)
    }

    fn expand(&mut self, from: u32) -> Vec<u32> {
        // A violation ends the search: states are added in breadth-first order, so it is a nearest one.
        if self.violation.is_some() {
            return Vec::new();
        }
        let depth = self.depth_of(from) + 1;
        let successors = self.model.successors(&self.states[from as usize]);
        let mut numbers = Vec::with_capacity(successors.len());
        for successor in successors {
            let origin = Origin {
                parent: from,
                step: successor.step,
                depth,
            };
            let Some(to) = self.add(successor.state, Some(origin)) else {
                continue;
            };
            if !successor.is_fault {
                self.progress.push((to, from));
            }
            numbers.push(to);
        }
        numbers
    }

    fn depth_of(&self, number: u32) -> u32 {
        self.origins[number as usize]
            .as_ref()
            .map_or(0, |origin| origin.depth)
    }

    /// The first state from which no settled state can be reached without further faults.
    fn stuck(&mut self) -> Option<u32> {
        self.progress.sort_unstable();
        let count = self.states.len() as u32;
        let settled: Vec<_> = (0..count)
            .filter(|number| self.model.is_settled(&self.states[*number as usize]))
            .collect();
        let mut can_settle = vec![false; count as usize];
        // The number after the last state stands for all settled states together.
        for number in bfs_reach(count, |&to| {
            if to == count {
                settled.clone()
            } else {
                self.sources_of(to)
            }
        }) {
            if number < count {
                can_settle[number as usize] = true;
            }
        }
        can_settle
            .iter()
            .position(|can_settle| !can_settle)
            .map(|position| position as u32)
    }

    fn sources_of(&self, to: u32) -> Vec<u32> {
        let begin = self.progress.partition_point(|edge| edge.0 < to);
        self.progress[begin..]
            .iter()
            .take_while(|edge| edge.0 == to)
            .map(|edge| edge.1)
            .collect()
    }

    fn trace(&self, to: u32, violation: String) -> Trace {
        let mut steps = Vec::new();
        let mut number = to;
        while let Some(origin) = &self.origins[number as usize] {
            steps.push(origin.step.to_string());
            number = origin.parent;
        }
        steps.reverse();
        Trace { violation, steps }
    }
}

/// Explores a model breadth first, up to `max_states` states.
#[must_use]
pub fn explore<M: Model>(model: &M, max_states: usize) -> SearchOutcome {
    let mut explored = Explored {
        model,
        states: IndexSet::new(),
        origins: Vec::new(),
        progress: Vec::new(),
        violation: None,
        max_states,
        is_cut: false,
    };
    let first = explored.add(model.start(), None);
    if let Some(start) = first {
        bfs_reach(start, |&number| explored.expand(number)).for_each(drop);
    }
    if explored.violation.is_none() && !explored.is_cut {
        explored.violation = explored
            .stuck()
            .map(|number| (number, "no fault-free way to an end".to_owned()));
    }
    let depth = explored.origins.iter().flatten().map(|origin| origin.depth);
    SearchOutcome {
        states: explored.states.len(),
        depth: depth.max().unwrap_or(0) as usize,
        is_complete: explored.violation.is_none() && !explored.is_cut,
        violation: explored
            .violation
            .take()
            .map(|(number, violation)| explored.trace(number, violation)),
    }
}
