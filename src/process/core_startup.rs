//! Creates the core and prepares it before its task starts.
//!
//! Starts the trace recording, applies the bans that other processes of the dispatcher have recorded, and applies the
//! configured endpoint list. In a successor the configured list stays pending: discovery's list is waited for first.

use super::{trace_recording, ServeError, Startup};
use crate::config::{Config, Deployment};
use crate::discovery;
use crate::dispatcher::{self, Core, DispatcherHandle, Event, EventReceiver};
use crate::identity::RandomSource;
use crate::upgrade::UpgradeCoordinator;
use quartzhall_recording::Recorder;
use slog::{info, Logger};

/// The core, whose task has not started yet, and the ends of its channels.
pub(super) struct CoreStartup {
    pub core: Core,
    pub dispatcher: DispatcherHandle,
    pub events: EventReceiver,
    /// Writes the core's trace records to a file; `None` if nothing is recorded.
    pub recorder: Option<Recorder>,
    pub endpoints: ConfiguredEndpoints,
}

/// The endpoint list of the configuration (`known`), as the core and the discovery client use it.
pub(super) struct ConfiguredEndpoints {
    /// The deployment with the zone ids that were assigned while the list was read, for the discovery client.
    pub deployment: Deployment,
    /// The revision from which discovery is watched for changes; `None` if discovery has to send a full list first.
    pub revision: Option<u64>,
    /// The list, if one is configured and the core has not received it yet.
    pub pending: Option<Event>,
}

impl CoreStartup {
    /// Creates the core of this process. Takes the shared ban records from the coordinator in `startup`, if there is
    /// one.
    pub(super) fn create(startup: &mut Startup) -> Result<CoreStartup, ServeError> {
        let deployment = startup.deployment.clone();
        let log = startup.log.clone();
        let (dispatcher, events) = dispatcher::channel(deployment.clone());
        let routing_seed = startup.identity.seed(RandomSource::Routing);
        let mut core = Core::new(
            deployment.clone(),
            startup.budgets.sockets.endpoints,
            routing_seed,
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
        // A successor waits for discovery's list first: the configured one may be as old as the predecessor process.
        if !startup.peers.predecessor {
            if let Some(list) = endpoints.pending.take() {
                core.handle_event(startup.clock.now(), list);
                endpoints.revision = full_list_revision(&startup.config);
            }
        }
        if startup.peers.predecessor {
            core.start_in_standby();
        }
        info!(log, "starting"; "stage" => "core created", "endpoints" => core.endpoint_count(),
            "routing_seed" => format!("{routing_seed:016x}"));
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
    /// Converts the configured list, and leaves it pending.
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

/// Returns the revision of the configured list if that list is complete.
fn full_list_revision(config: &Config) -> Option<u64> {
    let list = config.known.as_ref()?;
    if list.complete {
        Some(list.revision)
    } else {
        None
    }
}
