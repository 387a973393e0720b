//! Bit set of item numbers within a chunk.

use crate::keys::CHUNK_ITEMS;

const WORDS: usize = (CHUNK_ITEMS as usize).div_ceil(64);

/// A set of item numbers below [`CHUNK_ITEMS`].
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ItemSet {
    words: [u64; WORDS],
}

impl ItemSet {
    /// Decodes a set from its stored form, in which trailing zero bytes are left out.
    pub fn from_bytes(bytes: &[u8]) -> Self {
        let mut words = [0; WORDS];
        for (index, byte) in bytes.iter().take(WORDS * 8).enumerate() {
            words[index / 8] |= u64::from(*byte) << (8 * (index % 8));
        }
        Self { words }
    }

    /// Encodes the set for a row: little-endian bits without trailing zero bytes.
    pub fn to_bytes(self) -> Vec<u8> {
        let mut bytes: Vec<u8> = self
            .words
            .iter()
            .flat_map(|word| word.to_le_bytes())
            .collect();
        while bytes.last() == Some(&0) {
            bytes.pop();
        }
        bytes
    }

    /// True if the set contains `item`.
    pub fn contains(&self, item: u32) -> bool {
        let item = item as usize;
        self.words
            .get(item / 64)
            .is_some_and(|word| word >> (item % 64) & 1 == 1)
    }

    /// Adds an item; true if it was not in the set. Numbers beyond the set's words are ignored.
    pub fn insert(&mut self, item: u32) -> bool {
        let item = item as usize;
        let Some(word) = self.words.get_mut(item / 64) else {
            return false;
        };
        let bit = 1 << (item % 64);
        let added = *word & bit == 0;
        *word |= bit;
        added
    }

    /// Removes an item, if it is in the set.
    pub fn remove(&mut self, item: u32) {
        let item = item as usize;
        if let Some(word) = self.words.get_mut(item / 64) {
            *word &= !(1 << (item % 64));
        }
    }

    /// Returns the number of items.
    pub fn len(&self) -> u32 {
        self.words.iter().map(|word| word.count_ones()).sum()
    }

    /// True if the set contains no item.
    pub fn is_empty(&self) -> bool {
        self.words.iter().all(|word| *word == 0)
    }

    /// Returns the items that are in either set.
    pub fn union(mut self, other: Self) -> Self {
        for (word, other_word) in self.words.iter_mut().zip(other.words) {
            *word |= other_word;
        }
        self
    }

    /// Iterates over the items in ascending order.
    pub fn iter(&self) -> impl Iterator<Item = u32> + '_ {
        (0..CHUNK_ITEMS).filter(|item| self.contains(*item))
    }
}
