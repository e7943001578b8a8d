//! The body of a request to an endpoint. It records whether a connection has started to send it.

use bytes::Bytes;
use http_body::Frame;
use std::convert::Infallible;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll};

/// A body of at most one frame. It sets a flag when a connection takes it; before that the request can't have run.
pub(super) struct SingleFrameBody {
    data: Option<Bytes>,
    is_body_taken: Arc<AtomicBool>,
}

impl SingleFrameBody {
    /// Creates a body with this data. `is_body_taken` is set when a connection takes it.
    pub(super) fn new(data: Bytes, is_body_taken: Arc<AtomicBool>) -> Self {
        SingleFrameBody {
            data: Some(data),
            is_body_taken,
        }
    }

    /// Creates a body without data.
    pub(super) fn empty() -> Self {
        SingleFrameBody {
            data: None,
            is_body_taken: Arc::default(),
        }
    }
}

impl http_body::Body for SingleFrameBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        self.is_body_taken.store(true, Ordering::Relaxed);
        Poll::Ready(self.data.take().map(|data| Ok(Frame::data(data))))
    }

    /// Returns false even for an empty body, so that it is polled and sets the flag.
    fn is_end_stream(&self) -> bool {
        false
    }

    fn size_hint(&self) -> http_body::SizeHint {
        http_body::SizeHint::with_exact(self.data.as_ref().map_or(0, |data| data.len() as u64))
    }
}
