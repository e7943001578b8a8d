//! Reads the body of a request into reserved memory, within the time limits of its connection.

use super::memory_budget::{BodyMemoryBudget, MAX_BODY_BYTES};
use super::ShutdownPhase;
use axum::body::Body;
use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{timeout_at, Instant};

/// Time to reserve memory for the body and to read it completely, from the end of the head. It does not depend on the
/// request's deadline, which the client chooses.
const BODY_TIMEOUT: Duration = Duration::from_millis(2200);

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

/// Reads a body into memory that is reserved for it. If the body has no declared length, memory for the longest
/// accepted body is reserved. `received_at` is when the head was complete.
pub(super) async fn read_body(
    body: Body,
    body_memory: &BodyMemoryBudget,
    received_at: Instant,
    arrivals_end: ArrivalsEnd,
) -> Result<Bytes, BodyError> {
    tokio::select! {
        biased;
        read = read_until_timeout(body, body_memory, received_at + BODY_TIMEOUT) => read,
        () = arrivals_end.wait() => Err(BodyError::ShuttingDown),
    }
}

async fn read_until_timeout(
    body: Body,
    body_memory: &BodyMemoryBudget,
    times_out_at: Instant,
) -> Result<Bytes, BodyError> {
    let declared_bytes = http_body::Body::size_hint(&body)
        .exact()
        .unwrap_or(MAX_BODY_BYTES as u64);
    if declared_bytes > MAX_BODY_BYTES as u64 {
        return Err(BodyError::TooLarge);
    }
    let reserving = body_memory.reserve(declared_bytes as usize);
    let Ok(Some(reservation)) = timeout_at(times_out_at, reserving).await else {
        return Err(BodyError::NoMemory);
    };
    match timeout_at(times_out_at, Limited::new(body, MAX_BODY_BYTES).collect()).await {
        Ok(Ok(body)) => Ok(reservation.attach(body.to_bytes())),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(BodyError::TooLarge),
        Ok(Err(_)) => Err(BodyError::Incomplete),
        Err(_) => Err(BodyError::TimedOut),
    }
}
