//! The errors with which a dispatcher process fails to start or ends early. `main` prints the text, which is one line.

use crate::config::ConfigError;
use std::io;
use std::path::PathBuf;
use thiserror::Error;
use tokio::task::JoinError;

/// Why a process can't start, or had to end.
#[derive(Debug, Error)]
pub enum ServeError {
    /// The configuration is invalid.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The asynchronous runtime could not be started.
    #[error("{0}")]
    Runtime(#[source] io::Error),
    /// A signal handler could not be installed.
    #[error("{0}")]
    Signal(#[source] io::Error),
    /// The inherited descriptor is not a listening socket.
    #[error("{0}")]
    InheritedSocket(String),
    /// The inherited socket could not be registered with the runtime.
    #[error("{0}")]
    InheritedListener(#[source] io::Error),
    /// A listener could not be bound to its address.
    #[error("{address}: {source}")]
    Bind {
        /// The address, as configured.
        address: String,
        /// The system's error.
        source: io::Error,
    },
    /// The configuration's `seed` is not a hexadecimal number of 64 bits.
    #[error("the seed is not hexadecimal")]
    InvalidSeed(#[source] std::num::ParseIntError),
    /// The operating system returned no random bytes for the process's identity.
    #[error("no random bytes: {0}")]
    Identity(#[source] getrandom::Error),
    /// The recording's file could not be created or written.
    #[error("the recording {}: {source}", path.display())]
    Recording {
        /// The recording's file, as named on the command line.
        path: PathBuf,
        /// The system's error.
        source: io::Error,
    },
    /// No key could be generated for the names in the recording.
    #[error("the recording {}: {error}", path.display())]
    RecordingKey {
        /// The recording's file, as named on the command line.
        path: PathBuf,
        /// Why the system returned no random bytes.
        error: getrandom::Error,
    },
    /// A task has ended without which the dispatcher can't answer requests.
    #[error("a task that must not end has ended: {0:?}")]
    TaskEnded(Result<(), JoinError>),
}
