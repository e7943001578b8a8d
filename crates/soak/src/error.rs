//! Why a run could not be set up.

use quartzhall_scale::process::ProcessError;
use std::error::Error;
use std::fmt;

/// A failure of the test bench, not of a dispatcher under test.
#[derive(Debug)]
pub enum SoakError {
    /// The folder for configurations and logs could not be created.
    CreateFolder(std::io::Error),
    /// An address of the bench could not be bound.
    Listen(std::io::Error),
    /// A dispatcher could not be started.
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
