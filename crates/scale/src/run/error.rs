//! Errors that end a scale run.

use super::resources::Shortage;
use crate::process::ProcessError;
use hdrhistogram::{AdditionError, CreationError};
use std::error::Error;
use std::fmt;
use tokio::task::JoinError;

/// A reason for which a scale run cannot be started or completed.
#[derive(Debug)]
pub enum RunError {
    /// The machine lacks a resource that the scenario needs; nothing was started.
    Shortage {
        /// The scenario's name.
        scenario: String,
        /// The resource that is lacking.
        shortage: Shortage,
    },
    /// A socket of the bench could not be opened.
    Socket(std::io::Error),
    /// A real dispatcher could not be started, or did not shut down cleanly.
    Process(ProcessError),
    /// A real dispatcher exited right after it was ready.
    Exited {
        /// The dispatcher's name.
        name: String,
    },
    /// A histogram could not be created.
    Histogram(CreationError),
    /// Two histograms could not be added.
    HistogramAddition(AdditionError),
    /// The task that sends the load to a dispatcher panicked.
    Load(JoinError),
    /// The operator interrupted the run.
    Interrupted,
}

impl fmt::Display for RunError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RunError::Shortage { scenario, shortage } => {
                write!(formatter, "{scenario}: {shortage}")
            }
            RunError::Socket(error) => error.fmt(formatter),
            RunError::Process(error) => error.fmt(formatter),
            RunError::Exited { name } => {
                write!(formatter, "{name} exited right after it was ready")
            }
            RunError::Histogram(error) => error.fmt(formatter),
            RunError::HistogramAddition(error) => error.fmt(formatter),
            RunError::Load(error) => error.fmt(formatter),
            RunError::Interrupted => formatter.write_str("interrupted"),
        }
    }
}

impl Error for RunError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            RunError::Socket(error) => Some(error),
            RunError::Process(error) => Some(error),
            RunError::Histogram(error) => Some(error),
            RunError::HistogramAddition(error) => Some(error),
            RunError::Load(error) => Some(error),
            RunError::Shortage { .. } | RunError::Exited { .. } | RunError::Interrupted => None,
        }
    }
}

impl From<std::io::Error> for RunError {
    fn from(error: std::io::Error) -> RunError {
        RunError::Socket(error)
    }
}

impl From<ProcessError> for RunError {
    fn from(error: ProcessError) -> RunError {
        RunError::Process(error)
    }
}

impl From<CreationError> for RunError {
    fn from(error: CreationError) -> RunError {
        RunError::Histogram(error)
    }
}

impl From<AdditionError> for RunError {
    fn from(error: AdditionError) -> RunError {
        RunError::HistogramAddition(error)
    }
}

impl From<JoinError> for RunError {
    fn from(error: JoinError) -> RunError {
        RunError::Load(error)
    }
}
