//! Groups of daemons that share the work of learning what the others need to know.
//!
//! The daemons of a failure domain form groups. Calls to the metadata store are limited and charged, so one
//! leader a failure domain reads it. The leaders of the other groups of the domain read the copy of that
//! one, and each group reads the copy of its leader.
//!
//! Load reports go from each daemon to every other one in a small fleet. In a large one that costs
//! every daemon messages in proportion to the fleet, so each daemon reports to its leader, the leaders
//! exchange the sums of their groups, and each leader passes the sum of the fleet on to its group. Only
//! the sums of groups cross failure domains.
//!
//! Every daemon derives the groups from the list of members alone. Views that differ for a while, or
//! a leader that is gone, cost balance and calls only.

use crate::cache_store::name_hash;
use indexmap::IndexMap;
use std::net::SocketAddr;

/// Largest fleet in which every daemon reports to every other one.
const MESH_MEMBERS_MAX: usize = 32;
/// Daemons of a group. Near the square root of some hundred daemons, where a leader has about as many
/// members as fellow leaders.
const GROUP_MEMBERS: u64 = 12;

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
    /// From the leader of another group of the failure domain, and the own group reads it from here.
    Relay(SocketAddr),
    /// From the leader of its group.
    FromLeader(SocketAddr),
}

impl StoreReads {
    /// The daemon whose copies are read.
    #[must_use]
    pub fn source(self) -> Option<SocketAddr> {
        match self {
            Self::Itself | Self::ForGroup => None,
            Self::Relay(source) | Self::FromLeader(source) => Some(source),
        }
    }

    /// Whether other daemons read copies from this one.
    #[must_use]
    pub fn serves_copies(self) -> bool {
        matches!(self, Self::ForGroup | Self::Relay(_))
    }
}

impl Default for Role {
    fn default() -> Self {
        Self::Mesh { peers: Vec::new() }
    }
}

impl Role {
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

/// What a daemon does for the others, and from where it learns.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Place {
    /// What it does in the exchange of load reports.
    pub role: Role,
    /// From where it learns what changes in the metadata store.
    pub store_reads: StoreReads,
}

impl Place {
    /// The place of the daemon at `own` among the members of the fleet.
    #[must_use]
    pub fn of(own: SocketAddr, members: &[Member]) -> Self {
        let groups = Groups::new(members);
        let leader = groups.leader_of(own);
        Self {
            role: role(own, leader, &groups),
            store_reads: match leader {
                // The fleet does not list this daemon yet, so no group counts on it.
                None => StoreReads::Itself,
                Some(leader) if leader != own => StoreReads::FromLeader(leader),
                Some(_) => match groups.domain_leader_of(own) {
                    Some(first) if first != own => StoreReads::Relay(first),
                    _ => StoreReads::ForGroup,
                },
            },
        }
    }
}

fn role(own: SocketAddr, leader: Option<SocketAddr>, groups: &Groups) -> Role {
    if groups.by_member.len() <= MESH_MEMBERS_MAX {
        let addresses = groups.by_member.keys().copied();
        let peers = addresses.filter(|address| *address != own).collect();
        return Role::Mesh { peers };
    }
    match leader {
        None => Role::default(),
        Some(leader) if leader == own => Role::Leader {
            followers: groups.others_in_group(own).collect(),
            leaders: groups.leaders().filter(|leader| *leader != own).collect(),
        },
        Some(leader) => Role::Follower { leader },
    }
}

/// Position of a group: its failure domain and its number in it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct GroupKey {
    domain: usize,
    number: u64,
}

/// The daemon with the lowest hash leads its group, so a daemon that joins or leaves changes few
/// leaders.
#[derive(Clone, Copy)]
struct Candidate {
    hash: u64,
    address: SocketAddr,
}

/// The groups of a fleet.
struct Groups {
    by_member: IndexMap<SocketAddr, GroupKey>,
    leaders: IndexMap<GroupKey, Candidate>,
}

impl Groups {
    fn new(members: &[Member]) -> Self {
        let mut sizes: IndexMap<&str, u64> = IndexMap::new();
        for member in members {
            *sizes.entry(&member.failure_domain).or_default() += 1;
        }
        let mut groups = Self {
            by_member: IndexMap::new(),
            leaders: IndexMap::new(),
        };
        for member in members {
            let hash = name_hash(&member.address.to_string());
            let Some((domain, _, size)) = sizes.get_full(member.failure_domain.as_str()) else {
                continue;
            };
            let key = GroupKey {
                domain,
                number: hash % size.div_ceil(GROUP_MEMBERS),
            };
            let address = member.address;
            groups.add(key, Candidate { hash, address });
        }
        groups
    }

    fn add(&mut self, key: GroupKey, member: Candidate) {
        self.by_member.insert(member.address, key);
        let leader = self.leaders.entry(key).or_insert(member);
        if member.hash < leader.hash {
            *leader = member;
        }
    }

    /// The leader of the group of a member, if it is one.
    fn leader_of(&self, member: SocketAddr) -> Option<SocketAddr> {
        let group = self.by_member.get(&member)?;
        self.leaders.get(group).map(|leader| leader.address)
    }

    /// The leader that reads the store for the failure domain of a member.
    fn domain_leader_of(&self, member: SocketAddr) -> Option<SocketAddr> {
        let domain = self.by_member.get(&member)?.domain;
        let leaders = self.leaders.iter().filter(|(key, _)| key.domain == domain);
        let first = leaders.min_by_key(|(_, leader)| leader.hash)?;
        Some(first.1.address)
    }

    fn others_in_group(&self, own: SocketAddr) -> impl Iterator<Item = SocketAddr> {
        let group = self.by_member.get(&own);
        let others = self.by_member.iter();
        others
            .filter(move |(address, key)| Some(*key) == group && **address != own)
            .map(|(address, _)| *address)
    }

    fn leaders(&self) -> impl Iterator<Item = SocketAddr> {
        self.leaders.values().map(|leader| leader.address)
    }
}
