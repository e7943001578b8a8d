//! Migration of live streams to a successor process, with the sockets of their client and of their upstream.
//!
//! The upstream side of a stream offers its [`UpstreamHalf`] down the stream's own channel, behind the last event; the
//! client's connection adds its socket once all before the offer is written ([`MigrationSlot`]). [`send_streams`] sends
//! both to the successor in one frame and reports to both sides whether it accepted them: where it did not, they go on.
//! In the successor [`receive_streams`] forwards each stream to its end.
//!
//! A stream belongs to one process at any time: to the sender up to the acceptance, to the receiver from then on.

mod forwarder;
mod frame;
mod receiver;
mod sender;
mod slot;

pub use receiver::receive_streams;
pub use sender::send_streams;
pub use slot::{
    migration_signal, MigratingStream, MigrationSender, MigrationSignal, MigrationSlot,
    SharedMigrationSlot, UpstreamHalf,
};

use socket2::{SockAddr, SockRef};
use std::fmt::{self, Display, Formatter};
use std::io;
use std::net::SocketAddr;
use std::os::fd::AsFd;
use thiserror::Error;

/// The peers of a stream's two sockets, by which the logs of two processes name the same stream.
struct StreamSockets {
    client: Option<SocketAddr>,
    upstream: Option<SocketAddr>,
}

impl StreamSockets {
    fn of(client: &impl AsFd, upstream: &impl AsFd) -> StreamSockets {
        StreamSockets {
            client: peer_address(client),
            upstream: peer_address(upstream),
        }
    }
}

fn peer_address(socket: &impl AsFd) -> Option<SocketAddr> {
    let address = SockRef::from(socket).peer_addr();
    address.as_ref().ok().and_then(SockAddr::as_socket)
}

impl Display for StreamSockets {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        for (name, address) in [("client", self.client), ("upstream", self.upstream)] {
            match address {
                Some(address) => write!(formatter, "{name} {address} ")?,
                None => write!(formatter, "{name} disconnected ")?,
            }
        }
        Ok(())
    }
}

/// Why a stream was not migrated, or broke after it was.
#[derive(Debug, Error)]
enum MigrationError {
    /// No process is there to receive it.
    #[error("no successor")]
    NoSuccessor,
    /// The event that has begun is too long for a frame.
    #[error("partial event too long")]
    PartialEventTooLong,
    /// The header did not fit into one message.
    #[error("frame header truncated")]
    HeaderTruncated,
    /// The successor answered, but not with its acceptance.
    #[error("not accepted by the successor")]
    NotAccepted,
    /// The sender's process belongs to another user.
    #[error("sender is another user's process")]
    ForeignUser,
    /// What was received is no frame.
    #[error("invalid frame")]
    InvalidFrame,
    /// The sender did not send the whole frame in time.
    #[error("frame timed out")]
    FrameTimeout,
    /// The upstream sent no whole event for too long.
    #[error("upstream silent")]
    UpstreamSilent,
    /// The upstream closed its connection before the stream's end.
    #[error("upstream disconnected")]
    UpstreamDisconnected,
    /// The upstream sent what is no chunked stream of events.
    #[error("malformed stream")]
    MalformedStream,
    /// The client closed its connection.
    #[error("client disconnected")]
    ClientDisconnected,
    /// The client accepted no bytes for too long.
    #[error("client stalled")]
    ClientStalled,
    /// A system call on one of the sockets failed.
    #[error(transparent)]
    Io(#[from] io::Error),
}
