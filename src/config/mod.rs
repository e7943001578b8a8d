//! The configuration: its file, the settings in it, their validation, and the reload on SIGHUP.
//!
//! [`LoadedConfig`] holds the files named on the command line. [`Deployment`] is the settings object resolved for the
//! router and the dispatcher. Everything here is plain data that the caller owns; only [`reload`] runs as a task.

mod deployment;
mod endpoint_list;
mod error;
mod file;
mod machine_limits;
mod name_table;
mod raw_settings;
pub mod reload;
mod session_file;
pub mod validation;

pub use deployment::{millis_to_micros, Deployment, DispatcherLimits};
pub use endpoint_list::{EndpointEntry, EndpointList};
pub use error::ConfigError;
pub use file::{Config, LoadedConfig};
pub use machine_limits::{MachineLimits, SocketBudgets};
pub use name_table::{fnv1a_hash, NameTable};
pub use raw_settings::SettingsObject;
pub use session_file::{SessionBudget, SessionConfig};
