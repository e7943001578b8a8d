//! The settings in force, this process's share of the limits, and their changes.

use super::Core;
use crate::config::Deployment;
use crate::dispatcher::settings_error::SettingsError;
use crate::net::connection_limit::SHARE_UNITS;
use crate::routing::api::{self, Idempotency, RoutingSettings, Time};
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;

/// The time from the command of an attempt to the arrival of its last byte, without the waits for a permit and for a
/// connection (microseconds).
const MAX_TRANSMISSION_DELAY: Time = 100_000;
/// The number of a class that is not in the settings any more is reused after this time at the earliest (microseconds).
const CLASS_REUSE_DELAY: Time = 60_000_000;

/// The settings in force and what follows from them.
pub(super) struct SettingsState {
    deployment: Arc<Deployment>,
    is_published: bool,
    /// As the router received them.
    routing: RoutingSettings,
    /// When each class was last in the settings.
    class_last_active: Vec<Time>,
    max_connections: usize,
    resource_share: u32,
    processes: u32,
    max_requests: usize,
}

impl SettingsState {
    pub(super) fn new(deployment: Arc<Deployment>, max_connections: usize, now: Time) -> Self {
        SettingsState {
            routing: routing_settings(&deployment),
            max_requests: deployment.bounds.max_open_requests.min(max_connections),
            class_last_active: vec![now; deployment.settings.classes.len()],
            deployment,
            is_published: false,
            max_connections,
            resource_share: SHARE_UNITS,
            processes: 1,
        }
    }

    /// The router's settings.
    pub(super) fn routing(&self) -> &RoutingSettings {
        &self.routing
    }

    /// How many requests may be in the table.
    pub(super) fn max_requests(&self) -> usize {
        self.max_requests
    }

    pub(super) fn max_retry_after(&self) -> Duration {
        Duration::from_micros(self.deployment.settings.max_retry_after)
    }

    /// How long after its deadline a request may be closed (microseconds).
    pub(super) fn response_slack(&self) -> Time {
        self.deployment.settings.response_slack
    }

    /// How long endpoints may hold a reservation (microseconds).
    pub(super) fn reservation_ttl(&self) -> Time {
        self.deployment.settings.reservation_ttl
    }

    /// A class that is not known counts as one whose requests must not run twice.
    pub(super) fn idempotency_of(&self, class: usize) -> Idempotency {
        let classes = &self.deployment.settings.classes;
        classes
            .get(class)
            .map_or(Idempotency::NonIdempotent, |class| class.idempotency)
    }

    /// Replaces the deployment. `open_classes`: classes of requests in the table, whose numbers are not reused.
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
        // A request that a frontend parsed by the old numbers may still be on its way.
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

    /// Recomputes the limit of requests and the router's settings: every further process is one more dispatcher to the
    /// endpoints.
    fn update_derived(&mut self) {
        let bounds = &self.deployment.bounds;
        let max_requests = bounds.max_open_requests.min(self.max_connections) as u128;
        let share = max_requests * u128::from(self.resource_share) / u128::from(SHARE_UNITS);
        self.max_requests = (share as usize).max(1);
        self.routing = routing_settings(&self.deployment);
        self.routing.dispatchers = self
            .routing
            .dispatchers
            .saturating_mul(self.processes.max(1));
    }
}

/// The settings for the router. A repeat is dropped if its last byte arrives within the window, and an attempt may take as
/// long as the waits for a permit and then for a connection: the router's window is shorter by that.
fn routing_settings(deployment: &Deployment) -> RoutingSettings {
    let mut settings = deployment.settings.clone();
    let connect_timeout = deployment.bounds.connect_timeout;
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

    /// The deployment in force, if it has changed since the last call.
    pub fn take_changed_deployment(&mut self) -> Option<Arc<Deployment>> {
        if self.settings.is_published {
            return None;
        }
        self.settings.is_published = true;
        Some(self.settings.deployment.clone())
    }
}
