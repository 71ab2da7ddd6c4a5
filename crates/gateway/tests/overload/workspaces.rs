//! Shares of workspaces while a service is busy.

use crate::engines::at;
use anvilgw_gateway::workspace_shares::{ClaimKey, WorkspaceShares};
use indexmap::IndexMap;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

const WORKSPACES: usize = 8;

fn key(workspace: usize) -> ClaimKey {
    ClaimKey::of("engines", &format!("workspace {workspace}"))
}

fn known_workspaces() -> WorkspaceShares {
    let mut shares = WorkspaceShares::default();
    shares.set_workspaces(1, (0..WORKSPACES).map(key));
    shares
}

#[derive(Clone, Copy, Default)]
struct Count {
    sent: f64,
    admitted: f64,
}

impl Count {
    fn share(&self) -> f64 {
        self.admitted / self.sent
    }
}

/// Results of a run, by workspace, and of small and large prompts of the other workspaces.
struct Outcome {
    by_workspace: [Count; WORKSPACES],
    by_size: [Count; 2],
}

/// Sends requests of all workspaces to random daemons for 30 s, while six tenths of all claims are
/// rejected. The first workspace sends `heavy` times as many requests as each other one. Daemons
/// know the claims at the others as of 0 to 2 s ago.
fn run(seed: u64, daemons: usize, heavy: f64) -> Outcome {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut shares = vec![known_workspaces(); daemons];
    let mut reported: IndexMap<ClaimKey, f64> = IndexMap::new();
    let mut own_reported: Vec<IndexMap<ClaimKey, f64>> = vec![IndexMap::new(); daemons];
    let mut outcome = Outcome {
        by_workspace: [Count::default(); WORKSPACES],
        by_size: [Count::default(); 2],
    };
    for step in 0..6_000_u32 {
        let now = at(f64::from(step) * 5.0);
        if step % 400 == 0 {
            reported.clear();
            for (daemon, own) in shares.iter().zip(&mut own_reported) {
                *own = daemon.claims(now).collect();
                for (key, tokens) in own {
                    *reported.entry(*key).or_default() += *tokens;
                }
            }
        }
        let draw = rng.random::<f64>() * (heavy + WORKSPACES as f64 - 1.0) - heavy;
        let workspace = if draw < 0.0 { 0 } else { draw as usize + 1 };
        let is_large = rng.random_bool(0.3);
        let tokens = if is_large { 8_000 } else { 800 };
        let index = rng.random_range(0..daemons);
        let others = |key: ClaimKey| {
            let sum = reported.get(&key).copied().unwrap_or(0.0);
            let own = own_reported[index].get(&key).copied().unwrap_or(0.0);
            (sum - own).max(0.0) as u64
        };
        let share = shares[index].rejected_share(key(workspace), 0.6, others, now);
        let is_admitted = rng.random::<f64>() >= share;
        shares[index].on_request(key(workspace), tokens, now);
        let mut counts = vec![&mut outcome.by_workspace[workspace]];
        if workspace > 0 {
            counts.push(&mut outcome.by_size[usize::from(is_large)]);
        }
        for count in counts {
            count.sent += 1.0;
            count.admitted += f64::from(u8::from(is_admitted));
        }
    }
    outcome
}

/// Load: one workspace sends ten times as much as each of seven others, over 1, 12 and 410 daemons
/// whose reports are up to 2 s old. Guards against a workspace that displaces the others, against
/// one that is hardly served, and against large prompts that are rejected more often.
#[test]
fn heavy_workspace_does_not_displace_the_others() {
    for daemons in [1, 12, 410] {
        for seed in 0..5 {
            let outcome = run(seed, daemons, 10.0);
            let label = format!("{daemons} daemons, seed {seed}");
            let shares = outcome.by_workspace.map(|count| count.share());
            let mean = shares.iter().sum::<f64>() / WORKSPACES as f64;
            for share in shares {
                assert!(share > mean / 4.0, "{label}: {shares:?}");
            }
            assert!(
                shares[1..].iter().all(|share| *share > shares[0]),
                "{label}: {shares:?}"
            );
            let [small, large] = outcome.by_size.map(|count| count.share());
            assert!(
                (large / small - 1.0).abs() < 0.15,
                "{label}: {small} {large}"
            );
        }
    }
}

/// Load: workspaces that send alike. Guards against workspaces that are served unevenly, and against
/// fleets whose daemons each see few requests and admit more than the service can serve.
#[test]
fn even_workspaces_are_served_alike() {
    for daemons in [1, 12, 410] {
        let outcome = run(3, daemons, 1.0);
        let shares = outcome.by_workspace.map(|count| count.share());
        let mean = shares.iter().sum::<f64>() / WORKSPACES as f64;
        let is_even = |share: &f64| (share / mean - 1.0).abs() < 0.25;
        assert!(shares.iter().all(is_even), "{daemons} daemons: {shares:?}");
        assert!((0.35..0.5).contains(&mean), "{daemons} daemons: {mean}");
    }
}

/// Guards against rejections by shares while nothing has to be rejected, and against admissions
/// while everything has to be.
#[test]
fn shares_do_not_matter_without_a_choice() {
    let mut shares = known_workspaces();
    shares.on_request(key(1), 100_000, at(0.0));
    shares.on_request(key(2), 1_000, at(0.0));
    for rejected in [0.0, 1.0] {
        for workspace in 1..4 {
            let share = shares.rejected_share(key(workspace), rejected, |_| 0, at(1.0));
            assert!((share - rejected).abs() < 1e-9, "{workspace}: {share}");
        }
    }
    shares.set_workspaces(2, [key(1)].into_iter());
    assert_eq!(shares.claims(at(1.0)).count(), 1);
    assert_eq!(shares.claims(at(600_000.0)).count(), 0);
}
