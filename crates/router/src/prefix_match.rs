//! Longest matching prefix of a prompt at each server and store.

use crate::index::{Hint, Holder, Location, Tier};
use serde::{Deserialize, Serialize};

/// Leading blocks of a prompt that one server or store holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HolderMatch {
    /// The server or store.
    pub holder: Holder,
    /// Number of consecutive blocks from the first.
    pub blocks: u32,
    /// How many of them are only on disk.
    pub disk_blocks: u32,
    /// How many of them rest on doubtful hints.
    pub doubtful_blocks: u32,
}

/// What the index knows about a prompt.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrefixMatch {
    /// Holders of the first block, in order of discovery.
    pub holders: Vec<HolderMatch>,
    /// Whether a shard did not answer, so that more blocks may exist than stated.
    pub incomplete: bool,
    /// First block that is on its way to a server. Imports to other servers end before it, so there
    /// is one import of a block at a time.
    pub importing_from: Option<u32>,
}

impl PrefixMatch {
    /// Joins the hints per block, in the order of the blocks. `None` is a block whose shard did not
    /// answer; it ends all matches, since an unknown block cannot be counted on.
    #[must_use]
    pub fn from_hints<B: AsRef<[Hint]>>(blocks: &[Option<B>]) -> Self {
        let mut matched = Self::default();
        for (at, hints) in blocks.iter().enumerate() {
            let Some(hints) = hints else {
                matched.incomplete = true;
                break;
            };
            let mut extended = false;
            for hint in hints.as_ref() {
                extended |= matched.extend(at as u32, hint);
            }
            if !extended {
                break;
            }
        }
        matched
    }

    /// Blocks that a holder has from the first on.
    #[must_use]
    pub fn blocks_at(&self, holder: Holder) -> u32 {
        self.holders
            .iter()
            .find(|known| known.holder == holder)
            .map_or(0, |known| known.blocks)
    }

    fn extend(&mut self, at: u32, hint: &Hint) -> bool {
        let holder = hint.location.holder();
        let on_disk = u32::from(matches!(hint.location, Location::Store(_, Tier::Disk)));
        let doubtful = u32::from(hint.doubtful);
        let position = self.holders.iter().position(|known| known.holder == holder);
        let Some(position) = position else {
            if at == 0 {
                self.holders.push(HolderMatch {
                    holder,
                    blocks: 1,
                    disk_blocks: on_disk,
                    doubtful_blocks: doubtful,
                });
            }
            return at == 0;
        };
        let known = &mut self.holders[position];
        if known.blocks == at {
            known.blocks += 1;
            known.disk_blocks += on_disk;
            known.doubtful_blocks += doubtful;
            return true;
        }
        // The block is in both tiers of the store: it is read from memory.
        if known.blocks == at + 1 && on_disk == 0 {
            known.disk_blocks = known.disk_blocks.saturating_sub(1);
        }
        false
    }
}

/// Hints of one holder about its leading blocks, with which a reader checks what it receives.
/// Memory is preferred over disk.
#[must_use]
pub fn leading_hints<B: AsRef<[Hint]>>(holder: Holder, blocks: &[Option<B>]) -> Vec<Hint> {
    blocks
        .iter()
        .map_while(|hints| {
            hints
                .as_ref()?
                .as_ref()
                .iter()
                .filter(|hint| hint.location.holder() == holder)
                .min_by_key(|hint| hint.location)
                .copied()
        })
        .collect()
}
