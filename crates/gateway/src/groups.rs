//! Divides the daemons into groups that share the work of reading the metadata store and exchanging
//! load reports.
//!
//! Each group belongs to one failure domain and has a leader. Calls to the metadata store are
//! limited and charged, so in each failure domain one leader reads it. The leaders of the other
//! groups of the domain read that leader's copy, and the members of each group read the copy of
//! their leader.
//!
//! In a small fleet each daemon sends its load reports to every other one. In a large fleet that
//! would cost every daemon messages in proportion to the fleet, so each daemon reports to its
//! leader, the leaders exchange the sums of their groups, and each leader sends the sum of the
//! fleet to its group. Only the sums of groups cross failure domains.
//!
//! Every daemon derives the groups from the list of members alone. If the lists differ for a while,
//! or a leader is gone, load balancing gets worse and there are more calls to the metadata store;
//! nothing else is affected.

use crate::cache_store::name_hash;
use indexmap::IndexMap;
use std::net::SocketAddr;

/// Largest fleet in which every daemon reports to every other one.
const MESH_FLEET_MAX: usize = 32;
/// Target number of daemons in a group. It is close to the square root of a few hundred daemons,
/// where a leader has about as many followers as there are other leaders.
const GROUP_SIZE: u64 = 12;

/// A daemon that is a member of the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Member {
    /// Address at which it accepts connections and datagrams from other daemons.
    pub address: SocketAddr,
    /// Failure domain of its instance.
    pub failure_domain: String,
}

/// Role of a daemon in the exchange of load reports.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Role {
    /// The daemon reports to every other daemon.
    Mesh {
        /// Addresses of all other daemons.
        peers: Vec<SocketAddr>,
    },
    /// The daemon reports to the leader of its group.
    Follower {
        /// Address of the leader.
        leader: SocketAddr,
    },
    /// The daemon leads its group and sums up the reports of its members.
    Leader {
        /// Addresses of the other daemons of the group.
        followers: Vec<SocketAddr>,
        /// Addresses of the leaders of the other groups.
        leaders: Vec<SocketAddr>,
    },
}

/// Source from which a daemon reads changes in the metadata store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoreReads {
    /// It reads the metadata store itself, and no other daemon reads its copy.
    #[default]
    Direct,
    /// It reads the metadata store itself, and other daemons read its copy.
    DirectForGroup,
    /// It reads the copy of another group's leader in its failure domain, and its own group reads
    /// its copy.
    Relay(SocketAddr),
    /// It reads the copy of the leader of its group.
    FromLeader(SocketAddr),
}

impl StoreReads {
    /// Returns the daemon whose copy is read, or `None` if the metadata store itself is read.
    #[must_use]
    pub fn source(self) -> Option<SocketAddr> {
        match self {
            Self::Direct | Self::DirectForGroup => None,
            Self::Relay(source) | Self::FromLeader(source) => Some(source),
        }
    }

    /// Returns whether other daemons read the copy of this one.
    #[must_use]
    pub fn serves_copies(self) -> bool {
        matches!(self, Self::DirectForGroup | Self::Relay(_))
    }
}

impl Default for Role {
    fn default() -> Self {
        Self::Mesh { peers: Vec::new() }
    }
}

impl Role {
    /// Returns the name of the role in logs.
    #[must_use]
    pub fn name(&self) -> &'static str {
        match self {
            Self::Mesh { .. } => "mesh",
            Self::Follower { .. } => "follower",
            Self::Leader { .. } => "leader",
        }
    }

    /// Returns whether the daemon serves what it knows of the cache stores to others. Followers do, too:
    /// the members of a group learn of a new leader seconds apart, and may read from a daemon that does
    /// not lead yet, or no longer.
    #[must_use]
    pub fn serves_cache_store_log(&self) -> bool {
        matches!(self, Self::Leader { .. } | Self::Follower { .. })
    }

    /// Returns the number of daemons that receive the daemon's reports in each period.
    #[must_use]
    pub fn recipient_count(&self) -> usize {
        match self {
            Self::Mesh { peers } => peers.len(),
            Self::Follower { .. } => 1,
            Self::Leader { followers, leaders } => followers.len() + leaders.len(),
        }
    }
}

/// Role of a daemon in the fleet, and the source from which it reads the metadata store.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FleetAssignment {
    /// Role in the exchange of load reports.
    pub role: Role,
    /// Source of changes in the metadata store.
    pub store_reads: StoreReads,
}

impl FleetAssignment {
    /// Returns the assignment of the daemon `own` among the members of the fleet. A daemon that the
    /// list does not contain yet reads the copies of the leader that it will have, to save calls to
    /// the metadata store. In a large fleet it has no part in the exchange of reports and follows the
    /// cache stores itself, because its leader does not know it.
    #[must_use]
    pub fn of(own: &Member, members: &[Member]) -> Self {
        let is_listed = members.iter().any(|member| member.address == own.address);
        let added = (!is_listed && !members.is_empty()).then_some(own);
        let groups = Groups::new(members.iter().chain(added));
        let own = own.address;
        let leader = groups.leader_of(own);
        Self {
            role: if is_listed {
                role(own, leader, &groups)
            } else {
                role(own, None, &Groups::new(members.iter()))
            },
            store_reads: match leader {
                // No member is known yet.
                None => StoreReads::Direct,
                Some(leader) if leader != own => StoreReads::FromLeader(leader),
                Some(_) => match groups.domain_leader_of(own) {
                    Some(first) if first != own => StoreReads::Relay(first),
                    _ => StoreReads::DirectForGroup,
                },
            },
        }
    }
}

fn role(own: SocketAddr, leader: Option<SocketAddr>, groups: &Groups) -> Role {
    if groups.by_member.len() <= MESH_FLEET_MAX {
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

/// Identifies a group by its failure domain and its number within the domain.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct GroupKey {
    domain: usize,
    number: u64,
}

/// A daemon with the hash that decides which member leads a group. The daemon with the lowest hash
/// is the leader, so a daemon that joins or leaves changes few leaders.
#[derive(Clone, Copy)]
struct RankedMember {
    hash: u64,
    address: SocketAddr,
}

/// Groups of the fleet with their leaders.
struct Groups {
    by_member: IndexMap<SocketAddr, GroupKey>,
    leaders: IndexMap<GroupKey, RankedMember>,
}

impl Groups {
    fn new<'a>(members: impl Iterator<Item = &'a Member> + Clone) -> Self {
        let mut sizes: IndexMap<&str, u64> = IndexMap::new();
        for member in members.clone() {
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
                number: hash % size.div_ceil(GROUP_SIZE),
            };
            let address = member.address;
            groups.add(key, RankedMember { hash, address });
        }
        groups
    }

    fn add(&mut self, key: GroupKey, member: RankedMember) {
        self.by_member.insert(member.address, key);
        let leader = self.leaders.entry(key).or_insert(member);
        if member.hash < leader.hash {
            *leader = member;
        }
    }

    /// Returns the leader of the group of `member`, or `None` if the fleet does not contain it.
    fn leader_of(&self, member: SocketAddr) -> Option<SocketAddr> {
        let group = self.by_member.get(&member)?;
        self.leaders.get(group).map(|leader| leader.address)
    }

    /// Returns the leader that reads the metadata store for the failure domain of `member`.
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
