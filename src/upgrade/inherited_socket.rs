//! Takes over the listening socket that a process inherits from the platform that starts it. The module keeps no state:
//! the caller owns the socket. It contains the only `unsafe` code of the program.

use socket2::Socket;
use std::io;
use std::net::TcpListener;
use std::num::ParseIntError;
use std::os::fd::{FromRawFd, IntoRawFd, RawFd};
use thiserror::Error;

/// The lowest descriptor that can be an inherited socket; those below are standard input, output and error.
const FIRST_INHERITABLE_DESCRIPTOR: RawFd = 3;

/// Why a descriptor can't be used as the inherited listening socket.
#[derive(Debug, Error)]
pub enum InheritedSocketError {
    /// The text is not an integer.
    #[error("the inherited socket {descriptor:?}: not the number of a descriptor")]
    NotANumber {
        /// The text, as the environment gives it.
        descriptor: String,
        /// Why it could not be parsed.
        source: ParseIntError,
    },
    /// The number is negative or belongs to a standard stream.
    #[error(
        "the inherited socket {descriptor:?}: not the number of a descriptor that is handed on"
    )]
    NotInheritable {
        /// The text, as the environment gives it.
        descriptor: String,
    },
    /// The descriptor is a socket that does not listen.
    #[error("the inherited socket {descriptor:?}: it does not listen")]
    NotListening {
        /// The text, as the environment gives it.
        descriptor: String,
    },
    /// A system call on the descriptor failed, for example because it is not open or not a socket.
    #[error("the inherited socket {descriptor:?}: {source}")]
    Unusable {
        /// The text, as the environment gives it.
        descriptor: String,
        /// The system's error.
        source: io::Error,
    },
}

/// Takes ownership of the inherited listening socket with this descriptor number and makes it non-blocking.
///
/// Must be called once, before anything else opens a descriptor.
///
/// # Errors
///
/// The text is not the number of an inheritable descriptor, or the descriptor is not an open, listening socket. A
/// descriptor that is open but unsuitable stays open.
#[allow(unsafe_code)]
pub fn inherited_listener(descriptor: &str) -> Result<TcpListener, InheritedSocketError> {
    let number = parse_descriptor(descriptor)?;
    // SAFETY: the parent process left the descriptor open and named it in the environment. No other code owns the
    // descriptor, as this runs once and before anything else opens one. If the environment is wrong, the descriptor is
    // not open or not a listening socket. Ownership is then released below, so that the descriptor is not closed here.
    let socket = unsafe { Socket::from_raw_fd(number) };
    let error = match prepare_listener(&socket) {
        Ok(true) => return Ok(socket.into()),
        Ok(false) => InheritedSocketError::NotListening {
            descriptor: descriptor.to_owned(),
        },
        Err(source) => InheritedSocketError::Unusable {
            descriptor: descriptor.to_owned(),
            source,
        },
    };
    let _not_closed = socket.into_raw_fd();
    Err(error)
}

/// Parses the number of an inheritable descriptor.
fn parse_descriptor(descriptor: &str) -> Result<RawFd, InheritedSocketError> {
    let number: RawFd = descriptor
        .parse()
        .map_err(|source| InheritedSocketError::NotANumber {
            descriptor: descriptor.to_owned(),
            source,
        })?;
    if number < FIRST_INHERITABLE_DESCRIPTOR {
        return Err(InheritedSocketError::NotInheritable {
            descriptor: descriptor.to_owned(),
        });
    }
    Ok(number)
}

/// Makes the socket non-blocking and returns whether it listens.
fn prepare_listener(socket: &Socket) -> io::Result<bool> {
    let is_listener = socket.is_listener()?;
    socket.set_nonblocking(true)?;
    Ok(is_listener)
}
