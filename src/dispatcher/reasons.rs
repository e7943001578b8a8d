//! Typed reasons for the end of an attempt, the close of a request and the release of a reservation.
//!
//! The log and the counters print them in their `Debug` form, so that the cause of an outcome can be found without
//! reproducing it.

use crate::routing::api::{AttemptStatus, FailureReason};

/// Why an attempt ended. The router receives only the [`AttemptStatus`] to which the reason maps.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum EndReason {
    /// The stream of a decode endpoint is complete.
    Served,
    /// The stream of a decode endpoint continues in another process of this dispatcher.
    Migrated,
    /// A prefill endpoint has processed the prompt.
    PrefillDone,
    /// The endpoint was overloaded or draining, and reported that the request did not run.
    Overloaded,
    /// The endpoint found no KV cache for the request.
    KvStateMissing,
    /// The endpoint rejected the request as invalid.
    InvalidRequest,
    /// The endpoint responded with an error.
    ErrorResponse,
    /// The endpoint's response could not be parsed.
    UnreadableResponse,
    /// The endpoint's stream contained data that is not a valid event.
    MalformedStream,
    /// Nothing was received from the endpoint within the attempt's timeout.
    Timeout,
    /// The stream had begun, and then no event was received within the idle timeout.
    StreamIdleTimeout,
    /// The connection could not be established.
    ConnectFailed,
    /// The endpoint's address was blocked before the request was written.
    EndpointBlocked,
    /// All connection permits were in use.
    NoConnectionPermit,
    /// The connection broke before the last byte of the request was written.
    RequestNotWritten,
    /// The request could not be encoded, or the rules forbade the attempt.
    NotSent,
    /// The connection broke after the request was written.
    ConnectionReset,
    /// A pooled connection broke before anything was received.
    StaleConnection,
    /// The core cancelled the attempt.
    Cancelled,
    /// The client disconnected while the stream was being forwarded to it.
    ClientDisconnected,
    /// The attempt's task panicked.
    TaskPanicked,
}

impl EndReason {
    /// Returns the status that the router receives.
    pub fn status(self) -> AttemptStatus {
        match self {
            EndReason::Served | EndReason::Migrated => AttemptStatus::Served,
            EndReason::PrefillDone => AttemptStatus::PrefillDone,
            EndReason::Overloaded => AttemptStatus::Overloaded,
            EndReason::KvStateMissing => AttemptStatus::KvStateMissing,
            EndReason::InvalidRequest => AttemptStatus::InvalidRequest,
            EndReason::ErrorResponse
            | EndReason::UnreadableResponse
            | EndReason::MalformedStream => AttemptStatus::Error,
            EndReason::Timeout => AttemptStatus::Timeout,
            EndReason::ConnectFailed | EndReason::EndpointBlocked => AttemptStatus::ConnectFailed,
            EndReason::NoConnectionPermit | EndReason::RequestNotWritten | EndReason::NotSent => {
                AttemptStatus::NotSent
            }
            EndReason::ConnectionReset | EndReason::StreamIdleTimeout | EndReason::TaskPanicked => {
                AttemptStatus::Reset
            }
            EndReason::StaleConnection => AttemptStatus::StaleConnection,
            EndReason::Cancelled | EndReason::ClientDisconnected => AttemptStatus::Cancelled,
        }
    }

    /// Returns the reason that stands for a status when nothing more is known.
    pub fn from_status(status: AttemptStatus) -> EndReason {
        match status {
            AttemptStatus::Served => EndReason::Served,
            AttemptStatus::PrefillDone => EndReason::PrefillDone,
            AttemptStatus::Error => EndReason::ErrorResponse,
            AttemptStatus::Overloaded => EndReason::Overloaded,
            AttemptStatus::KvStateMissing => EndReason::KvStateMissing,
            AttemptStatus::Timeout => EndReason::Timeout,
            AttemptStatus::ConnectFailed => EndReason::ConnectFailed,
            AttemptStatus::Reset => EndReason::ConnectionReset,
            AttemptStatus::StaleConnection => EndReason::StaleConnection,
            AttemptStatus::Cancelled => EndReason::Cancelled,
            AttemptStatus::NotSent => EndReason::NotSent,
            AttemptStatus::InvalidRequest => EndReason::InvalidRequest,
        }
    }

    /// Returns whether a running endpoint has responded to the attempt.
    pub fn is_response(self) -> bool {
        matches!(
            self,
            EndReason::Served
                | EndReason::Migrated
                | EndReason::PrefillDone
                | EndReason::Overloaded
                | EndReason::KvStateMissing
                | EndReason::InvalidRequest
                | EndReason::ErrorResponse
        )
    }

    /// Returns whether this process ended the attempt by closing its connection, while an endpoint may have been handling it.
    pub fn is_abandoned(self) -> bool {
        matches!(
            self,
            EndReason::Timeout | EndReason::Cancelled | EndReason::ClientDisconnected
        )
    }

    /// Returns whether it is certain that no endpoint received the whole request.
    pub fn never_arrived(self) -> bool {
        matches!(
            self.status(),
            AttemptStatus::ConnectFailed | AttemptStatus::NotSent
        )
    }

    /// Returns whether it is certain that the attempt had no effect.
    pub fn never_ran(self) -> bool {
        let was_rejected = matches!(
            self.status(),
            AttemptStatus::Overloaded
                | AttemptStatus::KvStateMissing
                | AttemptStatus::InvalidRequest
                | AttemptStatus::PrefillDone
        );
        was_rejected || self.never_arrived()
    }

    /// Returns whether a prefill endpoint may have completed the prefill without reporting it.
    pub fn may_have_prefilled(self) -> bool {
        !self.never_arrived() && (!self.is_response() || self == EndReason::ErrorResponse)
    }

    /// Returns whether attempts end for this reason in normal operation. Such ends are counted, but not logged as failures.
    pub fn is_expected(self) -> bool {
        matches!(
            self,
            EndReason::Served
                | EndReason::Migrated
                | EndReason::PrefillDone
                | EndReason::Cancelled
                | EndReason::ClientDisconnected
        )
    }
}

/// Why a request was closed other than by the end of its stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CloseReason {
    /// The router shed it, with a response that tells the client that a retry is safe.
    Shed(FailureReason),
    /// The router failed it, or shed it although it may have run or may still run.
    Failed(FailureReason),
    /// Its deadline passed before the router closed it.
    DeadlinePassed,
    /// An endpoint rejected it as invalid.
    InvalidRequest,
    /// It was rejected on arrival, because the request table was full.
    TableFull,
    /// It was rejected on arrival, because this process shuts down too soon for its stream to end.
    ShuttingDown,
    /// It was rejected on arrival, because a request with the same client request id is open.
    DuplicateId,
    /// It was rejected on arrival, because a request with the same client request id finished recently and may have run.
    MayHaveRun,
    /// Its client disconnected while it was open.
    ClientDisconnected,
}

/// Why endpoints are requested to release what they reserve for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ReleaseReason {
    /// The request is closed, or its stream has begun.
    NoLongerNeeded,
    /// The KV cache has been reserved for as long as it may, and no attempt is in flight.
    Expired,
    /// The KV cache has been reserved for as long as it may, and nothing proves that the attempt in flight has reached its
    /// endpoint.
    AttemptUnconfirmed,
}
