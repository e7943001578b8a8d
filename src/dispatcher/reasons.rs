//! Typed reasons: why an attempt ended, and why a request was closed or its lease released.
//!
//! They are what the log and the counters name, so that the cause of an answer can be read without a second run.

use crate::routing::api::{AttemptStatus, FailureReason};

/// Why an attempt ended. Each reason belongs to one [`AttemptStatus`], which is all that the decision module is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum EndReason {
    /// A writer's stream came to its good end.
    Served,
    /// A reader has read the prompt.
    PrefillDone,
    /// The server was full or draining, and says that it did not run.
    Overloaded,
    /// The server found no read state for the request.
    KvStateMissing,
    /// The server found the request itself bad.
    InvalidRequest,
    /// The server answered with an error.
    ErrorResponse,
    /// The server's answer could not be read.
    UnreadableResponse,
    /// The server's stream held something that is no event.
    MalformedStream,
    /// Nothing was heard from the server within the attempt's time.
    Timeout,
    /// A stream had begun, and then no event came for too long.
    StreamIdleTimeout,
    /// The connection did not come up.
    ConnectFailed,
    /// The server's address was barred before the request was written.
    EndpointBlocked,
    /// All places for connections were taken.
    NoConnectionPermit,
    /// The connection broke before the request's last byte was written.
    RequestNotWritten,
    /// The request could not be put into the wire's form, or the rules forbid the send.
    NotSent,
    /// The connection broke after the request was written.
    ConnectionReset,
    /// A kept connection broke before anything came back.
    StaleConnection,
    /// The core cancelled the attempt.
    Cancelled,
    /// The client left its stream.
    ClientDisconnected,
    /// The task of the attempt died.
    TaskPanicked,
}

impl EndReason {
    /// The outcome that the decision module is told.
    pub fn status(self) -> AttemptStatus {
        match self {
            EndReason::Served => AttemptStatus::Served,
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

    /// The reason of an outcome of which no more is known.
    pub fn of(status: AttemptStatus) -> EndReason {
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

    /// Whether a running server has answered this attempt.
    pub fn is_answer(self) -> bool {
        matches!(
            self,
            EndReason::Served
                | EndReason::PrefillDone
                | EndReason::Overloaded
                | EndReason::KvStateMissing
                | EndReason::InvalidRequest
                | EndReason::ErrorResponse
        )
    }

    /// Whether the attempt was ended here, by closing its connection, while a server may have had it.
    pub fn is_given_up(self) -> bool {
        matches!(
            self,
            EndReason::Timeout | EndReason::Cancelled | EndReason::ClientDisconnected
        )
    }

    /// Whether it is certain that no server had the whole request.
    pub fn never_arrived(self) -> bool {
        matches!(
            self.status(),
            AttemptStatus::ConnectFailed | AttemptStatus::NotSent
        )
    }

    /// Whether it is certain that the request had no effect by this attempt.
    pub fn never_ran(self) -> bool {
        let turned_away = matches!(
            self.status(),
            AttemptStatus::Overloaded
                | AttemptStatus::KvStateMissing
                | AttemptStatus::InvalidRequest
                | AttemptStatus::PrefillDone
        );
        turned_away || self.never_arrived()
    }

    /// Whether a server that reads may have read the prompt to its end, although it did not say so.
    pub fn may_have_read(self) -> bool {
        !self.never_arrived() && (!self.is_answer() || self == EndReason::ErrorResponse)
    }

    /// Whether attempts end so in the ordinary course of a request.
    pub fn is_ordinary(self) -> bool {
        matches!(
            self,
            EndReason::Served
                | EndReason::PrefillDone
                | EndReason::Cancelled
                | EndReason::ClientDisconnected
        )
    }
}

/// Why a request was closed without a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CloseReason {
    /// The decision module refused it: nothing may have run.
    Shed(FailureReason),
    /// The decision module gave it up: something may have run.
    Failed(FailureReason),
    /// Its deadline passed, and the module had not answered it.
    DeadlinePassed,
    /// A server found it bad.
    InvalidRequest,
    /// As many requests are held as may be.
    TableFull,
    /// A request of its id is in flight.
    DuplicateId,
    /// A request of its id ended of late and may have run.
    MayHaveRun,
    /// Its client left.
    ClientDisconnected,
}

/// Why servers are told to release what they hold for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ReleaseReason {
    /// The request is over, or its stream has begun.
    NoLongerNeeded,
    /// A state has waited for as long as it may, and no attempt is out.
    Expired,
    /// A state has waited for as long as it may, and nothing proves that the attempt that is out has arrived.
    AttemptUnconfirmed,
}
