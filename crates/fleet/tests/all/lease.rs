//! Tests of leases: concurrent challengers, lost answers, paused holders and outages of the log.

use crate::driver::{daemon_id, ms, secs};
use anvilgw_core::Offset;
use anvilgw_fleet::{
    Duty, FoldError, LeaseAction, LeaseCandidate, LeaseFold, LeaseRecord, LeaseStatus, LeaseTimes,
    LeaseVerdict, RecordId,
};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::time::Duration;

fn record(id: u128, holder: u32, replaces: Option<u64>) -> LeaseRecord {
    LeaseRecord {
        id: RecordId(id),
        duty: Duty::Orders,
        holder: daemon_id(holder),
        replaces: replaces.map(Offset),
        duration_ms: 6_000,
    }
}

/// Guards against two leases that replace the same one, and against a lease that blocks a duty for
/// too long.
#[test]
fn the_first_record_that_replaces_the_current_lease_wins() {
    let mut fold = LeaseFold::new();
    let accepted = LeaseVerdict::Accepted(Duty::Orders);
    let lost = LeaseVerdict::Lost(Duty::Orders);
    let too_long = LeaseRecord {
        duration_ms: 600_000,
        ..record(6, 3, Some(3))
    };
    let steps = [
        (record(1, 1, None), accepted),
        (record(2, 2, None), lost),
        (record(1, 1, None), lost),
        (record(3, 2, Some(0)), accepted),
        (record(4, 3, Some(0)), lost),
        (record(5, 3, Some(99)), lost),
        (too_long, lost),
    ];
    for (at, (record, verdict)) in steps.iter().enumerate() {
        assert_eq!(
            fold.apply(Offset(at as u64), &record.encode()),
            Ok(*verdict),
            "step {at}"
        );
    }
    assert_eq!(fold.current(Duty::Orders).unwrap().token, Offset(3));
    assert_eq!(fold.current(Duty::Epoch), None);
    let gap = fold.apply(Offset(8), &record(7, 1, Some(3)).encode());
    assert_eq!(gap, Err(FoldError::Gap(Offset(7), Offset(8))));
    assert_eq!(
        fold.apply(Offset(7), b"noise"),
        Ok(LeaseVerdict::Undecodable)
    );
}

/// Guards against two holders after an outage that is longer than the retention of the log: a
/// daemon that remembers a trimmed lease and one that starts without history must accept the same
/// record.
#[test]
fn folds_agree_after_all_records_were_trimmed() {
    let mut running = LeaseFold::new();
    for (offset, replaces) in [(0, None), (1, Some(0)), (2, Some(1))] {
        let record = record(offset.into(), 1, replaces);
        let verdict = running.apply(Offset(offset), &record.encode());
        assert_eq!(verdict, Ok(LeaseVerdict::Accepted(Duty::Orders)));
    }
    let mut started = LeaseFold::new();
    let after_trim = [record(10, 7, None), record(11, 1, Some(2))];
    for fold in [&mut running, &mut started] {
        fold.retain_from(Offset(3));
        for (offset, record) in (3..).zip(&after_trim) {
            fold.apply(Offset(offset), &record.encode()).unwrap();
        }
    }
    let holder = |fold: &LeaseFold| fold.current(Duty::Orders).map(|lease| lease.holder);
    assert_eq!(holder(&running), Some(daemon_id(7)));
    assert_eq!(holder(&running), holder(&started));
}

struct Candidate {
    state: LeaseCandidate,
    fold: LeaseFold,
    rng: StdRng,
    paused_until: Duration,
}

/// Log and candidates of one duty under a manual clock.
struct Simulation {
    now: Duration,
    log: Vec<Vec<u8>>,
    log_up: bool,
    /// Whether the first candidate's appends take effect without an answer and its reads fail.
    lose_answers: bool,
    candidates: Vec<Candidate>,
    last_token: Option<Offset>,
}

impl Simulation {
    fn new(count: u32) -> Self {
        let candidate = |index| Candidate {
            state: LeaseCandidate::new(
                daemon_id(index),
                Duty::Orders,
                LeaseTimes::default(),
                ms(0),
            ),
            fold: LeaseFold::new(),
            rng: StdRng::seed_from_u64(index.into()),
            paused_until: ms(0),
        };
        Self {
            now: ms(0),
            log: Vec::new(),
            log_up: true,
            lose_answers: false,
            candidates: (0..count).map(candidate).collect(),
            last_token: None,
        }
    }

    fn holders(&self) -> Vec<(usize, Offset)> {
        let tokens = self.candidates.iter().map(|c| c.state.token(self.now));
        tokens
            .enumerate()
            .filter_map(|(at, token)| Some((at, token?)))
            .collect()
    }

    /// Runs the simulation for the given time. Checks after each step that at most one candidate,
    /// paused ones included, holds the lease and that fencing tokens never decrease.
    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += ms(50);
            for (rank, candidate) in self.candidates.iter_mut().enumerate() {
                if candidate.paused_until > self.now {
                    continue;
                }
                let read = self.log_up && !(self.lose_answers && rank == 0);
                if read {
                    let next = candidate.fold.next_offset().map_or(0, |offset| offset.0);
                    for at in next..self.log.len() as u64 {
                        candidate
                            .fold
                            .apply(Offset(at), &self.log[at as usize])
                            .unwrap();
                    }
                    candidate.state.on_log_read(self.now, &candidate.fold);
                }
                let rank = Some(rank as u32);
                let action = candidate
                    .state
                    .tick(self.now, rank, true, &mut candidate.rng);
                if let Some(LeaseAction::Append(record)) = action
                    && self.log_up
                {
                    self.log.push(record.encode());
                }
            }
            let holders = self.holders();
            assert!(
                holders.len() <= 1,
                "two holders at {:?}: {holders:?}",
                self.now
            );
            if let Some(&(_, token)) = holders.first() {
                assert!(Some(token) >= self.last_token, "token went back");
                self.last_token = Some(token);
            }
        }
    }
}

