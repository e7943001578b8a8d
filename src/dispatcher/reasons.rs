//! Typed reasons: why an attempt ended, and why a request was closed or its reservation released.
//!
//! The log and the counters name them, so that the cause of an outcome can be read without a second run.

use crate::routing::api::{AttemptStatus, FailureReason};

/// Why an attempt ended. Each reason belongs to one [`AttemptStatus`], which is all that the router receives.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum EndReason {
    /// A decode endpoint's stream is complete.
    Served,
    /// A decode endpoint's stream goes on in another process of this dispatcher.
    Migrated,
    /// A prefill endpoint has processed the prompt.
    PrefillDone,
    /// The endpoint was overloaded or draining, and reports that the request did not run.
    Overloaded,
    /// The endpoint found no KV cache for the request.
    KvStateMissing,
    /// The endpoint found the request itself invalid.
    InvalidRequest,
    /// The endpoint responded with an error.
    ErrorResponse,
    /// The endpoint's response could not be parsed.
    UnreadableResponse,
    /// The endpoint's stream held something that is not an event.
    MalformedStream,
    /// Nothing was received from the endpoint within the attempt's timeout.
    Timeout,
    /// A stream had begun, and then no event was received for too long.
    StreamIdleTimeout,
    /// The connection could not be established.
    ConnectFailed,
    /// The endpoint's address was blocked before the request was written.
    EndpointBlocked,
    /// All permits for connections were in use.
    NoConnectionPermit,
    /// The connection broke before the request's last byte was written.
    RequestNotWritten,
    /// The request could not be encoded, or the rules forbid the attempt.
    NotSent,
    /// The connection broke after the request was written.
    ConnectionReset,
    /// A pooled connection broke before anything was received.
    StaleConnection,
    /// The core cancelled the attempt.
    Cancelled,
    /// The client disconnected from its stream.
    ClientDisconnected,
    /// The attempt's task panicked.
    TaskPanicked,
}

impl EndReason {
    /// The status that the router receives.
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

    /// The reason for a status of which no more is known.
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

    /// Whether a running endpoint has responded to this attempt.
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

    /// Whether the attempt was ended here, by closing its connection, while an endpoint may have had it.
    pub fn is_abandoned(self) -> bool {
        matches!(
            self,
            EndReason::Timeout | EndReason::Cancelled | EndReason::ClientDisconnected
        )
    }

    /// Whether it is certain that no endpoint had the whole request.
    pub fn never_arrived(self) -> bool {
        matches!(
            self.status(),
            AttemptStatus::ConnectFailed | AttemptStatus::NotSent
        )
    }

    /// Whether it is certain that this attempt had no effect.
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

    /// Whether a prefill endpoint may have completed the prefill, although it did not report that.
    pub fn may_have_prefilled(self) -> bool {
        !self.never_arrived() && (!self.is_response() || self == EndReason::ErrorResponse)
    }

    /// Whether attempts end for this reason in the ordinary course of a request.
    pub fn is_ordinary(self) -> bool {
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

/// Why a request was closed without a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CloseReason {
    /// The router shed it: nothing may have run.
    Shed(FailureReason),
    /// The router failed it: something may have run.
    Failed(FailureReason),
    /// Its deadline passed, and the router had not closed it.
    DeadlinePassed,
    /// An endpoint found it invalid.
    InvalidRequest,
    /// The request table is full.
    TableFull,
    /// A request of its client request id is in flight.
    DuplicateId,
    /// A request of its client request id ended recently and may have run.
    MayHaveRun,
    /// Its client disconnected.
    ClientDisconnected,
}

/// Why endpoints are told to release what they reserve for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ReleaseReason {
    /// The request is closed, or its stream has begun.
    NoLongerNeeded,
    /// A KV cache has waited for as long as it may, and no attempt is in flight.
    Expired,
    /// A KV cache has waited for as long as it may, and nothing proves that the attempt in flight has arrived.
    AttemptUnconfirmed,
}
