//! Bounds how much of a stream waits for its client.
//!
//! The window covers a chunk from its forwarding until its last clone is dropped, which is when the client's socket has
//! taken it. It bounds bytes, where the stream's queue bounds chunks, which may be of any length.

use crate::dispatcher::MAX_UNREAD_BYTES;
use bytes::Bytes;
use std::sync::Arc;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// The window of one stream, of [`MAX_UNREAD_BYTES`].
pub(super) struct UnreadWindow(Arc<Semaphore>);

/// A chunk, with its part of the window.
struct UnreadChunk {
    data: Bytes,
    _permit: OwnedSemaphorePermit,
}

impl AsRef<[u8]> for UnreadChunk {
    fn as_ref(&self) -> &[u8] {
        &self.data
    }
}

impl UnreadWindow {
    pub(super) fn new() -> UnreadWindow {
        UnreadWindow(Arc::new(Semaphore::new(MAX_UNREAD_BYTES)))
    }

    /// Returns whether the whole window is free.
    pub(super) fn is_free(&self) -> bool {
        self.0.available_permits() == MAX_UNREAD_BYTES
    }

    /// Waits until the chunk fits into the window, and returns it with its part. A chunk that is longer than the window
    /// takes all of it.
    pub(super) async fn admit(&self, data: Bytes) -> Bytes {
        let length = data.len().min(MAX_UNREAD_BYTES) as u32;
        match self.0.clone().acquire_many_owned(length).await {
            Ok(permit) => Bytes::from_owner(UnreadChunk {
                data,
                _permit: permit,
            }),
            Err(_) => data, // the window is never closed
        }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/backend/unread_window.rs"]
mod tests;
