//! Permits for requests to a backend server that takes a limited rate of requests from all daemons
//! together.
//!
//! For each such server one daemon of the fleet issues permits at the server's rate, and the other
//! daemons ask it before each request. Fixed shares of the rate would leave most of it unused in a
//! large fleet, where each daemon's share is less than one request in a minute.
//!
//! Every daemon derives the issuer from the list of members. If the lists differ for a while, two
//! daemons may issue permits for the same server; each then uses only a part of the rate (see
//! [`PermitIssuer`]). A daemon that gets no answer uses its share of the rate until the issuer
//! answers again or the list of members names another one.

mod holder;
mod issuer;
mod message;

pub use holder::{PermitHolder, PermitOutcome, PermitState};
pub use issuer::{Decision, PermitIssuer, Rate};
pub use message::{PermitPurpose, PermitReply, PermitRequest};

use std::hash::{Hash, Hasher};
use std::net::SocketAddr;

/// Returns the daemon that issues the permits for a server, given by a hash that all daemons agree
/// on. By rendezvous hashing, a member that joins or leaves changes the issuer of few servers.
#[must_use]
pub fn issuer_of(server_hash: u64, members: &[SocketAddr]) -> Option<SocketAddr> {
    let rank = |member: &SocketAddr| rank_of(server_hash, member);
    members.iter().copied().max_by_key(rank)
}

/// Returns the members by descending rank in rendezvous hashing for the item with this hash. The
/// first one is responsible for the item, as in [`issuer_of`]; the next ones take its place when it
/// does not reply.
#[must_use]
pub fn members_by_rank(hash: u64, members: &[SocketAddr]) -> Vec<SocketAddr> {
    let mut ranked = members.to_vec();
    ranked.sort_by_key(|member| std::cmp::Reverse(rank_of(hash, member)));
    ranked
}

fn rank_of(hash: u64, member: &SocketAddr) -> u64 {
    let mut hasher = std::hash::DefaultHasher::new();
    hash.hash(&mut hasher);
    member.hash(&mut hasher);
    hasher.finish()
}
