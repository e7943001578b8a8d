//! The configuration: its file, the settings in it, their validation, and the reload at SIGHUP.

pub mod reload;
mod settings;
pub mod validation;

pub use settings::*;
