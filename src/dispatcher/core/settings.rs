//! The settings in force, this process's share of the limits, and changes of both.
//!
//! [`SettingsState`] holds the deployment as configured and derives two values from it: the limit of open requests, and
//! the settings that the router receives. Both are recomputed whenever the settings or the share change.

use super::Core;
use crate::config::Deployment;
use crate::dispatcher::settings_error::SettingsError;
use crate::net::adjustable_semaphore::SHARE_UNITS;
use crate::routing::api::{self, Idempotency, RoutingSettings, Time};
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;

/// The longest time from the command of an attempt to the arrival of its last byte at the endpoint, in microseconds. The
/// waits for a permit and for a connection are not included.
const MAX_TRANSMISSION_DELAY: Time = 100_000;
/// The shortest time before the number of a class that left the settings is reused, in microseconds.
const CLASS_REUSE_DELAY: Time = 60_000_000;

/// The settings in force and the values derived from them.
pub(super) struct SettingsState {
    deployment: Arc<Deployment>,
    /// Whether the deployment was published to its watchers since it changed.
    is_published: bool,
    /// The settings as passed to the router.
    routing: RoutingSettings,
    /// When each class was last in the settings, by class number.
    class_last_active: Vec<Time>,
    /// Limit of connections to endpoints, which also limits the requests in the table.
    max_connections: usize,
    /// This process's share of the limits, in [`SHARE_UNITS`].
    resource_share: u32,
    /// Number of processes of this dispatcher that share the limits.
    processes: u32,
    /// Limit of requests in the table: this process's share of the smaller of `max_open_requests` and `max_connections`.
    max_requests: usize,
}

impl SettingsState {
    pub(super) fn new(deployment: Arc<Deployment>, max_connections: usize, now: Time) -> Self {
        SettingsState {
            routing: routing_settings(&deployment),
            max_requests: deployment.limits.max_open_requests.min(max_connections),
            class_last_active: vec![now; deployment.settings.classes.len()],
            deployment,
            is_published: false,
            max_connections,
            resource_share: SHARE_UNITS,
            processes: 1,
        }
    }

    /// Returns the settings as passed to the router.
    pub(super) fn routing(&self) -> &RoutingSettings {
        &self.routing
    }

    /// Returns how many requests may be in the table.
    pub(super) fn max_requests(&self) -> usize {
        self.max_requests
    }

    /// Returns the longest retry advice that clients follow.
    pub(super) fn max_retry_after(&self) -> Duration {
        Duration::from_micros(self.deployment.settings.max_retry_after)
    }

    /// Returns how long after its deadline a request may still be closed, in microseconds.
    pub(super) fn response_slack(&self) -> Time {
        self.deployment.settings.response_slack
    }

    /// Returns how long endpoints may hold a reservation, in microseconds.
    pub(super) fn reservation_ttl(&self) -> Time {
        self.deployment.settings.reservation_ttl
    }

    /// Returns the idempotency of a class. Requests of an unknown class must not run twice.
    pub(super) fn idempotency_of(&self, class: usize) -> Idempotency {
        let classes = &self.deployment.settings.classes;
        classes
            .get(class)
            .map_or(Idempotency::NonIdempotent, |class| class.idempotency)
    }

    /// Replaces the deployment. The numbers of `open_classes`, the classes of requests in the table, are not reused.
    fn replace(
        &mut self,
        now: Time,
        deployment: Deployment,
        open_classes: &HashSet<usize>,
    ) -> Result<(), SettingsError> {
        let classes = &self.deployment.settings.classes;
        for (class, last_active) in classes.iter().zip(&mut self.class_last_active) {
            if class.is_active {
                *last_active = now;
            }
        }
        // A request that a frontend parsed with the old class numbers may still be in the queue.
        let is_used = |class: usize| {
            let reusable_at = self.class_last_active[class].saturating_add(CLASS_REUSE_DELAY);
            open_classes.contains(&class) || now < reusable_at
        };
        let deployment = deployment
            .replacing(&self.deployment, is_used)
            .map_err(|error| SettingsError::Incompatible(error.into()))?;
        self.class_last_active
            .resize(deployment.settings.classes.len(), now);
        self.deployment = Arc::new(deployment);
        self.is_published = false;
        Ok(())
    }

    /// Recomputes the limit of open requests and the router's settings. Each process of this dispatcher counts as one
    /// dispatcher, because endpoints receive requests from each of them.
    fn update_derived(&mut self) {
        let limits = &self.deployment.limits;
        let max_requests = limits.max_open_requests.min(self.max_connections) as u128;
        let share = max_requests * u128::from(self.resource_share) / u128::from(SHARE_UNITS);
        self.max_requests = (share as usize).max(1);
        self.routing = routing_settings(&self.deployment);
        self.routing.dispatchers = self
            .routing
            .dispatchers
            .saturating_mul(self.processes.max(1));
    }
}

/// Returns the deployment's settings for the router, with shorter idempotency windows. An endpoint drops a repeat only if
/// its last byte arrives within the window. The router's window is therefore shorter by the longest time that an attempt
/// takes to arrive. That time has three parts: the waits for a permit and for a connection, each at most the connect
/// timeout, and the transmission.
fn routing_settings(deployment: &Deployment) -> RoutingSettings {
    let mut settings = deployment.settings.clone();
    let connect_timeout = deployment.limits.connect_timeout;
    for class in &mut settings.classes {
        if let Idempotency::IdempotencyKey { window, .. } = &mut class.idempotency {
            *window = window.saturating_sub(2 * connect_timeout + MAX_TRANSMISSION_DELAY);
        }
    }
    settings
}

impl Core {
    pub(super) fn on_settings_changed(
        &mut self,
        now: Time,
        deployment: Deployment,
        reply: oneshot::Sender<Result<(), SettingsError>>,
    ) {
        let _ = reply.send(self.apply_settings(now, deployment));
    }

    fn apply_settings(&mut self, now: Time, deployment: Deployment) -> Result<(), SettingsError> {
        let open_classes = self.requests.classes();
        self.settings.replace(now, deployment, &open_classes)?;
        let deployment = &self.settings.deployment;
        let classes = &deployment.settings.classes;
        let active_classes = classes.iter().filter(|class| class.is_active).count();
        let max_attempts = deployment.settings.max_attempts;
        self.report
            .log_settings_applied(active_classes, max_attempts);
        if let Some(recorder) = &mut self.recorder {
            recorder.record_names(deployment);
        }
        self.send_routing_settings(now);
        Ok(())
    }

    pub(super) fn on_resource_share_changed(&mut self, now: Time, share: u32, processes: u32) {
        self.settings.resource_share = share;
        self.settings.processes = processes;
        self.send_routing_settings(now);
    }

    fn send_routing_settings(&mut self, now: Time) {
        self.settings.update_derived();
        let routing = self.settings.routing().clone();
        self.drive_router(now, api::Event::SettingsChanged(routing));
    }

    /// Returns the deployment in force if it has changed since the last call.
    pub fn take_changed_deployment(&mut self) -> Option<Arc<Deployment>> {
        if self.settings.is_published {
            return None;
        }
        self.settings.is_published = true;
        Some(self.settings.deployment.clone())
    }
}
