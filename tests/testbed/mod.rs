//! The test bed of the integration tests, all in one process and on loopback: stand-in prefill and decode replicas
//! ([`replicas`]), a dispatcher in front of them that is assembled as `main` does it ([`Fleet`]), and a client of its
//! WebSocket sessions ([`session_client`]).

// Each test program uses a part of this module.
#![allow(dead_code, unused_imports)]

mod profile;
mod replicas;
mod session_client;

use miniserde::json;
use quartzhall::config::{Deployment, EndpointList, SessionConfig, SettingsObject};
use quartzhall::dispatcher::{self, Clock, Core, DispatcherHandle, DrainSchedule, Event};
use quartzhall::frontend::memory_budget::ClientMemoryBudget;
use quartzhall::frontend::{admin, health_check, http, listener, websocket, ShutdownPhase};
use quartzhall::identity::ProcessIdentity;
use quartzhall::net::adjustable_semaphore::AdjustableSemaphore;
use quartzhall::upgrade::request_claims::RequestClaims;
use quartzhall::{backend, discovery};
use slog::{o, Discard, Logger};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch, Notify};

pub(crate) use profile::SETTINGS;
pub(crate) use replicas::{Behavior, ReplicaActivity, STREAM_EVENTS};
pub(crate) use session_client::{request_message, SessionClient};

use replicas::StandInReplica;

/// Starts a backend without a dispatcher core: the test sends its commands and receives its events. The endpoints at
/// `websocket_addresses` are called over WebSocket sessions, all others over HTTP/1.1.
pub(crate) fn start_backend(
    websocket_addresses: &[String],
) -> (mpsc::Sender<dispatcher::Command>, dispatcher::EventReceiver) {
    start_backend_with_queue(16, websocket_addresses)
}

/// Does the same as [`start_backend`], with a command queue that holds `queue_length` commands.
pub(crate) fn start_backend_with_queue(
    queue_length: usize,
    websocket_addresses: &[String],
) -> (mpsc::Sender<dispatcher::Command>, dispatcher::EventReceiver) {
    let settings: SettingsObject = json::from_str(SETTINGS).unwrap();
    let deployment = Arc::new(Deployment::new(&settings).unwrap());
    let bounds = deployment.limits;
    let (dispatcher, events) = dispatcher::channel(deployment);
    let (commands, command_queue) = mpsc::channel(queue_length);
    let websocket_addresses = websocket_addresses.iter().cloned().collect();
    tokio::spawn(backend::run(
        command_queue,
        dispatcher,
        bounds,
        AdjustableSemaphore::new(10),
        websocket_addresses,
        backend::StreamMigration::disabled(),
        Logger::root(Discard, o!()),
    ));
    (commands, events)
}

/// Four stand-in replicas and the dispatcher in front of them.
pub(crate) struct Fleet {
    pub dispatcher: DispatcherHandle,
    /// What all replicas hold and have received.
    pub activity: Arc<Mutex<ReplicaActivity>>,
    /// Continues the streams of replicas whose behavior is to pause.
    pub resume: Arc<Notify>,
    pub http_address: String,
    pub websocket_address: String,
    pub management_address: String,
    pub shutdown: watch::Sender<ShutdownPhase>,
    /// Finishes when all client connections and sessions are closed after `shutdown`.
    pub frontend_task: tokio::task::JoinHandle<()>,
    pub replica_addresses: Vec<String>,
    replicas: Vec<Arc<StandInReplica>>,
    /// The copy that discovery updates are read with; the dispatcher has its own.
    deployment: Mutex<Deployment>,
    log: Logger,
}

async fn bind() -> (TcpListener, String) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    (listener, address)
}

