//! The creation of the core, with all that is settled before it runs: the recording, bans and the configured endpoints.

use super::{trace_recording, ServeError, Startup};
use crate::config::{Config, Deployment};
use crate::discovery;
use crate::dispatcher::{self, Core, DispatcherHandle, Event, EventReceiver};
use crate::upgrade::UpgradeCoordinator;
use quartzhall_recording::Recorder;
use slog::{info, Logger};

/// The core before it runs, and the ends of its channels.
pub(super) struct CoreStartup {
    pub core: Core,
    pub dispatcher: DispatcherHandle,
    pub events: EventReceiver,
    /// Where the core's records are written, if they are.
    pub recorder: Option<Recorder>,
    pub endpoints: ConfiguredEndpoints,
}

/// What the configuration's `known` list has become.
pub(super) struct ConfiguredEndpoints {
    /// The deployment with the ids of the list's zones, for the discovery client.
    pub deployment: Deployment,
    /// The revision from which discovery is watched; `None`: from a full list.
    pub revision: Option<u64>,
    /// The list, where the core has not received it yet.
    pub pending: Option<Event>,
}

impl CoreStartup {
    pub(super) fn create(startup: &mut Startup) -> Result<CoreStartup, ServeError> {
        let deployment = startup.deployment.clone();
        let log = startup.log.clone();
        let (dispatcher, events) = dispatcher::channel(deployment.clone());
        let mut core = Core::new(
            deployment.clone(),
            startup.budgets.sockets.endpoints,
            startup.seed,
            startup.clock.now(),
            log.clone(),
        );
        let mut recorder = None;
        if let Some(path) = &startup.recording {
            let name = &startup.config.name;
            let recording = trace_recording::start(path, name, startup.clock, &deployment)?;
            core.set_trace_recorder(recording.trace);
            recorder = Some(recording.recorder);
        }
        let bans = startup
            .upgrade
            .as_mut()
            .and_then(UpgradeCoordinator::read_changed_bans);
        if let Some(bans) = bans {
            core.handle_event(startup.clock.now(), Event::BanRecordsReceived(bans));
        }
        let mut endpoints = ConfiguredEndpoints::read(&startup.config, &log)?;
        // A successor waits for discovery first: the configured list may be as old as its predecessor.
        if !startup.peers.predecessor {
            if let Some(list) = endpoints.pending.take() {
                core.handle_event(startup.clock.now(), list);
                endpoints.revision = full_list_revision(&startup.config);
            }
        }
        if startup.peers.predecessor {
            core.start_in_standby();
        }
        info!(log, "starting"; "stage" => "core created", "endpoints" => core.endpoint_count());
        Ok(CoreStartup {
            core,
            dispatcher,
            events,
            recorder,
            endpoints,
        })
    }
}

impl ConfiguredEndpoints {
    fn read(config: &Config, log: &Logger) -> Result<ConfiguredEndpoints, ServeError> {
        let mut deployment = Deployment::new(&config.settings)?;
        let mut pending = None;
        if let Some(list) = &config.known {
            pending = Some(discovery::endpoints_changed_event(
                &mut deployment,
                list,
                log,
            ));
        }
        Ok(ConfiguredEndpoints {
            deployment,
            revision: None,
            pending,
        })
    }
}

fn full_list_revision(config: &Config) -> Option<u64> {
    let list = config.known.as_ref()?;
    if list.complete {
        Some(list.revision)
    } else {
        None
    }
}
