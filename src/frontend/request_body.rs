//! Reads the body of a request into reserved memory, within the time limits of its connection.
//!
//! Memory is reserved for what has arrived, not for what a head declares, so that a client that stops in a large body
//! takes no more than it has sent.

use super::memory_budget::{ClientMemoryBudget, MemoryReservation, MAX_BODY_BYTES};
use super::ShutdownPhase;
use axum::body::Body;
use bytes::Bytes;
use http_body_util::BodyExt;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{timeout_at, Instant};

/// Time to reserve memory for the body and to read it completely, from the end of the head. It does not depend on the
/// request's deadline, which the client chooses.
const BODY_TIMEOUT: Duration = Duration::from_millis(2200);

/// By how much the memory for a body grows at a time.
const BODY_STEP_BYTES: usize = 16 * 1024;

/// Why a request's body was not read.
#[derive(Debug, thiserror::Error)]
pub(super) enum BodyError {
    #[error("the body is over 256 KiB")]
    TooLarge,
    #[error("the body is not whole")]
    Incomplete,
    #[error("the body took too long")]
    TimedOut,
    /// No memory became free in time. The request did not run, so the client may retry it.
    #[error("no memory is free for the body")]
    NoMemory,
    /// The process may soon be killed. The request did not run, so the client may retry it.
    #[error("the dispatcher is shutting down")]
    ShuttingDown,
}

/// Tells a request when it must have arrived completely because the process shuts down. The default tells it never.
#[derive(Clone, Default)]
pub(super) struct ArrivalsEnd(Option<watch::Receiver<ShutdownPhase>>);

impl ArrivalsEnd {
    /// Creates the end of arrivals of a process whose shutdown is in this phase.
    pub(super) fn new(shutdown: watch::Receiver<ShutdownPhase>) -> ArrivalsEnd {
        ArrivalsEnd(Some(shutdown))
    }

    /// Waits until [`ShutdownPhase::Ending`].
    async fn wait(self) {
        if let Some(mut shutdown) = self.0 {
            let is_ending = |phase: &ShutdownPhase| *phase >= ShutdownPhase::Ending;
            if shutdown.wait_for(is_ending).await.is_ok() {
                return;
            }
        }
        std::future::pending::<()>().await;
    }
}

/// Reads a body into memory that is reserved for it. `received_at` is when the head was complete.
pub(super) async fn read_body(
    body: Body,
    client_memory: &ClientMemoryBudget,
    received_at: Instant,
    arrivals_end: ArrivalsEnd,
) -> Result<Bytes, BodyError> {
    tokio::select! {
        biased;
        read = read_until_timeout(body, client_memory, received_at + BODY_TIMEOUT) => read,
        () = arrivals_end.wait() => Err(BodyError::ShuttingDown),
    }
}

async fn read_until_timeout(
    mut body: Body,
    client_memory: &ClientMemoryBudget,
    times_out_at: Instant,
) -> Result<Bytes, BodyError> {
    let declared_bytes = http_body::Body::size_hint(&body).lower();
    if declared_bytes > MAX_BODY_BYTES as u64 {
        return Err(BodyError::TooLarge);
    }
    let mut reservation = MemoryReservation::default();
    let mut received = Vec::new();
    loop {
        let Ok(frame) = timeout_at(times_out_at, body.frame()).await else {
            return Err(BodyError::TimedOut);
        };
        let data = match frame {
            None => return Ok(reservation.attach(received.into())),
            Some(Err(_)) => return Err(BodyError::Incomplete),
            Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
        };
        let length = received.len() + data.len();
        if length > MAX_BODY_BYTES {
            return Err(BodyError::TooLarge);
        }
        let reserving = client_memory.reserve_for_body(&mut reservation, length);
        if timeout_at(times_out_at, reserving).await.is_err() {
            return Err(BodyError::NoMemory);
        }
        append(&mut received, &data, declared_bytes as usize);
    }
}

/// Appends data, and allocates at most [`BODY_STEP_BYTES`] ahead of what has arrived. Frames may be of a few bytes each.
fn append(received: &mut Vec<u8>, data: &[u8], declared_bytes: usize) {
    let length = received.len() + data.len();
    if length > received.capacity() {
        let rounded = length.next_multiple_of(BODY_STEP_BYTES);
        let capacity = rounded.min(declared_bytes.max(length));
        received.reserve_exact(capacity - received.len());
    }
    received.extend_from_slice(data);
}
