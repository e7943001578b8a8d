//! The real dispatchers of a run: their processes, addresses and startup costs.

use super::bench::Bench;
use super::{find_free_address, RunError, RunPlan};
use crate::config::{self, Addresses};
use crate::process::{sample_resources, Dispatcher, ResourceSample};
use slog::{info, Logger};
use std::time::Duration;

/// Gossip addresses of a run.
pub(super) struct GossipAddresses<'a> {
    /// Addresses of the real dispatchers, by number.
    pub(super) real: &'a [String],
    /// Addresses of all dispatchers, real and simulated, by number.
    pub(super) all: &'a [String],
    /// The address to which real dispatchers send gossip for all others.
    pub(super) broadcast: &'a str,
}

/// The time and the resources that a dispatcher's process took to become ready.
pub(super) struct Startup {
    /// Time from the start of the process until it was ready.
    pub(super) duration: Duration,
    /// Resource usage of the process when it was ready.
    pub(super) resources: ResourceSample,
}

struct RealDispatcher {
    process: Dispatcher,
    startup: Startup,
}

/// The real dispatchers of a run, by number.
pub(super) struct RealDispatchers(Vec<RealDispatcher>);

impl RealDispatchers {
    /// Starts the dispatchers one by one, and waits until each is ready before it starts the next.
    pub(super) async fn start(
        plan: &RunPlan,
        bench: &mut Bench,
        gossip: &GossipAddresses<'_>,
        log: &Logger,
    ) -> Result<RealDispatchers, RunError> {
        let mut dispatchers = Vec::new();
        for (number, peer_listen) in gossip.real.iter().enumerate() {
            let delivery_log = bench.delivery_logs[number].clone();
            let addresses = Addresses {
                listen: find_free_address(number).await?,
                discovery: bench.start_agent(delivery_log).await?,
                peer_listen: peer_listen.clone(),
                peers_all: gossip.broadcast.to_owned(),
            };
            let seed = plan.seed.wrapping_add(number as u64);
            let config = config::config_text(&plan.scenario, number, seed, &addresses, gossip.all);
            let name = format!("d{number}");
            let process = Dispatcher::start(
                &plan.program,
                &plan.folder,
                &name,
                addresses.listen,
                &config,
                None,
            )?;
            let duration = process.wait_until_ready().await?;
            let Some(resources) = sample_resources(process.process_id) else {
                return Err(RunError::Exited { name });
            };
            info!(log, "dispatcher ready"; "dispatcher" => name, "seconds" => duration.as_secs_f64(),
                "resident_mb" => resources.resident_mb);
            dispatchers.push(RealDispatcher {
                process,
                startup: Startup {
                    duration,
                    resources,
                },
            });
        }
        Ok(RealDispatchers(dispatchers))
    }

    pub(super) fn process_ids(&self) -> Vec<u32> {
        self.0
            .iter()
            .map(|dispatcher| dispatcher.process.process_id)
            .collect()
    }

    /// Returns the addresses for clients, by number.
    pub(super) fn addresses(&self) -> impl Iterator<Item = &str> {
        self.0
            .iter()
            .map(|dispatcher| dispatcher.process.address.as_str())
    }

    /// Returns what the start of each dispatcher took, by number.
    pub(super) fn startups(&self) -> impl Iterator<Item = &Startup> {
        self.0.iter().map(|dispatcher| &dispatcher.startup)
    }

    /// Terminates all dispatchers one by one. Those after a failure are killed.
    pub(super) async fn terminate(self) -> Result<(), RunError> {
        for dispatcher in self.0 {
            dispatcher.process.terminate().await?;
        }
        Ok(())
    }
}
