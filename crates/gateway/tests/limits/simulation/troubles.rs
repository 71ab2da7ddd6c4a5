//! Troubles that hit the daemons of a simulation.

use super::deployment::index_of;
use super::event::Event;
use super::{LIMITED, Simulation, Trouble};
use anvilgw_gateway::permits::issuer_of;
use anvilgw_gateway::request_limit::RequestRate;
use std::time::Duration;

/// Time after which a stopped daemon is no longer a member.
const MEMBERSHIP_TIME: Duration = Duration::from_secs(4);

impl Simulation {
    /// Returns daemons to disturb, the issuer first.
    fn victims(&mut self, count: usize) -> Vec<usize> {
        let first = self.daemons.iter().position(|daemon| daemon.is_up);
        let issuer = first.and_then(|first| {
            let members = self.daemons[first].fleet.members();
            let issuer = issuer_of(self.hash_of(first), members)?;
            Some(index_of(issuer))
        });
        let others = (0..self.daemons.len()).filter(|index| Some(*index) != issuer);
        let victims = issuer.into_iter().chain(others);
        let victims = victims.filter(|index| self.daemons[*index].is_up);
        victims.take(count).collect()
    }

    pub(super) fn on_trouble(&mut self, trouble: Trouble) {
        let now = self.now;
        match trouble {
            Trouble::Limit(per_s) => self.limit = per_s.and_then(RequestRate::from_per_s),
            Trouble::Cold(time) => {
                for daemon in &mut self.daemons {
                    let key = daemon.servers.key_of(LIMITED).expect("limited server");
                    let server = daemon.servers.get_mut(key).expect("server");
                    server.set_cold_for(time, now);
                }
            }
            Trouble::Freeze(count, time) => {
                for index in self.victims(count) {
                    self.daemons[index].frozen_until = now + time;
                }
            }
            Trouble::Cut(count, time) => {
                for index in self.victims(count) {
                    self.daemons[index].cut_until = now + time;
                    self.outcome.cut_off.push(index);
                }
            }
            Trouble::Kill(count) => {
                for index in self.victims(count) {
                    self.daemons[index].is_up = false;
                }
                self.schedule(now + MEMBERSHIP_TIME, Event::MembersChanged);
            }
            Trouble::Start(count) => {
                for _ in 0..count {
                    self.start_daemon();
                }
                self.schedule(now, Event::MembersChanged);
            }
            Trouble::StoreAway(time) => self.store_away_until = now + time,
        }
    }
}
