//! Longest prefix of a prompt whose blocks each server and store holds.

use crate::index::{Hint, Holder, Location, Tier};
use serde::{Deserialize, Serialize};

/// Number of leading blocks of a prompt that one server or store holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HolderMatch {
    /// Server or store that holds the blocks.
    pub holder: Holder,
    /// Number of consecutive blocks, counted from the first block of the prompt.
    pub blocks: u32,
    /// Number of these blocks that are only on disk.
    pub disk_blocks: u32,
    /// Number of these blocks whose hints are doubtful, so that they may have been removed.
    pub doubtful_blocks: u32,
}

/// Holders of the leading blocks of a prompt, as the index knows them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrefixMatch {
    /// Holders of at least the first block, in the order in which the hints name them.
    pub holders: Vec<HolderMatch>,
    /// Whether an index shard did not answer, so that holders may have more blocks than stated.
    pub incomplete: bool,
    /// Index of the first block that a server is importing. Imports to other servers end before it,
    /// so that a block is imported only once at a time.
    pub importing_from: Option<u32>,
}

impl PrefixMatch {
    /// Builds the matches from the hints about each block, in the order of the blocks. `None`
    /// stands for a block whose shard did not answer; it ends all matches.
    #[must_use]
    pub fn from_hints<B: AsRef<[Hint]>>(blocks: &[Option<B>]) -> Self {
        let mut matched = Self::default();
        for (block_index, hints) in blocks.iter().enumerate() {
            let Some(hints) = hints else {
                matched.incomplete = true;
                break;
            };
            let mut extended = false;
            for hint in hints.as_ref() {
                extended |= matched.extend_match(block_index as u32, hint);
            }
            if !extended {
                break;
            }
        }
        matched
    }

    /// Returns the number of leading blocks that a holder has, or zero if it has none.
    #[must_use]
    pub fn blocks_at(&self, holder: Holder) -> u32 {
        self.holders
            .iter()
            .find(|matched| matched.holder == holder)
            .map_or(0, |matched| matched.blocks)
    }

    fn extend_match(&mut self, block_index: u32, hint: &Hint) -> bool {
        let holder = hint.location.holder();
        let on_disk = u32::from(matches!(hint.location, Location::Store(_, Tier::Disk)));
        let doubtful = u32::from(hint.doubtful);
        let position = self
            .holders
            .iter()
            .position(|matched| matched.holder == holder);
        let Some(position) = position else {
            if block_index == 0 {
                self.holders.push(HolderMatch {
                    holder,
                    blocks: 1,
                    disk_blocks: on_disk,
                    doubtful_blocks: doubtful,
                });
            }
            return block_index == 0;
        };
        let matched = &mut self.holders[position];
        if matched.blocks == block_index {
            matched.blocks += 1;
            matched.disk_blocks += on_disk;
            matched.doubtful_blocks += doubtful;
            return true;
        }
        // The block is in both tiers of the store and is read from memory.
        if matched.blocks == block_index + 1 && on_disk == 0 {
            matched.disk_blocks = matched.disk_blocks.saturating_sub(1);
        }
        false
    }
}

/// Returns the hints of one holder about the leading blocks that it holds. A reader verifies the
/// blocks that it receives against these hints. Memory is preferred over disk.
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
