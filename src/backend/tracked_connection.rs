//! The state of one connection to an endpoint: its traffic so far, whether reading is paused, and whether it closes
//! once it is idle.
//!
//! The [`Transport`](super::transport::Transport) owns the socket and records each read and write here. The HTTP client
//! uses the record to classify how an exchange failed.

use crate::net::message_framing::{ChunkedDecoder, ResponseFraming};
use socket2::SockRef;
use std::io;
use std::net::Shutdown;
use std::os::fd::{AsFd, OwnedFd};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::task::{Poll, Waker};
use tokio::net::TcpStream;

/// Whether reading is paused, and the waker of the reading task.
#[derive(Default)]
struct ReadState {
    is_paused: bool,
    waker: Option<Waker>,
}

/// The state of one connection, shared by its transport and the exchange that uses it.
#[derive(Default)]
pub struct TrackedConnection {
    request_count: AtomicU32,
    /// The write of a request has begun, and no byte of its response was read yet.
    awaits_response: AtomicBool,
    has_unwritten_bytes: AtomicBool,
    /// The framing of the current response, or of the last one while the connection is idle.
    response: Mutex<ResponseFraming>,
    stream: Weak<TcpStream>,
    read_state: Mutex<ReadState>,
    closes_when_idle: AtomicBool,
    /// The descriptor was duplicated, so another process may share the socket.
    was_duplicated: AtomicBool,
}

impl TrackedConnection {
    /// Creates the state of a new connection.
    pub(super) fn new(stream: &Arc<TcpStream>) -> Self {
        TrackedConnection {
            stream: Arc::downgrade(stream),
            ..TrackedConnection::default()
        }
    }

    fn response(&self) -> MutexGuard<'_, ResponseFraming> {
        self.response.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn read_state(&self) -> MutexGuard<'_, ReadState> {
        self.read_state
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Closes the connection now if it is idle, otherwise after its current exchange.
    pub(super) fn close_when_idle(&self) {
        self.closes_when_idle.store(true, Ordering::Relaxed);
        let waker = self.read_state().waker.take();
        if let Some(waker) = waker {
            waker.wake();
        }
    }

    /// Whether the connection is idle and [`close_when_idle`](Self::close_when_idle) was called.
    pub(super) fn should_close(&self) -> bool {
        self.closes_when_idle.load(Ordering::Relaxed) && self.is_idle()
    }

    /// Closes the connection at once, even during an exchange.
    pub fn close(&self) {
        if let Some(stream) = self.stream.upgrade() {
            let _ = SockRef::from(&*stream).shutdown(Shutdown::Both); // fails if it is closed already
        }
    }

    fn is_idle(&self) -> bool {
        !self.awaits_response.load(Ordering::Relaxed) && self.response().is_complete()
    }

    /// Stops reading from the socket until [`resume_reading`](Self::resume_reading).
    pub fn pause_reading(&self) {
        self.set_reading_paused(true);
    }

    /// Resumes reading from the socket.
    pub fn resume_reading(&self) {
        self.set_reading_paused(false);
    }

    fn set_reading_paused(&self, is_paused: bool) {
        let state = ReadState {
            is_paused,
            waker: None,
        };
        let previous = std::mem::replace(&mut *self.read_state(), state);
        if let Some(waker) = previous.waker {
            waker.wake();
        }
    }

    /// Whether reading is paused.
    pub(super) fn is_reading_paused(&self) -> bool {
        self.read_state().is_paused
    }

    /// Registers the reading task, to be woken when reading is paused or resumed or the connection should close.
    /// Returns whether reading is paused.
    pub(super) fn register_reader(&self, waker: &Waker) -> bool {
        let mut state = self.read_state();
        state.waker = Some(waker.clone());
        state.is_paused
    }

    /// Returns the decoder of the current response's chunked body, after all bytes read from the socket, and the number
    /// of data bytes among them. `None` if there is no such body, or its framing is unknown.
    pub fn response_body(&self) -> Option<(ChunkedDecoder, u64)> {
        self.response().body()
    }

    /// Duplicates the connection's descriptor. `None` if the connection is closed or no descriptor is available.
    pub fn duplicate_descriptor(&self) -> Option<OwnedFd> {
        let duplicate = self.stream.upgrade()?.as_fd().try_clone_to_owned().ok()?;
        self.was_duplicated.store(true, Ordering::Relaxed);
        Some(duplicate)
    }

    /// Whether another process may share the socket although the connection belongs to this one. Closing this process's
    /// descriptor then does not end the connection.
    pub(super) fn needs_shutdown(&self) -> bool {
        self.was_duplicated.load(Ordering::Relaxed) && !self.is_reading_paused()
    }

    /// Records bytes read from the endpoint.
    pub(super) fn on_read(&self, bytes: &[u8]) {
        self.awaits_response.store(false, Ordering::Relaxed);
        self.response().feed(bytes);
    }

    /// Records a write of `length` bytes. The first write after a response starts the next request.
    pub(super) fn on_write(&self, written: &Poll<io::Result<usize>>, length: usize) {
        if !self.awaits_response.swap(true, Ordering::Relaxed) {
            self.request_count.fetch_add(1, Ordering::Relaxed);
            *self.response() = ResponseFraming::default();
        }
        let is_complete = matches!(written, Poll::Ready(Ok(count)) if *count == length);
        self.has_unwritten_bytes
            .store(!is_complete, Ordering::Relaxed);
    }

    /// Whether the last request was not the connection's first, and got no byte of a response. The endpoint may have
    /// closed the connection while it was idle.
    pub fn may_be_stale(&self) -> bool {
        self.request_count.load(Ordering::Relaxed) > 1
            && self.awaits_response.load(Ordering::Relaxed)
    }

    /// Whether the socket did not accept all bytes of the last write.
    pub fn has_unwritten_bytes(&self) -> bool {
        self.has_unwritten_bytes.load(Ordering::Relaxed)
    }
}
