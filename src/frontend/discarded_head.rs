//! Finds the end of a response head that hyper writes but that must not be sent. Does no I/O.
//!
//! The head is matched byte by byte, so that the result does not depend on how it is split into writes.

const HEAD_END: &[u8] = b"\r\n\r\n";

/// The progress through a head that is discarded.
#[derive(Debug, Default)]
pub(super) struct DiscardedHead {
    /// How many bytes of [`HEAD_END`] the most recent bytes match.
    matched_bytes: usize,
}

impl DiscardedHead {
    /// Discards bytes up to the end of the head, and returns how many were discarded.
    pub(super) fn feed(&mut self, bytes: &[u8]) -> usize {
        let mut discarded_bytes = 0;
        for byte in bytes {
            if self.is_complete() {
                break;
            }
            discarded_bytes += 1;
            self.matched_bytes = if *byte == HEAD_END[self.matched_bytes] {
                self.matched_bytes + 1
            } else {
                usize::from(*byte == HEAD_END[0])
            };
        }
        discarded_bytes
    }

    /// Returns whether the whole head has been discarded.
    pub(super) fn is_complete(&self) -> bool {
        self.matched_bytes == HEAD_END.len()
    }
}

#[cfg(test)]
#[path = "../../tests/unit/frontend/discarded_head.rs"]
mod tests;
