//! One exchange: a request, and the head of its response. A failed exchange is classified by whether the request may
//! have run.

use super::connection_pool::ConnectionPool;
use super::request_body::SingleFrameBody;
use crate::backend::attempt::ConnectionPolicy;
use crate::backend::connector::ConnectError;
use crate::backend::tracked_connection::TrackedConnection;
use crate::dispatcher::EndReason;
use hyper::body::Incoming;
use hyper::http::Extensions;
use hyper::{Request, Response};
use hyper_util::client::legacy::connect::{capture_connection, CaptureConnection};
use hyper_util::client::legacy::Error as ClientError;
use std::error::Error;
use std::io;
use std::sync::Arc;
use thiserror::Error;

/// Closes the connection of an incomplete exchange when it is dropped. The HTTP client alone would close the connection
/// only after some further task switches. But an attempt's end must not be reported before its connection is closed.
#[derive(Default)]
pub(super) struct CloseGuard {
    capture: Option<CaptureConnection>,
}

impl CloseGuard {
    /// Returns the connection of the exchange. `None` if none is established yet, or if the guard is disarmed.
    fn connection(&self) -> Option<Arc<TrackedConnection>> {
        let mut extras = Extensions::new();
        self.capture
            .as_ref()?
            .connection_metadata()
            .as_ref()?
            .get_extras(&mut extras);
        extras.remove::<Arc<TrackedConnection>>()
    }

    /// Makes the drop of this guard leave the connection open.
    pub(super) fn disarm(&mut self) {
        self.capture = None;
    }
}

impl Drop for CloseGuard {
    fn drop(&mut self) {
        if let Some(connection) = self.connection() {
            connection.close();
        }
    }
}

/// The head of a response, and the connection on which it arrived.
pub(super) struct ResponseHead {
    pub response: Response<Incoming>,
    pub connection: Option<Arc<TrackedConnection>>,
}

/// Why an exchange got no response head.
#[derive(Debug, Error)]
pub(super) enum ExchangeError {
    /// The request is not valid HTTP. Nothing was sent.
    #[error("invalid request")]
    InvalidRequest(#[source] hyper::http::Error),
    /// The connection could not be established, or failed during the exchange.
    #[error("exchange failed")]
    Failed {
        source: ClientError,
        /// The connection came from the pool, and no byte of a response arrived.
        may_be_stale: bool,
        /// The request's last byte was not written to the socket.
        has_unwritten_bytes: bool,
    },
}

impl ExchangeError {
    /// Whether the connection was established late. Nothing was written then, and the connection is retained.
    fn is_late_connect(&self) -> bool {
        let ExchangeError::Failed { source, .. } = self else {
            return false;
        };
        has_cause(source, |cause| {
            matches!(cause.downcast_ref(), Some(ConnectError::Late))
        })
    }

    /// Returns why the attempt ended. `is_body_taken` tells whether a connection has taken the request's body.
    pub(super) fn end_reason(&self, is_body_taken: bool) -> EndReason {
        let (source, may_be_stale, has_unwritten_bytes) = match self {
            ExchangeError::InvalidRequest(_) => return EndReason::NotSent,
            ExchangeError::Failed {
                source,
                may_be_stale,
                has_unwritten_bytes,
            } => (source, *may_be_stale, *has_unwritten_bytes),
        };
        if source.is_connect() || !is_body_taken {
            return end_reason_before_send(source);
        }
        if has_unwritten_bytes {
            return EndReason::RequestNotWritten; // not ConnectFailed: the endpoint accepted the connection
        }
        match end_reason_after_send(source) {
            EndReason::ConnectionReset if may_be_stale => EndReason::StaleConnection,
            reason => reason,
        }
    }
}

/// Sends a request and waits for the head of its response. If the connection was established late, nothing was written,
/// and the request is rebuilt and sent on that connection.
pub(super) async fn exchange(
    pool: &ConnectionPool,
    make_request: impl Fn() -> hyper::http::Result<Request<SingleFrameBody>>,
    policy: ConnectionPolicy,
    guard: &mut CloseGuard,
) -> Result<ResponseHead, ExchangeError> {
    let request = make_request().map_err(ExchangeError::InvalidRequest)?;
    match exchange_once(pool, request, policy, guard).await {
        Err(error) if error.is_late_connect() => {
            let request = make_request().map_err(ExchangeError::InvalidRequest)?;
            exchange_once(pool, request, policy, guard).await
        }
        result => result,
    }
}

async fn exchange_once(
    pool: &ConnectionPool,
    mut request: Request<SingleFrameBody>,
    policy: ConnectionPolicy,
    guard: &mut CloseGuard,
) -> Result<ResponseHead, ExchangeError> {
    let client = pool.client(policy);
    guard.capture = Some(capture_connection(&mut request));
    let result = client.request(request).await;
    let connection = guard.connection();
    match result {
        Ok(response) => Ok(ResponseHead {
            response,
            connection,
        }),
        Err(source) => {
            let may_be_stale = connection
                .as_ref()
                .is_some_and(|connection| connection.may_be_stale());
            if may_be_stale {
                pool.on_stale_connection();
            }
            let has_unwritten_bytes = connection
                .as_ref()
                .is_some_and(|connection| connection.has_unwritten_bytes());
            Err(ExchangeError::Failed {
                source,
                may_be_stale,
                has_unwritten_bytes,
            })
        }
    }
}

/// Whether `is_cause` holds for an error or for one of its sources.
fn has_cause(
    error: &(dyn Error + 'static),
    is_cause: impl Fn(&(dyn Error + 'static)) -> bool,
) -> bool {
    let mut next = Some(error);
    while let Some(error) = next {
        if is_cause(error) {
            return true;
        }
        next = error.source();
    }
    false
}

/// Whether an error means that the response is not valid HTTP. hyper reports an invalid head as a parse error, and
/// invalid chunks as an I/O error of invalid data or input.
fn is_unreadable_response(error: &(dyn Error + 'static)) -> bool {
    if let Some(error) = error.downcast_ref::<hyper::Error>() {
        return error.is_parse();
    }
    let kind = error.downcast_ref().map(io::Error::kind);
    matches!(
        kind,
        Some(io::ErrorKind::InvalidData | io::ErrorKind::InvalidInput)
    )
}

/// Returns why a request ended that may have run: its response is unreadable, which says nothing about the endpoint's
/// health, or its connection broke.
pub(super) fn end_reason_after_send(error: &(dyn Error + 'static)) -> EndReason {
    if has_cause(error, is_unreadable_response) {
        EndReason::UnreadableResponse
    } else {
        EndReason::ConnectionReset
    }
}

/// Returns why a request ended that never ran: its endpoint can't be reached, or there was no connection permit to try.
fn end_reason_before_send(error: &(dyn Error + 'static)) -> EndReason {
    let is_no_permit = |cause: &(dyn Error + 'static)| {
        matches!(cause.downcast_ref(), Some(ConnectError::NoPermit))
    };
    if has_cause(error, is_no_permit) {
        EndReason::NoConnectionPermit
    } else {
        EndReason::ConnectFailed
    }
}
