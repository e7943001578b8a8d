//! Errors of a change of settings.

use std::error::Error;

/// Why new settings were not applied. The settings in force stay as they were.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The new deployment cannot follow the one in force.
    #[error(transparent)]
    Incompatible(Box<dyn Error + Send + Sync>),
}
