//! The real dispatchers of a run.

use super::bench::Bench;
use super::{find_free_address, RunError, RunPlan};
use crate::config::{self, Addresses};
use crate::process::{sample_resources, Dispatcher, ResourceSample};
use slog::{info, Logger};
use std::time::Duration;

/// Addresses for gossip.
pub(super) struct GossipAddresses<'a> {
    /// Where the real dispatchers receive it, by number.
    pub(super) own: &'a [String],
    /// Where all dispatchers receive it.
    pub(super) all: &'a [String],
    /// Where gossip for all dispatchers is sent.
    pub(super) broadcast: &'a str,
}

/// When a dispatcher was ready, and what it had used until then.
pub(super) struct Readiness {
    /// The time from its start.
    pub(super) after: Duration,
    /// Its resources.
    pub(super) sample: ResourceSample,
}

struct RealDispatcher {
    process: Dispatcher,
    readiness: Readiness,
}

/// The real dispatchers of a run, by number.
pub(super) struct RealDispatchers(Vec<RealDispatcher>);

impl RealDispatchers {
    /// Starts one dispatcher after the other, each when the one before is ready.
    pub(super) async fn start(
        plan: &RunPlan,
        bench: &mut Bench,
        gossip: &GossipAddresses<'_>,
        log: &Logger,
    ) -> Result<RealDispatchers, RunError> {
        let mut dispatchers = Vec::new();
        for (number, peer_listen) in gossip.own.iter().enumerate() {
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
            let after = process.wait_until_ready().await?;
            let Some(sample) = sample_resources(process.process_id) else {
                return Err(RunError::Exited { name });
            };
            info!(log, "dispatcher ready"; "dispatcher" => name, "seconds" => after.as_secs_f64(),
                "resident_mb" => sample.resident_mb);
            dispatchers.push(RealDispatcher {
                process,
                readiness: Readiness { after, sample },
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

    /// Where clients connect, by number.
    pub(super) fn addresses(&self) -> impl Iterator<Item = &str> {
        self.0
            .iter()
            .map(|dispatcher| dispatcher.process.address.as_str())
    }

    /// Readiness by number.
    pub(super) fn readiness(&self) -> impl Iterator<Item = &Readiness> {
        self.0.iter().map(|dispatcher| &dispatcher.readiness)
    }

    /// Terminates all dispatchers, one after the other.
    pub(super) async fn terminate(self) -> Result<(), RunError> {
        for dispatcher in self.0 {
            dispatcher.process.terminate().await?;
        }
        Ok(())
    }
}
