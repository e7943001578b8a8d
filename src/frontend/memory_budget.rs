//! The memory that the bodies of requests may take, all fronts together.

use crate::net::connection_limit::{ConnectionLimit, ConnectionPermit};
use bytes::Bytes;

/// A request's body may have so many bytes.
pub const MAX_BODY_BYTES: usize = 256 * 1024;

/// Kilobytes for one body.
const LEAST: usize = MAX_BODY_BYTES / 1024 + 1;

/// What is left of the memory. Cheap to clone.
#[derive(Clone)]
pub struct BodyMemoryBudget(ConnectionLimit);

/// A part of it, for one body.
pub struct MemoryReservation {
    place: ConnectionPermit,
}

struct Kept {
    body: Bytes,
    _room: MemoryReservation,
}

impl AsRef<[u8]> for Kept {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}

fn kilobytes(bytes: usize) -> u32 {
    (bytes.min(MAX_BODY_BYTES) / 1024 + 1) as u32
}

impl BodyMemoryBudget {
    /// So many kilobytes in all, and enough for one body at least.
    pub fn new(kb: usize) -> Self {
        BodyMemoryBudget(ConnectionLimit::new(kb.max(LEAST)))
    }

    /// Keeps to so many parts of the memory, though to enough for one body at least.
    pub fn set_share(&self, part: u32) {
        self.0.set_share(part, LEAST);
    }

    /// MemoryReservation for a body of this length; waits for it.
    pub async fn reserve(&self, bytes: usize) -> Option<MemoryReservation> {
        self.0
            .acquire(kilobytes(bytes))
            .await
            .map(|place| MemoryReservation { place })
    }

    /// MemoryReservation for a body of this length, if there is some now.
    pub fn try_reserve(&self, bytes: usize) -> Option<MemoryReservation> {
        self.0
            .try_acquire(kilobytes(bytes))
            .map(|place| MemoryReservation { place })
    }
}

impl MemoryReservation {
    /// The body, with as much of the room as it needs: that is free again when nobody holds the body any more.
    pub fn attach(mut self, body: Bytes) -> Bytes {
        let spare = self
            .place
            .num_permits()
            .saturating_sub(kilobytes(body.len()) as usize);
        drop(self.place.split(spare));
        Bytes::from_owner(Kept { body, _room: self })
    }
}
