//! Exhaustive breadth-first search of a model's states.

use indexmap::IndexSet;
use pathfinding::directed::bfs::bfs_reach;
use std::fmt;
use std::hash::Hash;

/// A state that is reached from another one by a single step.
pub struct Successor<M: Model> {
    /// Step that leads to the state.
    pub step: M::Step,
    /// State after the step.
    pub state: M::State,
    /// Whether the step is a fault. From every state a settled state has to be reachable without
    /// further faults.
    pub is_fault: bool,
}

/// A state machine that [`explore`] searches.
pub trait Model {
    /// State of the whole modelled system: daemons, network, log service and clocks.
    type State: Clone + Eq + Hash;
    /// Transition between two states. Traces show its `Display` output.
    type Step: Copy + fmt::Display;

    /// Returns the state in which the search starts.
    fn initial_state(&self) -> Self::State;
    /// Returns one successor for each step that is enabled in the state.
    fn successors(&self, state: &Self::State) -> Vec<Successor<Self>>
    where
        Self: Sized;
    /// Returns a description of the invariant that the state violates, or `None` if all hold.
    fn violation(&self, state: &Self::State) -> Option<String>;
    /// Returns whether the protocol has nothing left to do in the state. [`explore`] reports a
    /// violation if a state has no path without faults to a settled state.
    fn is_settled(&self, state: &Self::State) -> bool;
}

/// Steps from the initial state to a violation. No shorter sequence of steps leads to one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Trace {
    /// Description of the violated invariant.
    pub violation: String,
    /// Steps in the order in which they are taken, as text.
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

/// Result of [`explore`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SearchOutcome {
    /// Number of distinct states that were reached.
    pub states: usize,
    /// Number of steps from the initial state to the farthest state that was reached.
    pub depth: usize,
    /// Whether every reachable state was explored. False after a violation and if the model has
    /// more states than `max_states`.
    pub is_complete: bool,
    /// The violation that was found first, if any.
    pub violation: Option<Trace>,
}

struct Origin<S> {
    parent: u32,
    step: S,
    depth: u32,
}

struct Search<'m, M: Model> {
    model: &'m M,
    states: IndexSet<M::State>,
    origins: Vec<Option<Origin<M::Step>>>,
    /// Steps that are no faults, as pairs of state numbers (to, from).
    fault_free_edges: Vec<(u32, u32)>,
    violation: Option<(u32, String)>,
    max_states: usize,
    is_truncated: bool,
}

impl<M: Model> Search<'_, M> {
    fn add(&mut self, state: M::State, origin: Option<Origin<M::Step>>) -> Option<u32> {
        if let Some(number) = self.states.get_index_of(&state) {
            return Some(number as u32);
        }
        if self.states.len() >= self.max_states {
            self.is_truncated = true;
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
        // The first violation ends the search. States are added in breadth-first order, so no other
        // violation has a shorter trace.
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
                self.fault_free_edges.push((to, from));
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

    /// Returns the first state from which no settled state can be reached without further faults.
    fn first_stuck_state(&mut self) -> Option<u32> {
        self.fault_free_edges.sort_unstable();
        let count = self.states.len() as u32;
        let settled: Vec<_> = (0..count)
            .filter(|number| self.model.is_settled(&self.states[*number as usize]))
            .collect();
        let mut can_settle = vec![false; count as usize];
        // A virtual state, numbered after the last one, precedes all settled states in this search.
        for number in bfs_reach(count, |&to| {
            if to == count {
                settled.clone()
            } else {
                self.fault_free_predecessors(to)
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

    fn fault_free_predecessors(&self, to: u32) -> Vec<u32> {
        let begin = self.fault_free_edges.partition_point(|edge| edge.0 < to);
        self.fault_free_edges[begin..]
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

/// Explores the states of a model breadth first. Adds no more than `max_states` states.
/// Checks that every state can settle only if no violation was found and no state was left out.
#[must_use]
pub fn explore<M: Model>(model: &M, max_states: usize) -> SearchOutcome {
    let mut search = Search {
        model,
        states: IndexSet::new(),
        origins: Vec::new(),
        fault_free_edges: Vec::new(),
        violation: None,
        max_states,
        is_truncated: false,
    };
    let first = search.add(model.initial_state(), None);
    if let Some(start) = first {
        bfs_reach(start, |&number| search.expand(number)).for_each(drop);
    }
    if search.violation.is_none() && !search.is_truncated {
        search.violation = search.first_stuck_state().map(|number| {
            (
                number,
                "no settled state can be reached without further faults".to_owned(),
            )
        });
    }
    let depth = search.origins.iter().flatten().map(|origin| origin.depth);
    SearchOutcome {
        states: search.states.len(),
        depth: depth.max().unwrap_or(0) as usize,
        is_complete: search.violation.is_none() && !search.is_truncated,
        violation: search
            .violation
            .take()
            .map(|(number, violation)| search.trace(number, violation)),
    }
}
