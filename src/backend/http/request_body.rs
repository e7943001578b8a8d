//! The body of a request to an endpoint, which records whether a connection has taken it.

use bytes::Bytes;
use http_body::Frame;
use std::convert::Infallible;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll};

/// A body of at most one frame. It sets its flag when a connection takes it: before that nothing can have run.
pub(super) struct SingleFrameBody {
    data: Option<Bytes>,
    is_body_taken: Arc<AtomicBool>,
}

impl SingleFrameBody {
    /// A body with this data, which sets `is_body_taken`.
    pub(super) fn new(data: Bytes, is_body_taken: Arc<AtomicBool>) -> Self {
        SingleFrameBody {
            data: Some(data),
            is_body_taken,
        }
    }

    /// A body without data.
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

    /// Also an empty body is polled, so that the flag is set.
    fn is_end_stream(&self) -> bool {
        false
    }

    fn size_hint(&self) -> http_body::SizeHint {
        http_body::SizeHint::with_exact(self.data.as_ref().map_or(0, |data| data.len() as u64))
    }
}
