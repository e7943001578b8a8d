//! Errors that prevent a run from being set up.

use quartzhall_scale::process::ProcessError;
use std::error::Error;
use std::fmt;

/// A failure of the test bench itself. What a dispatcher under test does wrong is a
/// [`Violation`](crate::oracle::Violation) instead.
#[derive(Debug)]
pub enum SoakError {
    /// The folder for configurations and logs could not be created.
    CreateFolder(std::io::Error),
    /// An address for a dispatcher, a replica or a discovery agent could not be bound.
    Listen(std::io::Error),
    /// A dispatcher could not be started at the beginning of the run, or did not become ready.
    Process(ProcessError),
}

impl fmt::Display for SoakError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SoakError::CreateFolder(error) | SoakError::Listen(error) => error.fmt(formatter),
            SoakError::Process(error) => error.fmt(formatter),
        }
    }
}

impl Error for SoakError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            SoakError::CreateFolder(error) | SoakError::Listen(error) => Some(error),
            SoakError::Process(error) => Some(error),
        }
    }
}

impl From<ProcessError> for SoakError {
    fn from(error: ProcessError) -> SoakError {
        SoakError::Process(error)
    }
}
