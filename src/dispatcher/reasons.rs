//! Typed reasons: why an attempt ended, and why a request was closed or its lease released.
//!
//! They are what the log and the counters name, so that the cause of an answer can be read without a second run.

use crate::routing::api::{GiveUp, Status};

/// Why an attempt ended. Each reason belongs to one [`Status`], which is all that the decision module is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum EndReason {
    /// A writer's stream came to its good end.
    Served,
    /// A reader has read the prompt.
    Read,
    /// The server was full or draining, and says that it did not run.
    TurnedAway,
    /// The server found no read state for the request.
    StateGone,
    /// The server found the request itself bad.
    BadRequest,
    /// The server answered with an error.
    ErrorAnswer,
    /// The server's answer could not be read.
    UnreadableAnswer,
    /// The server's stream held something that is no event.
    SpoiltStream,
    /// Nothing was heard from the server within the attempt's time.
    Silent,
    /// A stream had begun, and then no event came for too long.
    StreamSilent,
    /// The connection did not come up.
    DialFailed,
    /// The server's address was barred before the request was written.
    Barred,
    /// All places for connections were taken.
    NoPlace,
    /// The connection broke before the request's last byte was written.
    NotWritten,
    /// The request could not be put into the wire's form, or the rules forbid the send.
    NotSent,
    /// The connection broke after the request was written.
    ConnectionBroke,
    /// A kept connection broke before anything came back.
    KeptConnectionBroke,
    /// The core cancelled the attempt.
    Cancelled,
    /// The client left its stream.
    ClientLeft,
    /// The task of the attempt died.
    TaskDied,
}

impl EndReason {
    /// The outcome that the decision module is told.
    pub fn status(self) -> Status {
        match self {
            EndReason::Served => Status::Ok,
            EndReason::Read => Status::Read,
            EndReason::TurnedAway | EndReason::StateGone => Status::Full,
            EndReason::BadRequest => Status::Rejected,
            EndReason::ErrorAnswer | EndReason::UnreadableAnswer | EndReason::SpoiltStream => {
                Status::Error
            }
            EndReason::Silent => Status::Timeout,
            EndReason::DialFailed | EndReason::Barred => Status::ConnectFailed,
            EndReason::NoPlace | EndReason::NotWritten | EndReason::NotSent => Status::Moot,
            EndReason::ConnectionBroke | EndReason::StreamSilent | EndReason::TaskDied => {
                Status::Reset
            }
            EndReason::KeptConnectionBroke => Status::Stale,
            EndReason::Cancelled | EndReason::ClientLeft => Status::Cancelled,
        }
    }

    /// The reason of an outcome of which no more is known.
    pub fn of(status: Status) -> EndReason {
        match status {
            Status::Ok => EndReason::Served,
            Status::Read => EndReason::Read,
            Status::Error => EndReason::ErrorAnswer,
            Status::Full => EndReason::TurnedAway,
            Status::Timeout => EndReason::Silent,
            Status::ConnectFailed => EndReason::DialFailed,
            Status::Reset => EndReason::ConnectionBroke,
            Status::Stale => EndReason::KeptConnectionBroke,
            Status::Cancelled => EndReason::Cancelled,
            Status::Moot => EndReason::NotSent,
            Status::Rejected => EndReason::BadRequest,
        }
    }

    /// Whether a running server has answered this attempt.
    pub fn is_answer(self) -> bool {
        matches!(
            self,
            EndReason::Served
                | EndReason::Read
                | EndReason::TurnedAway
                | EndReason::StateGone
                | EndReason::BadRequest
                | EndReason::ErrorAnswer
        )
    }

    /// Whether the attempt was ended here, by closing its connection, while a server may have had it.
    pub fn is_given_up(self) -> bool {
        matches!(
            self,
            EndReason::Silent | EndReason::Cancelled | EndReason::ClientLeft
        )
    }

    /// Whether it is certain that no server had the whole request.
    pub fn never_arrived(self) -> bool {
        matches!(self.status(), Status::ConnectFailed | Status::Moot)
    }

    /// Whether it is certain that the request had no effect by this attempt.
    pub fn never_ran(self) -> bool {
        let turned_away = matches!(
            self.status(),
            Status::Full | Status::Rejected | Status::Read
        );
        turned_away || self.never_arrived()
    }

    /// Whether a server that reads may have read the prompt to its end, although it did not say so.
    pub fn may_have_read(self) -> bool {
        !self.never_arrived() && (!self.is_answer() || self == EndReason::ErrorAnswer)
    }

    /// Whether attempts end so in the ordinary course of a request.
    pub fn is_ordinary(self) -> bool {
        matches!(
            self,
            EndReason::Served | EndReason::Read | EndReason::Cancelled | EndReason::ClientLeft
        )
    }
}

/// Why a request was closed without a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CloseReason {
    /// The decision module refused it: nothing may have run.
    Refused(GiveUp),
    /// The decision module gave it up: something may have run.
    Failed(GiveUp),
    /// Its deadline passed, and the module had not answered it.
    DeadlinePassed,
    /// A server found it bad.
    BadRequest,
    /// As many requests are held as may be.
    TableFull,
    /// A request of its id is in flight.
    InFlight,
    /// A request of its id ended of late and may have run.
    MayHaveRun,
    /// Its client left.
    ClientLeft,
}

/// Why servers are told to release what they hold for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ReleaseReason {
    /// The request is over, or its stream has begun.
    NotNeeded,
    /// A state has waited for as long as it may, and no attempt is out.
    HeldTooLong,
    /// A state has waited for as long as it may, and nothing proves that the attempt that is out has arrived.
    SendNotHeard,
}
