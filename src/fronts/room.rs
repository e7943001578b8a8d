//! The memory that the bodies of requests may take, all fronts together.

use bytes::Bytes;
use std::sync::Arc;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// A request's body may have so many bytes.
pub const MOST_BODY: usize = 256 * 1024;

/// What is left of the memory. Cheap to clone.
#[derive(Clone)]
pub struct Rooms(Arc<Semaphore>);

/// A part of it, for one body.
pub struct Room {
    _permit: OwnedSemaphorePermit,
}

struct Kept {
    body: Bytes,
    _room: Room,
}

impl AsRef<[u8]> for Kept {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}

fn kilobytes(bytes: usize) -> u32 {
    (bytes.min(MOST_BODY) / 1024 + 1) as u32
}

impl Rooms {
    /// So many kilobytes in all, and enough for one body at least.
    pub fn new(kb: usize) -> Self {
        Rooms(Arc::new(Semaphore::new(kb.max(MOST_BODY / 1024 + 1))))
    }

    /// Room for a body of this length; waits for it.
    pub async fn wait(&self, bytes: usize) -> Option<Room> {
        self.0.clone().acquire_many_owned(kilobytes(bytes)).await.ok().map(|_permit| Room { _permit })
    }

    /// Room for a body of this length, if there is some now.
    pub fn at_once(&self, bytes: usize) -> Option<Room> {
        self.0.clone().try_acquire_many_owned(kilobytes(bytes)).ok().map(|_permit| Room { _permit })
    }
}

impl Room {
    /// The body, with its room: that is free again when nobody holds the body any more.
    pub fn keep(self, body: Bytes) -> Bytes {
        Bytes::from_owner(Kept { body, _room: self })
    }
}
