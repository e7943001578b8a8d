//! Migration of live streams to another process of the dispatcher, with the sockets of their client and of their upstream.
//!
//! The upstream side of a stream offers its [`UpstreamHalf`] down the stream's own channel, behind the last event; the
//! client's connection adds its [`ClientHalf`] once all before the offer is written, or buffered to go along
//! ([`MigrationSlot`]). [`send_streams`] sends both to the receiving process in one frame and reports to both sides
//! whether it accepted them: where it did not, they go on, and try again a moment later. In the receiving process
//! [`receive_streams`] queues each stream for the frontend and the backend, which go on with it as with one that the
//! process took itself; it can migrate again from there.
//!
//! A stream belongs to one process at any time: to the sender up to the acceptance, to the receiver from then on.

mod frame;
mod receiver;
mod sender;
mod slot;

pub use frame::{ClientState, ConnectionState, UpstreamState};
pub use receiver::{receive_streams, ReceivedStream, ReceivedUpstream};
pub use sender::{send_streams, ReceiverProcess};
pub use slot::{
    migration_signal, ClientHalf, MigratingStream, MigrationHandle, MigrationSender,
    MigrationSignal, MigrationSlot, OfferClaim, SharedMigrationSlot, UpstreamHalf,
};

use std::io;
use thiserror::Error;

/// Why a stream was not migrated.
#[derive(Debug, Error)]
enum MigrationError {
    /// No process is there to receive it.
    #[error("no process receives streams")]
    NoReceiver,
    /// The event that has begun, or what the client has not taken, is too long for a frame.
    #[error("too long for a frame")]
    FrameTooLong,
    /// The receiver did not accept the stream.
    #[error("not accepted by the receiver")]
    NotAccepted,
    /// The receiver did not answer in time, and the stream was withdrawn.
    #[error("not accepted in time")]
    AcceptanceTimeout,
    /// This process ends and accepts no more streams.
    #[error("this process ends")]
    ProcessEnds,
    /// The sender's process belongs to another user.
    #[error("sender is another user's process")]
    ForeignUser,
    /// What was received is no frame.
    #[error("invalid frame")]
    InvalidFrame,
    /// The descriptors did not come along: this process is short of them.
    #[error("descriptors missing")]
    MissingDescriptor,
    /// The sender did not send the whole frame in time.
    #[error("frame timed out")]
    FrameTimeout,
    /// A system call on one of the sockets failed.
    #[error(transparent)]
    Io(#[from] io::Error),
}
