//! Finds the end of a response's head that is written and not sent. Pure: no socket.

const HEAD_END: &[u8] = b"\r\n\r\n";

/// A head of which so much has been discarded.
#[derive(Debug, Default)]
pub(super) struct DiscardedHead {
    /// How many bytes of [`HEAD_END`] came last.
    matched_bytes: usize,
}

impl DiscardedHead {
    /// Discards bytes up to the head's end, and returns how many these are.
    pub(super) fn feed(&mut self, bytes: &[u8]) -> usize {
        let mut discarded_bytes = 0;
        for byte in bytes {
            if self.has_ended() {
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

    /// Whether all of the head has been discarded.
    pub(super) fn has_ended(&self) -> bool {
        self.matched_bytes == HEAD_END.len()
    }
}

#[cfg(test)]
#[path = "../../tests/unit/frontend/discarded_head.rs"]
mod tests;
