//! Upgrades without downtime: two versions of one dispatcher run side by side on an inherited socket, until the older
//! one has drained.
//!
//! The processes find each other by files in `$TMPDIR`, whose names and contents are a contract between versions:
//!
//! * `inherited_socket` takes the listening socket that both accept from;
//! * `announcements` publishes this process's `process_announcement` and finds those of live processes, in files
//!   that `shared_folder` names;
//! * [`resource_shares`] decides how the processes divide the dispatcher's limits;
//! * `ban_file` shares the operators' bans;
//! * `coordinator` keeps announcement, share and bans up to date while the process runs, and owns their state;
//! * [`stream_migration`] moves live streams to the successor.

mod announcements;
mod ban_file;
mod coordinator;
mod inherited_socket;
mod process_announcement;
pub mod resource_shares;
mod shared_folder;
pub mod stream_migration;

pub use announcements::PeerProcesses;
pub use coordinator::{run, ResourceLimits, UpgradeCoordinator};
pub use inherited_socket::{inherited_listener, InheritedSocketError};

#[cfg(test)]
#[path = "../../tests/unit/upgrade/support.rs"]
mod test_support;
