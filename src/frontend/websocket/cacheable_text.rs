//! The text of a response, kept to be sent again.

use std::sync::Arc;

/// The text of a response so far, as long as it is short enough to be cached.
#[derive(Default)]
pub(super) struct CacheableText {
    pub(super) text: String,
    pub(super) is_over_limit: bool,
}

impl CacheableText {
    /// Appends to the text. Once the text exceeds the limit, nothing more is appended.
    pub(super) fn push(&mut self, text: &str, max_bytes: usize) {
        if self.text.len() + text.len() > max_bytes {
            self.is_over_limit = true;
        }
        if !self.is_over_limit {
            self.text.push_str(text);
        }
    }

    /// Returns the complete text; `None` if it exceeded the limit.
    pub(super) fn complete_text(&self) -> Option<Arc<str>> {
        if self.is_over_limit {
            return None;
        }
        Some(self.text.as_str().into())
    }
}