/// Guards against several holders at the start, and against a holder that loses the lease when it
/// renews it.
#[test]
fn one_candidate_holds_and_renews_the_lease() {
    let mut simulation = Simulation::new(5);
    simulation.run(secs(3));
    assert_eq!(simulation.holders()[0].0, 0);
    simulation.run(secs(60));
    assert_eq!(simulation.holders()[0].0, 0);
    assert!(
        simulation.log.len() < 40,
        "{} appends",
        simulation.log.len()
    );
}

/// Guards against a paused holder that acts after another daemon has acquired the lease.
#[test]
fn a_paused_holder_is_replaced_and_stops() {
    let mut simulation = Simulation::new(3);
    simulation.run(secs(5));
    simulation.candidates[0].paused_until = simulation.now + secs(30);
    simulation.run(secs(10));
    assert_eq!(simulation.holders()[0].0, 1);
    simulation.run(secs(30));
    assert_eq!(simulation.holders()[0].0, 1);
}

/// Guards against a holder that counts the duration of its lease from the time at which it learned
/// of it.
#[test]
fn a_lost_append_answer_shortens_the_lease_and_is_harmless() {
    let mut simulation = Simulation::new(1);
    simulation.lose_answers = true;
    simulation.run(secs(4));
    assert!(simulation.holders().is_empty());
    assert!(simulation.log.len() > 1, "appended again");
    simulation.lose_answers = false;
    simulation.run(ms(50));
    assert_eq!(simulation.holders(), [(0, Offset(0))]);
    let token = |at| simulation.candidates[0].state.token(at);
    assert_eq!(
        token(ms(5_040)),
        Some(Offset(0)),
        "5 s after the first append"
    );
    assert_eq!(token(ms(5_060)), None);
    simulation.run(secs(3));
    assert_eq!(simulation.holders().len(), 1);
}

/// Guards against a holder that continues during an outage of the log, and against a status that
/// shows the duty as held or vacant while no daemon can hold it.
#[test]
fn an_outage_of_the_log_ends_the_lease_and_shows_in_the_status() {
    let mut simulation = Simulation::new(3);
    simulation.run(secs(5));
    simulation.log_up = false;
    let since = simulation.now;
    simulation.run(secs(8));
    assert!(simulation.holders().is_empty());
    for candidate in &simulation.candidates {
        assert_eq!(
            candidate.state.status(simulation.now),
            LeaseStatus::CannotBeHeld { since }
        );
    }
    simulation.log_up = true;
    simulation.run(secs(10));
    assert_eq!(simulation.holders().len(), 1);
}

/// Guards against a lease that is used after its release or after the clock stopped.
#[test]
fn a_release_or_a_stopped_clock_ends_the_lease_at_once() {
    let mut simulation = Simulation::new(2);
    simulation.run(secs(5));
    let now = simulation.now;
    let mut stopped = simulation.candidates[0].state.clone();
    stopped.on_clock_stopped(now);
    assert_eq!(stopped.token(now), None);
    let candidate = &mut simulation.candidates[0];
    let action = candidate.state.release(now, &mut candidate.rng);
    assert_eq!(candidate.state.token(now), None);
    let Some(LeaseAction::Append(record)) = action else {
        panic!("no record that gives up the lease");
    };
    simulation.log.push(record.encode());
    simulation.run(ms(500));
    assert_eq!(
        simulation.holders()[0].0,
        1,
        "taken over without waiting for the expiry"
    );
}

#[derive(Clone, Copy, Debug)]
enum Disturbance {
    Pause(u8, u8),
    Log(bool),
    LoseAnswers(bool),
    Wait(u8),
}

impl Arbitrary for Disturbance {
    fn arbitrary(g: &mut Gen) -> Self {
        match u8::arbitrary(g) % 5 {
            0 => Self::Pause(u8::arbitrary(g), u8::arbitrary(g)),
            1 => Self::Log(bool::arbitrary(g)),
            2 => Self::LoseAnswers(bool::arbitrary(g)),
            _ => Self::Wait(u8::arbitrary(g)),
        }
    }
}

/// Guards against two holders at the same time under any order of pauses, outages and lost answers.
#[test]
fn there_is_never_a_second_holder() {
    fn check(disturbances: Vec<Disturbance>) -> bool {
        let mut simulation = Simulation::new(4);
        for disturbance in disturbances {
            match disturbance {
                Disturbance::Pause(which, tenths) => {
                    let until = simulation.now + ms(u64::from(tenths) * 100);
                    simulation.candidates[usize::from(which) % 4].paused_until = until;
                }
                Disturbance::Log(up) => simulation.log_up = up,
                Disturbance::LoseAnswers(lose) => simulation.lose_answers = lose,
                Disturbance::Wait(tenths) => simulation.run(ms(u64::from(tenths) * 40)),
            }
        }
        true
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 1))
        .tests(150)
        .quickcheck(check as fn(Vec<Disturbance>) -> bool);
}