impl Fleet {
    /// Starts two prefill replicas (0, 1), two decode replicas (2, 3) and a dispatcher that calls them over HTTP/1.1 or
    /// WebSocket sessions. Replica 3 is not in the endpoint list until the test adds it.
    #[expect(
        clippy::too_many_lines,
        reason = "puts a whole dispatcher together, as process does"
    )]
    pub(crate) async fn start(uses_websocket: bool) -> Fleet {
        let log = Logger::root(Discard, o!());
        let (activity, resume) = (
            Arc::new(Mutex::new(ReplicaActivity::default())),
            Arc::new(Notify::new()),
        );
        let (mut new_replicas, mut replica_addresses) = (Vec::new(), Vec::new());
        for number in 0..4 {
            let is_prefill = number < 2;
            let replica = StandInReplica::new(number, is_prefill, activity.clone(), resume.clone());
            let routes = replica.clone().routes();
            let (listener, address) = bind().await;
            tokio::spawn(async move { axum::serve(listener, routes).await });
            new_replicas.push(replica);
            replica_addresses.push(address);
        }
        let settings: SettingsObject = json::from_str(SETTINGS).unwrap();
        let (deployment, discovery_deployment) = (
            Deployment::new(&settings).unwrap(),
            Deployment::new(&settings).unwrap(),
        );
        let clock = Clock::start();
        let deployment = Arc::new(deployment);
        let (dispatcher, events) = dispatcher::channel(deployment.clone());
        let core = Core::new(deployment.clone(), 100, 7, clock.now(), log.clone());
        let (commands, command_queue) = mpsc::channel(64);
        let websocket_addresses = if uses_websocket {
            replica_addresses.iter().cloned().collect()
        } else {
            Default::default()
        };
        tokio::spawn(backend::run(
            command_queue,
            dispatcher.clone(),
            deployment.limits,
            AdjustableSemaphore::new(100),
            websocket_addresses,
            backend::StreamMigration::disabled(),
            log.clone(),
        ));
        tokio::spawn(dispatcher::run(core, clock, events, commands, None, None));
        let (shutdown, shutdown_phase) = watch::channel(ShutdownPhase::Serving);
        let session_config = r#"{"most_sessions":4,"most_message":4000,"reattach_ms":200,"most_requests":8,"record_text":4000}"#;
        let session_config = Arc::new(SessionConfig::parse(session_config).unwrap());
        let (listener, websocket_address) = bind().await;
        let memory_budget = ClientMemoryBudget::new(10_000);
        let session_frontend = websocket::SessionFrontend::new(
            dispatcher.clone(),
            session_config,
            memory_budget.clone(),
            ProcessIdentity::draw(1).unwrap().request_ids(),
            RequestClaims::disabled(),
            shutdown_phase.clone(),
            log.clone(),
        );
        let routes = websocket::routes(session_frontend.clone())
            .merge(health_check::routes(dispatcher.clone()));
        let websocket_server = listener::serve(
            listener,
            routes,
            AdjustableSemaphore::new(50),
            shutdown_phase.clone(),
            log.clone(),
        );
        let (management_listener, management_address) = bind().await;
        tokio::spawn(admin::serve(
            management_listener,
            dispatcher.clone(),
            log.clone(),
        ));
        let (listener, http_address) = bind().await;
        let routes = http::routes(
            dispatcher.clone(),
            memory_budget,
            RequestClaims::disabled(),
            log.clone(),
        );
        let http_server = listener::serve(
            listener,
            routes,
            AdjustableSemaphore::new(50),
            shutdown_phase,
            log.clone(),
        );
        let frontend_task = tokio::spawn(async move {
            tokio::join!(websocket_server, http_server);
            session_frontend.wait_until_closed().await;
        });
        let deployment = Mutex::new(discovery_deployment);
        let replicas = new_replicas;
        let fleet = Fleet {
            dispatcher,
            activity,
            resume,
            http_address,
            websocket_address,
            management_address,
            shutdown,
            frontend_task,
            replicas,
            replica_addresses,
            deployment,
            log,
        };
        fleet
            .update_discovery(&[(0, "Ready"), (1, "Ready"), (2, "Ready")])
            .await;
        fleet
            .dispatcher
            .wait_for_readiness(dispatcher::Readiness::Ready)
            .await;
        fleet
    }

    /// Changes how a replica behaves from its next attempt on.
    pub(crate) fn set_behavior(&self, number: usize, behavior: Behavior) {
        self.replicas[number].set_behavior(behavior);
    }

    /// Sends the dispatcher a discovery update with the new phases of these replicas.
    pub(crate) async fn update_discovery(&self, phases: &[(usize, &str)]) {
        let member = |(number, phase): &(usize, &str)| {
            let machine_type = if *number < 2 { "prefill" } else { "decode" };
            let address = &self.replica_addresses[*number];
            format!(
                r#"{{"id":"n{number}","host_port":"{address}","locality":"east","flavor":"{machine_type}","cell":1,"phase":"{phase}"}}"#
            )
        };
        let members: Vec<String> = phases.iter().map(member).collect();
        let text = format!(
            r#"{{"revision":1,"complete":false,"members":[{}]}}"#,
            members.join(",")
        );
        let list: EndpointList = discovery::parse_list(text.as_bytes()).unwrap();
        let event = discovery::endpoints_changed_event(
            &mut self.deployment.lock().unwrap(),
            &list,
            &self.log,
        );
        self.dispatcher.send(event).await;
    }

    /// Counts the attempts that a replica has received.
    pub(crate) fn attempts_at(&self, number: usize) -> usize {
        self.activity
            .lock()
            .unwrap()
            .attempts
            .iter()
            .filter(|(replica, _)| *replica == number)
            .count()
    }

    /// Waits until the activity of the replicas fulfills a condition; panics with `what` after 10 s.
    pub(crate) async fn wait_until(
        &self,
        what: &str,
        condition: impl Fn(&ReplicaActivity) -> bool,
    ) {
        let wait = async {
            while !condition(&self.activity.lock().unwrap()) {
                tokio::task::yield_now().await;
            }
        };
        tokio::time::timeout(Duration::from_secs(10), wait)
            .await
            .unwrap_or_else(|_| panic!("not within 10 s: {what}"));
    }

    /// Waits until a replica has received an attempt; panics after 10 s.
    pub(crate) async fn wait_for_attempt_at(&self, number: usize) {
        self.wait_until("an attempt at the replica", |activity| {
            let mut attempts = activity.attempts.iter();
            attempts.any(|(replica, _)| *replica == number)
        })
        .await;
    }

    /// Asserts that within 1 s no KV cache is reserved, no request is in flight and none is open in the dispatcher.
    pub(crate) async fn assert_all_released(&self) {
        let wait = async {
            self.dispatcher.wait_until_idle().await;
            self.wait_until("all released", |activity| {
                activity.kv_caches.is_empty() && activity.in_flight == 0
            })
            .await;
        };
        let remaining = || {
            let activity = self.activity.lock().unwrap();
            format!(
                "KV caches {:?}, {} in flight, {} open",
                activity.kv_caches,
                activity.in_flight,
                self.dispatcher.open_requests()
            )
        };
        tokio::time::timeout(Duration::from_secs(1), wait)
            .await
            .unwrap_or_else(|_| panic!("not released within 1 s: {}", remaining()));
    }

    /// Drains the dispatcher and tells its listeners to close, as at the end of the time in which new connections are
    /// accepted.
    pub(crate) async fn drain(&self) {
        self.start_drain().await;
        self.shutdown.send(ShutdownPhase::Closing).unwrap();
    }

    /// Drains the dispatcher, but not its listeners. Requests that arrive from now on are shed; the others get their outcome
    /// within 3 s.
    pub(crate) async fn start_drain(&self) {
        let schedule = DrainSchedule {
            admit_within: Duration::ZERO,
            respond_within: Duration::from_secs(3),
        };
        self.dispatcher.send(Event::Drain(schedule)).await;
        self.dispatcher
            .wait_for_readiness(dispatcher::Readiness::Draining)
            .await;
    }
}
