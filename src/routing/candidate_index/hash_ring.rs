//! A hash ring of endpoints. Each endpoint has one slot, at the hash of its key. Keys are the same at every
//! dispatcher, and so is the order of endpoints on the ring.

use crate::routing::api::EndpointId;

/// Endpoints sorted by the hash of their keys. A [`RolePool`](super::RolePool) owns it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct HashRing {
    /// Ring position and id of each endpoint, sorted.
    slots: Vec<(u64, EndpointId)>,
}

impl HashRing {
    /// Adds an endpoint at the ring position of `key`, its unique number. Has no effect if it is on the
    /// ring.
    pub(super) fn insert(&mut self, key: u64, endpoint: EndpointId) {
        let slot = (ring_position(key), endpoint);
        if let Err(index) = self.slots.binary_search(&slot) {
            self.slots.insert(index, slot);
        }
    }

    /// Removes an endpoint with this key. Has no effect if it is not on the ring.
    pub(super) fn remove(&mut self, key: u64, endpoint: EndpointId) {
        if let Some(index) = self.index_of(key, endpoint) {
            self.slots.remove(index);
        }
    }

    /// Returns the endpoint's index in the order of the ring; `None` if it is not on the ring.
    pub(super) fn index_of(&self, key: u64, endpoint: EndpointId) -> Option<usize> {
        self.slots
            .binary_search(&(ring_position(key), endpoint))
            .ok()
    }

    pub(super) fn len(&self) -> usize {
        self.slots.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    /// Returns at most `count` successive endpoints, starting with the first one at or after `position`.
    pub(super) fn window_at(
        &self,
        position: u64,
        count: usize,
    ) -> impl Iterator<Item = EndpointId> + '_ {
        let first = self.slots.partition_point(|(slot, _)| *slot < position);
        self.window_from(first, count)
    }

    /// Returns at most `count` successive endpoints, starting at index `first`.
    pub(super) fn window_from(
        &self,
        first: usize,
        count: usize,
    ) -> impl Iterator<Item = EndpointId> + '_ {
        let count = count.min(self.len());
        (first..first + count).map(|index| self.slots[index % self.len()].1)
    }

    /// Returns `count` endpoints sampled uniformly with replacement, or all if there are no more. A larger
    /// sample with the same seed contains the smaller ones.
    pub(super) fn sample(&self, seed: u64, count: usize) -> Vec<EndpointId> {
        if count >= self.len() {
            return self.window_from(0, count).collect();
        }
        (1..=count as u64)
            .map(|number| {
                let index = hash_pair(seed, number) % self.len() as u64;
                self.slots[index as usize].1
            })
            .collect()
    }
}

/// Returns the position of a key on the ring.
pub(super) fn ring_position(key: u64) -> u64 {
    hash_pair(key, 0)
}

/// Hashes a pair of numbers, such as the keys of a prefix and an endpoint, to a uniformly distributed one.
pub(crate) fn hash_pair(first: u64, second: u64) -> u64 {
    let mut mixed = first ^ second.rotate_left(32);
    for _ in 0..2 {
        mixed = (mixed ^ (mixed >> 31)).wrapping_mul(0x9E37_79B9_7F4A_7C15);
    }
    mixed ^ (mixed >> 29)
}
