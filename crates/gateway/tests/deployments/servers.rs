//! Selection of servers, switches of their weights, and the retries that reach them.

use crate::deployment::{DEPLOYMENTS, Deployment, MODEL, NOW, prompt};
use anvilgw_gateway::budget::{RetryBound, RetryBudget};
use anvilgw_gateway::weights::{
    CacheSharing, FETCH_TIME_MAX, OrderTracker, PublishedWeights, WeightPublication, cache_scope,
    is_retired, may_read_part, next_orders, outdated_servers,
};
use indexmap::IndexMap;
use std::time::Duration;

/// Guards against requests that find no server although one could serve them.
#[test]
fn a_request_finds_a_server() {
    for deployment in DEPLOYMENTS {
        let (mut servers, caches) = (deployment.servers(), deployment.caches());
        let plain = deployment.place(&mut servers, &caches, None);
        assert!(plain.is_some(), "{}", deployment.name);
        if deployment.has_engines {
            let generation = deployment.place(&mut servers, &caches, Some(&prompt(1)));
            assert!(generation.is_some(), "{}", deployment.name);
        }
    }
}

/// Guards against repeated prompts that go to different engines, and against a few engines that
/// get all prompts.
#[test]
fn returning_prompts_go_to_one_engine_and_all_engines_get_some() {
    /// With more servers the test would take too long in a debug build.
    const SERVERS_MAX: u16 = 20;
    let is_small = |one: &&Deployment| one.has_engines && one.servers <= SERVERS_MAX;
    for deployment in DEPLOYMENTS.iter().filter(is_small) {
        let (mut servers, caches) = (deployment.servers(), deployment.caches());
        let mut used = IndexMap::new();
        for session in 0..u64::from(deployment.servers) * 40 {
            let prompt = prompt(session.wrapping_mul(0x9e37_79b9_7f4a_7c15));
            let first = deployment.place(&mut servers, &caches, Some(&prompt));
            let again = deployment.place(&mut servers, &caches, Some(&prompt));
            let first = first.expect("a server").server;
            assert_eq!(again.expect("a server").server, first);
            *used.entry(first).or_insert(0) += 1;
        }
        assert_eq!(used.len(), usize::from(deployment.servers));
        let most = used.values().copied().max().unwrap_or(0);
        assert!(most <= 100, "{}: {most} of 40 expected", deployment.name);
    }
}

/// Guards against a switch of weights that stalls, or that orders too many servers at once.
#[test]
fn all_servers_get_the_newest_weights() {
    for deployment in DEPLOYMENTS.iter().filter(|one| one.has_engines) {
        let mut servers = deployment.servers();
        let switch_time = deployment.old_part_times().weight_switch;
        let publication = WeightPublication {
            version: 2,
            published_after: None,
            learned_at: NOW,
        };
        let published = IndexMap::from([(MODEL.to_owned(), PublishedWeights::new(publication))]);
        let most = (usize::from(deployment.servers) / 5).max(1);
        for _ in 0..=deployment.servers {
            let old = outdated_servers(&servers, published.iter(), switch_time);
            let orders = next_orders(&servers, &old, &OrderTracker::default(), NOW);
            assert!(orders.len() <= most, "{}", deployment.name);
            for order in orders {
                let server = servers.get_mut(order.server).expect("known");
                server.on_weights_loaded(MODEL, order.version);
            }
        }
        assert!(outdated_servers(&servers, published.iter(), switch_time).is_empty());
    }
}

/// Guards against parts that are freed while they are read, whatever the operators' bounds.
#[test]
fn parts_are_freed_after_their_last_read() {
    for deployment in DEPLOYMENTS {
        let times = deployment.old_part_times();
        let publication = WeightPublication {
            version: 2,
            published_after: Some(NOW),
            learned_at: NOW,
        };
        let published = IndexMap::from([(MODEL.to_owned(), PublishedWeights::new(publication))]);
        let scope = cache_scope(MODEL, Some(1), CacheSharing::ALL);
        for id_hash in [0, u64::MAX / 2, u64::MAX] {
            let clock = (0..200_000).map(|ms| NOW + Duration::from_millis(ms));
            let last_read = clock
                .clone()
                .take_while(|now| may_read_part(&published[MODEL], 1, id_hash, times, *now))
                .last()
                .unwrap_or(NOW);
            let last_read = last_read.max(NOW + times.configuration_age_max);
            let freed_at = clock
                .clone()
                .find(|now| is_retired(&scope, id_hash, &published, times, *now))
                .expect("freed in the end");
            assert!(last_read + FETCH_TIME_MAX < freed_at, "{}", deployment.name);
        }
    }
}

/// Guards against retries that stay within the bound at each daemon but exceed it in the whole
/// fleet.
#[test]
fn retries_of_the_fleet_stay_within_the_bound() {
    for deployment in DEPLOYMENTS {
        let bound = RetryBound {
            ratio: 0.2,
            slack: 100.0,
            window: deployment.bound(Duration::from_secs(10)),
        };
        let share = 1.0 / f64::from(deployment.daemons);
        let mut budgets = vec![RetryBudget::new(bound, NOW); deployment.daemons as usize];
        let mut taken = 0;
        for step in 0..100 {
            let now = NOW + bound.window.mul_f64(f64::from(step) / 100.0);
            for budget in &mut budgets {
                taken += u32::from(budget.take(share, now));
            }
        }
        assert!(f64::from(taken) <= bound.slack, "{}", deployment.name);
    }
}
