//! Groups of daemons that share the work of learning what the others need to know.
//!
//! The daemons of a failure domain form groups. The leader of a group reads the metadata store for it,
//! since calls to the store are limited and charged.
//!
//! Load reports go from each daemon to every other one in a small fleet. In a large one that costs
//! every daemon messages in proportion to the fleet, so each daemon reports to its leader, the leaders
//! exchange the sums of their groups, and each leader passes the sum of the fleet on to its group. Only
//! the sums of groups cross failure domains.
//!
//! Every daemon derives the groups from the list of members alone. Views that differ for a while, or
//! a leader that is gone, cost balance and calls only.

use crate::holder::name_hash;
use indexmap::IndexMap;
use std::net::SocketAddr;

/// Largest fleet in which every daemon reports to every other one.
const MESH_MEMBERS_MAX: usize = 32;
/// Daemons of a group. Near the square root of some hundred daemons, where a leader has about as many
/// members as fellow leaders.
const GROUP_MEMBERS: usize = 12;

/// A daemon of the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Member {
    /// Address for the other daemons.
    pub address: SocketAddr,
    /// Failure domain.
    pub failure_domain: String,
}

/// What a daemon does in the exchange of load reports.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Role {
    /// It reports to every other daemon.
    Mesh {
        /// All other daemons.
        peers: Vec<SocketAddr>,
    },
    /// It reports to the leader of its group.
    Follower {
        /// The leader.
        leader: SocketAddr,
    },
    /// It sums up the reports of its group.
    Leader {
        /// The other daemons of the group.
        followers: Vec<SocketAddr>,
        /// The leaders of the other groups.
        leaders: Vec<SocketAddr>,
    },
}

/// From where a daemon learns what changes in the metadata store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoreReads {
    /// From the store.
    #[default]
    Itself,
    /// From the store, and others read it from here.
    ForGroup,
    /// From the leader of its group.
    FromLeader(SocketAddr),
}

impl StoreReads {
    /// How the daemon at `own` among the members of the fleet learns of changes.
    #[must_use]
    pub fn of(own: SocketAddr, members: &[Member]) -> Self {
        let Some(own_member) = members.iter().find(|member| member.address == own) else {
            return Self::Itself;
        };
        let groups = Groups::new(members);
        match groups.leader_of(groups.group_of(own_member)) {
            Some(leader) if leader != own => Self::FromLeader(leader),
            _ => Self::ForGroup,
        }
    }
}

impl Default for Role {
    fn default() -> Self {
        Self::Mesh { peers: Vec::new() }
    }
}

impl Role {
    /// The role of the daemon at `own` among the members of the fleet.
    #[must_use]
    pub fn of(own: SocketAddr, members: &[Member]) -> Self {
        let others = members.iter().filter(|member| member.address != own);
        if members.len() <= MESH_MEMBERS_MAX {
            let peers = others.map(|member| member.address).collect();
            return Self::Mesh { peers };
        }
        let Some(own_member) = members.iter().find(|member| member.address == own) else {
            // The fleet does not list this daemon yet, so no group counts on it.
            return Self::default();
        };
        let groups = Groups::new(members);
        let own_group = groups.group_of(own_member);
        let leader = groups.leader_of(own_group).unwrap_or(own);
        if leader != own {
            return Self::Follower { leader };
        }
        Self::Leader {
            followers: others
                .filter(|member| groups.group_of(member) == own_group)
                .map(|member| member.address)
                .collect(),
            leaders: groups.leaders().filter(|leader| *leader != own).collect(),
        }
    }

    /// Name for logs.
    #[must_use]
    pub fn name(&self) -> &'static str {
        match self {
            Self::Mesh { .. } => "mesh",
            Self::Follower { .. } => "follower",
            Self::Leader { .. } => "leader",
        }
    }

    /// Number of daemons to which each period brings a message.
    #[must_use]
    pub fn recipients(&self) -> usize {
        match self {
            Self::Mesh { peers } => peers.len(),
            Self::Follower { .. } => 1,
            Self::Leader { followers, leaders } => followers.len() + leaders.len(),
        }
    }
}

/// Position of a group: its failure domain and its number in it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct GroupKey {
    domain: usize,
    number: u64,
}

/// The groups of a large fleet.
struct Groups<'a> {
    /// Failure domains with the number of their groups.
    domains: IndexMap<&'a str, u64>,
    leaders: IndexMap<GroupKey, Candidate>,
}

/// The daemon with the lowest hash leads its group, so a daemon that joins or leaves changes few
/// leaders.
#[derive(Clone, Copy)]
struct Candidate {
    hash: u64,
    address: SocketAddr,
}

impl<'a> Groups<'a> {
    fn new(members: &'a [Member]) -> Self {
        let mut domains: IndexMap<&str, u64> = IndexMap::new();
        for member in members {
            *domains.entry(&member.failure_domain).or_default() += 1;
        }
        for count in domains.values_mut() {
            *count = count.div_ceil(GROUP_MEMBERS as u64);
        }
        let mut groups = Self {
            domains,
            leaders: IndexMap::new(),
        };
        for member in members {
            let key = groups.group_of(member);
            let candidate = Candidate {
                hash: member_hash(member),
                address: member.address,
            };
            let leader = groups.leaders.entry(key).or_insert(candidate);
            if candidate.hash < leader.hash {
                *leader = candidate;
            }
        }
        groups
    }

    fn group_of(&self, member: &Member) -> GroupKey {
        let domain = self.domains.get_full(member.failure_domain.as_str());
        let (domain, _, count) = domain.unwrap_or((0, &"", &1));
        GroupKey {
            domain,
            number: member_hash(member) % (*count).max(1),
        }
    }

    fn leader_of(&self, group: GroupKey) -> Option<SocketAddr> {
        self.leaders.get(&group).map(|leader| leader.address)
    }

    fn leaders(&self) -> impl Iterator<Item = SocketAddr> {
        self.leaders.values().map(|leader| leader.address)
    }
}

fn member_hash(member: &Member) -> u64 {
    name_hash(&member.address.to_string())
}
