//! Why a dispatcher process can't start, or has ended early. `main` prints the text, which is one line.

use crate::config::ConfigError;
use std::io;
use std::path::PathBuf;
use thiserror::Error;
use tokio::task::JoinError;

/// A process that can't start, or that had to end.
#[derive(Debug, Error)]
pub enum ServeError {
    /// The configuration can't be used.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The asynchronous runtime can't start.
    #[error("{0}")]
    Runtime(#[source] io::Error),
    /// A signal handler can't be installed.
    #[error("{0}")]
    Signal(#[source] io::Error),
    /// The inherited descriptor is no listening socket.
    #[error("{0}")]
    InheritedSocket(String),
    /// The inherited socket can't be used by the runtime.
    #[error("{0}")]
    InheritedListener(#[source] io::Error),
    /// An address can't be bound.
    #[error("{address}: {source}")]
    Bind {
        /// The address.
        address: String,
        /// Why.
        source: io::Error,
    },
    /// The configuration's `seed` isn't hexadecimal.
    #[error("the seed is not hexadecimal")]
    InvalidSeed(#[source] std::num::ParseIntError),
    /// The recording's file can't be created or written.
    #[error("the recording {}: {source}", path.display())]
    Recording {
        /// The file.
        path: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// There is no key for the names in the recording.
    #[error("the recording {}: {error}", path.display())]
    RecordingKey {
        /// The file.
        path: PathBuf,
        /// Why the system gives no random bytes.
        error: getrandom::Error,
    },
    /// A task without which the dispatcher can't answer requests has ended.
    #[error("a task that must not end has ended: {0:?}")]
    TaskEnded(Result<(), JoinError>),
}
