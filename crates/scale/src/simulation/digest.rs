//! A digest of the routers' actions, by which the decisions of two simulations are compared.

use quartzhall::routing::api::{Action, Time};

/// Offset basis of the 64-bit FNV-1a hash.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
/// Prime of the 64-bit FNV-1a hash.
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// A running FNV-1a hash of all actions as text, each with its router and its time.
pub(super) struct DecisionDigest(u64);

impl DecisionDigest {
    pub(super) fn new() -> DecisionDigest {
        DecisionDigest(FNV_OFFSET)
    }

    pub(super) fn value(&self) -> u64 {
        self.0
    }

    /// Adds an action of a router.
    pub(super) fn update(&mut self, router: usize, now: Time, action: &Action) {
        let text = format!("{router} {now} {}", action_text(action));
        for byte in text.bytes() {
            self.0 = (self.0 ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
        }
    }
}

/// Formats an action for the digest. The text is fixed: `tests/decisions.rs` pins digests that were computed from it, so it
/// does not follow renames of the action types.
fn action_text(action: &Action) -> String {
    match action {
        Action::StartAttempt {
            id,
            endpoint,
            timeout,
        } => {
            format!("Send {{ id: {id}, server: {endpoint}, timeout: {timeout} }}")
        }
        Action::CancelAttempt { id, attempt } => {
            format!("Cancel {{ id: {id}, attempt: {attempt} }}")
        }
        Action::Shed {
            id,
            retry_after,
            reason: _,
        } => {
            format!("Refuse {{ id: {id}, retry_after: {retry_after} }}")
        }
        Action::Fail { id, reason: _ } => format!("Fail {{ id: {id} }}"),
        Action::ReleaseReservation { id } => format!("Release {{ id: {id} }}"),
        Action::SetTimer { at } => format!("Wake {{ at: {at} }}"),
        Action::Probe { endpoint } => format!("Probe {{ server: {endpoint} }}"),
        Action::WatchEndpoints => "Watch".to_owned(),
    }
}
