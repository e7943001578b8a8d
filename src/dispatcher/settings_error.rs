//! The error of a change of settings.

use std::error::Error;

/// The reason why new settings were not applied. The settings in force remain unchanged.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The new deployment can't replace the one in force while the process runs.
    #[error(transparent)]
    Incompatible(Box<dyn Error + Send + Sync>),
}
