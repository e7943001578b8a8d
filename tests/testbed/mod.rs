//! Stand-in prefill and decode replicas on loopback ([`replicas`]), a dispatcher in front of them that is assembled as `main`
//! does it ([`Fleet`]), and a client of its sessions ([`session_client`]).

// Each test program uses a part of this module.
#![allow(dead_code, unused_imports)]

mod profile;
mod replicas;
mod session_client;

use miniserde::json;
use quartzhall::config::{Deployment, EndpointList, SessionConfig, SettingsObject};
use quartzhall::dispatcher::{self, Clock, Core, DispatcherHandle, Event};
use quartzhall::frontend::memory_budget::BodyMemoryBudget;
use quartzhall::frontend::{admin, health_check, http, listener, websocket, ShutdownPhase};
use quartzhall::net::connection_limit::ConnectionLimit;
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

/// The node side alone, with a test in the core's place.
pub(crate) fn start_backend(
    over_sessions: &[String],
) -> (mpsc::Sender<dispatcher::Command>, dispatcher::EventReceiver) {
    start_backend_with_queue(16, over_sessions)
}

/// The same, and so many commands may wait for it.
pub(crate) fn start_backend_with_queue(
    queue_length: usize,
    over_sessions: &[String],
) -> (mpsc::Sender<dispatcher::Command>, dispatcher::EventReceiver) {
    let profile: SettingsObject = json::from_str(SETTINGS).unwrap();
    let deployment = Arc::new(Deployment::new(&profile).unwrap());
    let bounds = deployment.bounds;
    let (dispatcher, events) = dispatcher::channel(deployment);
    let (commands, command_queue) = mpsc::channel(queue_length);
    let session_addresses = over_sessions.iter().cloned().collect();
    tokio::spawn(backend::run(
        command_queue,
        dispatcher,
        bounds,
        ConnectionLimit::new(10),
        session_addresses,
        backend::StreamMigration::disabled(),
        Logger::root(Discard, o!()),
    ));
    (commands, events)
}

/// The stand-ins and the dispatcher before them.
pub(crate) struct Fleet {
    pub dispatcher: DispatcherHandle,
    pub activity: Arc<Mutex<ReplicaActivity>>,
    pub resume: Arc<Notify>,
    pub http_address: String,
    pub websocket_address: String,
    pub management_address: String,
    pub shutdown: watch::Sender<ShutdownPhase>,
    pub frontend_task: tokio::task::JoinHandle<()>,
    pub replica_addresses: Vec<String>,
    replicas: Vec<Arc<StandInReplica>>,
    deployment: Mutex<Deployment>,
    log: Logger,
}

async fn bind() -> (TcpListener, String) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    (listener, address)
}

