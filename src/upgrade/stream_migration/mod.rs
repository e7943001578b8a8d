//! Migrates live streams, with their client and upstream sockets, to another process of the dispatcher.
//!
//! The backend offers the [`UpstreamHalf`] of a stream through the stream's own channel, after the last event that it
//! has forwarded. The client's connection adds the [`ClientHalf`] in its [`MigrationSlot`], once everything before the
//! offer is written to the socket or buffered as part of the connection's state. [`send_streams`] sends both
//! halves to the receiving process in one frame, and reports to both sides whether that process has accepted the
//! stream. If it has not, the stream continues here and tries again later. In the receiving process [`receive_streams`]
//! queues each stream. The frontend and the backend there continue it like a stream that the process has started, so
//! it can migrate again.
//!
//! Invariant: exactly one process owns a stream at any time, the sender until the acceptance and the receiver after it.

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
    /// There is no process that could receive the stream.
    #[error("no process receives streams")]
    NoReceiver,
    /// A part of the state, such as the partial event or the unsent bytes, exceeds the limits of a frame.
    #[error("too long for a frame")]
    FrameTooLong,
    /// The receiver did not accept the stream, or knows only a frame version that can't carry all of its state.
    #[error("not accepted by the receiver")]
    NotAccepted,
    /// The receiver did not answer in time, and the sender has withdrawn the stream.
    #[error("not accepted in time")]
    AcceptanceTimeout,
    /// This process shuts down and accepts no more streams.
    #[error("this process ends")]
    ProcessEnds,
    /// The sending process runs as another user.
    #[error("sender is another user's process")]
    ForeignUser,
    /// The received bytes are not a valid frame.
    #[error("invalid frame")]
    InvalidFrame,
    /// The frame came without its two descriptors. The system drops them if this process has too many open.
    #[error("descriptors missing")]
    MissingDescriptor,
    /// The whole frame did not arrive in time.
    #[error("frame timed out")]
    FrameTimeout,
    /// A system call on a socket failed.
    #[error(transparent)]
    Io(#[from] io::Error),
}
