//! Upgrades without downtime: two versions of a dispatcher run side by side on one inherited listening socket until the
//! older one has drained.
//!
//! The processes find each other by files in `$TMPDIR`. The files' names and contents are shared between versions and
//! must stay compatible.
//!
//! * `inherited_socket` takes over the listening socket on which both processes accept connections;
//! * `announcements` publishes the `process_announcement` of this process and reads those of other live processes, in
//!   files that `shared_folder` names;
//! * `start_time_claim` claims the start time that identifies this process among them;
//! * [`resource_shares`] divides the dispatcher's limits among its processes;
//! * `ban_file` shares the bans that operators have set;
//! * [`request_claims`] decides which process owns a client's request id;
//! * `coordinator` owns the state of announcement, share and bans, and keeps it up to date while the process runs;
//! * [`stream_migration`] moves live streams to another process.

mod announcements;
mod ban_file;
mod coordinator;
mod inherited_socket;
mod process_announcement;
pub mod request_claims;
pub mod resource_shares;
mod shared_folder;
mod start_time_claim;
pub mod stream_migration;

pub use announcements::PeerProcesses;
pub use coordinator::{run, ResourceLimits, UpgradeCoordinator};
pub use inherited_socket::{inherited_listener, InheritedSocketError};

#[cfg(test)]
#[path = "../../tests/unit/upgrade/support.rs"]
mod test_support;