impl Fleet {
    /// Two readers (0, 1) and two writers (2, 3), over HTTP/1.1 or sessions. Writer 3 is not told of at first.
    #[expect(
        clippy::too_many_lines,
        reason = "puts a whole dispatcher together, as process does"
    )]
    pub(crate) async fn start(over_sessions: bool) -> Fleet {
        let log = Logger::root(Discard, o!());
        let (activity, resume) = (
            Arc::new(Mutex::new(ReplicaActivity::default())),
            Arc::new(Notify::new()),
        );
        let (mut stand_ins, mut replica_addresses) = (Vec::new(), Vec::new());
        for number in 0..4 {
            let is_prefill = number < 2;
            let replica = StandInReplica::new(number, is_prefill, activity.clone(), resume.clone());
            let routes = replica.clone().routes();
            let (listener, address) = bind().await;
            tokio::spawn(async move { axum::serve(listener, routes).await });
            stand_ins.push(replica);
            replica_addresses.push(address);
        }
        let profile: SettingsObject = json::from_str(SETTINGS).unwrap();
        let (deployment, second) = (
            Deployment::new(&profile).unwrap(),
            Deployment::new(&profile).unwrap(),
        );
        let clock = Clock::start();
        let deployment = Arc::new(deployment);
        let (dispatcher, events) = dispatcher::channel(deployment.clone());
        let core = Core::new(deployment.clone(), 100, 7, clock.now(), log.clone());
        let (commands, command_queue) = mpsc::channel(64);
        let session_addresses = if over_sessions {
            replica_addresses.iter().cloned().collect()
        } else {
            Default::default()
        };
        tokio::spawn(backend::run(
            command_queue,
            dispatcher.clone(),
            deployment.bounds,
            ConnectionLimit::new(100),
            session_addresses,
            backend::StreamMigration::disabled(),
            log.clone(),
        ));
        tokio::spawn(dispatcher::run(core, clock, events, commands, None, None));
        let (shutdown, shutdown_phase) = watch::channel(ShutdownPhase::Serving);
        let options = r#"{"most_sessions":4,"most_message":4000,"reattach_ms":200,"most_requests":8,"record_text":4000}"#;
        let options = Arc::new(SessionConfig::parse(options).unwrap());
        let (listener, websocket_address) = bind().await;
        let memory_budget = BodyMemoryBudget::new(10_000);
        let session_frontend = websocket::SessionFrontend::new(
            dispatcher.clone(),
            options,
            memory_budget.clone(),
            1,
            shutdown_phase.clone(),
            log.clone(),
        );
        let routes = websocket::routes(session_frontend.clone())
            .merge(health_check::routes(dispatcher.clone()));
        let session_listener = listener::serve(
            listener,
            routes,
            ConnectionLimit::new(50),
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
        let routes = http::routes(dispatcher.clone(), memory_budget, log.clone());
        let http_listener = listener::serve(
            listener,
            routes,
            ConnectionLimit::new(50),
            shutdown_phase,
            log.clone(),
        );
        let frontend_task = tokio::spawn(async move {
            tokio::join!(session_listener, http_listener);
            session_frontend.wait_until_closed().await;
        });
        let deployment = Mutex::new(second);
        let replicas = stand_ins;
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

    pub(crate) fn set_behavior(&self, number: usize, behavior: Behavior) {
        self.replicas[number].set_behavior(behavior);
    }

    /// Discovery tells of changes.
    pub(crate) async fn update_discovery(&self, phases: &[(usize, &str)]) {
        let line = |(number, phase): &(usize, &str)| {
            let kind = if *number < 2 { "prefill" } else { "decode" };
            let address = &self.replica_addresses[*number];
            format!(
                r#"{{"id":"n{number}","host_port":"{address}","locality":"east","flavor":"{kind}","cell":1,"phase":"{phase}"}}"#
            )
        };
        let lines: Vec<String> = phases.iter().map(line).collect();
        let text = format!(
            r#"{{"revision":1,"complete":false,"members":[{}]}}"#,
            lines.join(",")
        );
        let list: EndpointList = discovery::parse_list(text.as_bytes()).unwrap();
        let event =
            discovery::endpoints_changed(&mut self.deployment.lock().unwrap(), &list, &self.log);
        self.dispatcher.send(event).await;
    }

    pub(crate) fn attempts_at(&self, number: usize) -> usize {
        self.activity
            .lock()
            .unwrap()
            .attempts
            .iter()
            .filter(|(node, _)| *node == number)
            .count()
    }

    /// Waits until something holds at the replicas.
    pub(crate) async fn wait_until(
        &self,
        what: &str,
        condition: impl Fn(&ReplicaActivity) -> bool,
    ) {
        let waits = async {
            while !condition(&self.activity.lock().unwrap()) {
                tokio::task::yield_now().await;
            }
        };
        tokio::time::timeout(Duration::from_secs(10), waits)
            .await
            .unwrap_or_else(|_| panic!("never: {what}"));
    }

    /// Within 1 s nothing is left: no state, no place, nothing in the core's table.
    pub(crate) async fn assert_all_released(&self) {
        let waits = async {
            self.dispatcher.wait_until_idle().await;
            self.wait_until("nothing held", |activity| {
                activity.kv_caches.is_empty() && activity.in_flight == 0
            })
            .await;
        };
        let left = || {
            let activity = self.activity.lock().unwrap();
            format!(
                "{:?}, {} places, {} open",
                activity.kv_caches,
                activity.in_flight,
                self.dispatcher.open_requests()
            )
        };
        tokio::time::timeout(Duration::from_secs(1), waits)
            .await
            .unwrap_or_else(|_| panic!("left: {}", left()));
    }

    pub(crate) async fn drain(&self) {
        self.dispatcher
            .send(Event::Drain(std::time::Duration::from_secs(3)))
            .await;
        self.dispatcher
            .wait_for_readiness(dispatcher::Readiness::Draining)
            .await;
        self.shutdown.send(ShutdownPhase::Closing).unwrap();
    }
}
