//! The dispatcher: its command line and its signals.

use clap::{Parser, Subcommand};
use quartzhall::config::reload;
use quartzhall::config::{Config, Deployment, SessionConfig};
use quartzhall::dispatcher::{Clock, Core, DispatcherHandle, Event, Readiness};
use quartzhall::frontend::memory_budget::BodyMemoryBudget;
use quartzhall::frontend::{admin, health_check, http, listener, websocket, ShutdownPhase};
use quartzhall::gossip::transport::GossipTransport;
use quartzhall::gossip::Gossip;
use quartzhall::net::connection_limit::{ConnectionLimit, SHARE_UNITS};
use quartzhall::recording::TraceRecorder;
use quartzhall::upgrade::resource_shares::ProcessState;
use quartzhall::upgrade::stream_migration;
use quartzhall::upgrade::{PeerProcesses, ResourceLimits, UpgradeCoordinator};
use quartzhall::{backend, discovery, dispatcher, upgrade};
use quartzhall_recording::{Key, Recorder};
use slog::{info, o, warn, Drain, Level, Logger};
use std::path::{Path, PathBuf};
use std::pin::pin;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;
use tokio::time::timeout;

/// After SIGTERM new connections are served for so long, until balancers in front have noticed.
const GRACE: Duration = Duration::from_millis(500);

/// Whoever ends this process kills it after the longest deadline, or this if that is longer, ...
const LONGEST: Duration = Duration::from_secs(3);
/// ... and this.
const KILL_AFTER: Duration = Duration::from_millis(700);
/// All that is no stream is answered so long before, so that what is held for it can be let go.
const LAST: Duration = Duration::from_millis(500);

/// A successor waits so long for discovery's list before it takes the one that it was told ...
const LIST_TIME: Duration = Duration::from_millis(1500);
/// ... and so long for its part of the limits.
const SHARE_TIME: Duration = Duration::from_millis(1500);

/// So many records may wait for the file.
const RECORDS: usize = 8192;
/// An address that a predecessor still has is tried again after this.
const ADDRESS_AGAIN: Duration = Duration::from_millis(50);

/// A dispatcher for fleets of language-model servers.
#[derive(Parser)]
#[command(name = "quartzhall", version)]
struct Arguments {
    #[command(subcommand)]
    command: Task,
}

#[derive(Subcommand)]
enum Task {
    /// Run the dispatcher until SIGTERM. SIGHUP: read the configuration again and follow its `discovery`.
    Serve {
        /// The configuration, as JSON.
        #[arg(long, env = "GW_CONFIG")]
        config: PathBuf,
        /// The session file: where WebSocket sessions are taken and opened. Without it they are off.
        #[arg(long)]
        websocket: Option<PathBuf>,
        /// Where operators call, in place of the configuration's `management`.
        #[arg(long, env = "GW_MANAGEMENT")]
        management: Option<String>,
        /// Record arrivals, attempts and answers to this new file, without texts or names of sessions.
        #[arg(long)]
        record: Option<PathBuf>,
        /// What is logged: error, warning, info or debug.
        #[arg(long, env = "QUARTZHALL_LOG", default_value = "info", value_parser = level)]
        log: Level,
    },
    /// Read the configuration and the session file, say what they hold, and end.
    Check {
        /// The configuration, as JSON.
        #[arg(long, env = "GW_CONFIG")]
        config: PathBuf,
        /// The session file.
        #[arg(long)]
        websocket: Option<PathBuf>,
    },
    /// Print the version.
    Version,
}

fn level(word: &str) -> Result<Level, String> {
    word.parse().map_err(|()| "not a level of the log".into())
}

fn text(path: &Path) -> Result<String, String> {
    std::fs::read_to_string(path).map_err(|error| format!("{}: {error}", path.display()))
}

fn read(
    config: &Path,
    websocket: Option<&Path>,
) -> Result<(String, Config, Deployment, SessionConfig), String> {
    let whole = text(config)?;
    let config = Config::parse(&whole)?;
    let site = Deployment::new(&config.settings)?;
    let off = || Ok("{}".to_owned());
    let sessions = SessionConfig::parse(&websocket.map_or_else(off, text)?)?;
    Ok((whole, config, site, sessions))
}

async fn listen(address: &str) -> Result<TcpListener, String> {
    TcpListener::bind(address)
        .await
        .map_err(|error| format!("{address}: {error}"))
}

/// A listener on an address that is not inherited: a successor waits until its predecessor has let go of it.
enum Late {
    Bound(TcpListener),
    Waits(String),
}

impl Late {
    async fn bind(address: Option<String>, predecessor: bool) -> Result<Option<Late>, String> {
        Ok(match address {
            None => None,
            Some(address) if predecessor => Some(Late::Waits(address)),
            Some(address) => Some(Late::Bound(listen(&address).await?)),
        })
    }

    /// `None`: this process ends before.
    async fn listener(self, mut course: watch::Receiver<ShutdownPhase>) -> Option<TcpListener> {
        let address = match self {
            Late::Bound(listener) => return Some(listener),
            Late::Waits(address) => address,
        };
        loop {
            if let Ok(listener) = listen(&address).await {
                return Some(listener);
            }
            let leaves = course.wait_for(|course| *course > ShutdownPhase::Serving);
            if timeout(ADDRESS_AGAIN, leaves).await.is_ok() {
                return None;
            }
        }
    }
}

/// Writes to standard error from a thread of its own; a log that nobody reads is dropped and counted.
fn logger(level: Level) -> (Logger, slog_async::AsyncGuard) {
    let plain = slog_term::PlainDecorator::new(std::io::stderr());
    let format = slog_term::FullFormat::new(plain)
        .use_utc_timestamp()
        .build()
        .ignore_res();
    let (drain, guard) = slog_async::Async::new(format)
        .chan_size(4096)
        .build_with_guard();
    (Logger::root(drain.filter_level(level).fuse(), o!()), guard)
}

/// What the processes of one dispatcher share.
#[derive(Clone)]
struct Shares {
    clients: ConnectionLimit,
    nodes: ConnectionLimit,
    rooms: BodyMemoryBudget,
}

impl ResourceLimits for Shares {
    fn apply_share(&self, part: u32) -> u32 {
        self.rooms.set_share(part);
        let used = [&self.clients, &self.nodes].map(|places| {
            places.set_share(part, 4);
            (places.in_use() * SHARE_UNITS as usize).div_ceil(places.capacity().max(1)) as u32
        });
        used[0].max(used[1])
    }
}

/// Tells other processes of this dispatcher that this one is there, where they have a folder in common.
fn post(name: &str, clock: Clock, log: &Logger) -> Option<UpgradeCoordinator> {
    let folder = std::env::var_os("TMPDIR").filter(|it| !it.is_empty())?;
    let posted = UpgradeCoordinator::start(Path::new(&folder), name, clock.now(), log.clone());
    posted
        .map_err(|error| warn!(log, "no notice for other processes"; "error" => %error))
        .ok()
}

/// A recording to a new file: none is ever written over.
fn recording(
    path: &Path,
    name: &str,
    clock: Clock,
    site: &Deployment,
) -> Result<(TraceRecorder, Recorder), String> {
    let wrong =
        |error: &dyn std::fmt::Display| format!("the recording {}: {error}", path.display());
    let mut secret = [0; 32];
    getrandom::fill(&mut secret).map_err(|error| wrong(&error))?;
    let file = std::fs::File::create_new(path).map_err(|error| wrong(&error))?;
    let recorder = Recorder::start(file, RECORDS).map_err(|error| wrong(&error))?;
    Ok((
        TraceRecorder::new(Key::from_secret(&secret), clock.now(), name, site),
        recorder,
    ))
}

/// Waits until a successor can take clients: it has a list, discovery's own if that comes soon, and its part of the
/// limits, if the predecessor comes down to its own soon.
async fn take_over(
    door: &DispatcherHandle,
    known: Option<Event>,
    view: &mut watch::Receiver<PeerProcesses>,
) {
    if timeout(LIST_TIME, door.wait_for_readiness(Readiness::Standby))
        .await
        .is_err()
    {
        if let Some(known) = known {
            door.send(known).await;
        }
        door.wait_for_readiness(Readiness::Standby).await;
    }
    let _ = timeout(
        SHARE_TIME,
        view.wait_for(|view| view.share >= SHARE_UNITS / 4),
    )
    .await;
}

async fn serve(
    (file, text): (PathBuf, String),
    config: Config,
    site: Deployment,
    sessions: SessionConfig,
    management: Option<String>,
    record: Option<PathBuf>,
    log: Logger,
) -> Result<(), String> {
    // Signals come first: one that came before its handler would end the program.
    let hangup = signal(SignalKind::hangup()).map_err(|error| error.to_string())?;
    let mut terminate = signal(SignalKind::terminate()).map_err(|error| error.to_string())?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(|error| error.to_string())?;
    let inherited = std::env::var("GW_SOCKET_FD")
        .ok()
        .filter(|it| !it.is_empty());
    let platform_listener = match &inherited {
        Some(descriptor) => {
            let inherited =
                upgrade::inherited_listener(descriptor).map_err(|error| error.to_string())?;
            TcpListener::from_std(inherited).map_err(|error| error.to_string())?
        }
        None => listen(&config.listen).await?,
    };
    info!(log, "start"; "stage" => "listening");
    let clock = Clock::start();
    let mut handover = inherited
        .is_some()
        .then(|| post(&config.name, clock, &log))
        .flatten();
    let view = handover
        .as_ref()
        .map_or(PeerProcesses::default(), UpgradeCoordinator::peer_processes);
    let session_listener = Late::bind(sessions.listen.clone(), view.predecessor).await?;
    let agent_listener = Late::bind(sessions.agent_check.clone(), view.predecessor).await?;
    let mut management_listener = None;
    if let Some(address) = management
        .as_ref()
        .or(config.management.as_ref())
        .filter(|it| !it.is_empty())
    {
        management_listener = Some(listen(address).await?);
    }
    let seed = u64::from_str_radix(&config.seed, 16).map_err(|_| "the seed is not hexadecimal")?;
    let (client_sockets, node_sockets) = config.limits.socket_budgets();
    let memory = (config.limits.memory_mb.unwrap_or(192) as usize).saturating_mul(1 << 20);
    let (sessions, shaking) = sessions.within(client_sockets, memory);
    // SessionConfig, where they are taken, get theirs out of the clients' part.
    let for_sessions = session_listener
        .as_ref()
        .map_or(0, |_| sessions.max_sessions + shaking);

    let site = Arc::new(site);
    let (door, inbox) = dispatcher::channel(site.clone());
    let mut core = Core::new(site.clone(), node_sockets, seed, clock.now(), log.clone());
    let mut recorder = None;
    if let Some(path) = &record {
        let (notes, to) = recording(path, &config.name, clock, &site)?;
        core.set_trace_recorder(notes);
        recorder = Some(to);
    }
    if let Some(marks) = handover
        .as_mut()
        .and_then(UpgradeCoordinator::read_changed_bans)
    {
        core.handle_event(clock.now(), Event::BanRecordsReceived(marks));
    }
    let mut members_site = Deployment::new(&config.settings)?;
    let known = config
        .known
        .as_ref()
        .map(|known| discovery::endpoints_changed(&mut members_site, known, &log));
    // A successor hears discovery first: what it was told at its start may be as old as its predecessor.
    let (mut known_later, mut revision) = (None, None);
    match known {
        Some(known) if !view.predecessor => {
            core.handle_event(clock.now(), known);
            revision = config
                .known
                .as_ref()
                .filter(|known| known.complete)
                .map(|known| known.revision);
        }
        known => known_later = known,
    }
    if view.predecessor {
        core.start_in_standby();
    }
    info!(log, "start"; "stage" => "the core is made", "members" => core.endpoint_count());
    let (commands, commanded) = mpsc::channel(1024);
    let (set_moving, moving) = stream_migration::migration_signal();
    let speak_sessions = sessions.websocket_endpoints.iter().cloned().collect();
    let bounds = site.bounds;
    let limits = Shares {
        clients: ConnectionLimit::new(client_sockets - for_sessions),
        nodes: ConnectionLimit::new(node_sockets),
        rooms: BodyMemoryBudget::new(memory / 1024 / 3),
    };
    if view.predecessor {
        limits.apply_share(view.share);
    }
    let Shares {
        clients,
        nodes: to_nodes,
        rooms,
    } = limits.clone();
    // Without any of these the dispatcher would take requests and answer none: it ends instead.
    let mut vital = JoinSet::new();
    vital.spawn(backend::run(
        commanded,
        door.clone(),
        bounds,
        to_nodes.clone(),
        speak_sessions,
        moving,
        log.clone(),
    ));
    let mut others = None;
    if let Some((price, peers)) = site
        .gossip_cost
        .zip(GossipTransport::new(&config))
        .filter(|(_, it)| it.peer_count() > 0)
    {
        let (tell, telling) = GossipTransport::queue();
        core.set_gossip(Gossip::new(peers.peer_count() + 1, price));
        others = Some(tell);
        tokio::spawn(peers.run(telling, door.clone(), log.clone()));
    }
    vital.spawn(dispatcher::run(
        core, clock, inbox, commands, recorder, others,
    ));
    let (set_discovery, discovery) = watch::channel(config.discovery);
    vital.spawn(discovery::run(
        discovery,
        members_site,
        seed,
        revision,
        door.clone(),
        log.clone(),
    ));
    vital.spawn(reload::run(
        file,
        text,
        hangup,
        door.clone(),
        set_discovery,
        log.clone(),
    ));
    if let Some(at) = management_listener {
        // Operators are answered to the very end.
        vital.spawn(admin::serve(at, door.clone(), log.clone()));
    }
    let (set_phase, phase) = watch::channel(ProcessState::Starting);
    let (set_view, mut view) = watch::channel(view);
    let mut mover = None;
    if let Some(handover) = handover {
        // Streams come in from a predecessor, and go out to a successor.
        match handover.listen() {
            Ok(at) => drop(vital.spawn(stream_migration::receive_streams(
                at,
                clients.clone(),
                to_nodes,
                log.clone(),
            ))),
            Err(error) => warn!(log, "no streams can be taken in"; "error" => %error),
        }
        let (streams, whole) = mpsc::channel(64);
        let (doors, seen) = (handover.stream_socket_path(), view.clone());
        let path = move || seen.borrow().successor.map(&doors);
        vital.spawn(stream_migration::send_streams(path, whole, log.clone()));
        mover = Some(streams);
        vital.spawn(upgrade::run(
            handover,
            limits,
            door.clone(),
            phase,
            set_view,
        ));
    }

    info!(log, "start"; "stage" => "tasks run", "tasks" => vital.len());
    let (set_course, course) = watch::channel(ShutdownPhase::Serving);
    let routes = http::routes(door.clone(), rooms.clone(), log.clone());
    let most = clients.capacity();
    let mut fronts = JoinSet::new();
    let options = Arc::new(sessions);
    let shared = websocket::SessionFrontend::new(
        door.clone(),
        options,
        rooms,
        seed,
        course.clone(),
        log.clone(),
    );
    if let Some(late) = session_listener {
        let routes = websocket::routes(shared.clone()).merge(health_check::routes(door.clone()));
        let (course, log) = (course.clone(), log.clone());
        fronts.spawn(async move {
            let Some(at) = late.listener(course.clone()).await else {
                return;
            };
            listener::serve(at, routes, ConnectionLimit::new(shaking), course, None, log).await;
        });
    }
    if let Some(late) = agent_listener {
        let (door, course, log) = (door.clone(), course.clone(), log.clone());
        fronts.spawn(async move {
            let Some(at) = late.listener(course.clone()).await else {
                return;
            };
            health_check::serve_agent(at, door, course, log).await;
        });
    }
    info!(log, "serving"; "name" => config.name, "listen" => config.listen, "most_held" => site.bounds.max_open_requests.min(node_sockets),
        "from_clients" => most, "to_nodes" => node_sockets);

    let work = async {
        let ends = async {
            tokio::select! {
                _ = terminate.recv() => {}
                _ = interrupt.recv() => {}
            }
        };
        let mut ends = pin!(ends);
        let opens = async {
            if view.borrow().predecessor {
                take_over(&door, known_later, &mut view.clone()).await;
                info!(log, "takes over"; "view" => ?*view.borrow());
            }
            let _ = set_phase.send(ProcessState::Serving);
            door.send(Event::AcceptClients).await;
        };
        let ended_early = tokio::select! {
            () = ends.as_mut() => true,
            () = opens => false,
        };
        if !ended_early {
            fronts.spawn(listener::serve(
                platform_listener,
                routes,
                clients,
                course,
                mover,
                log.clone(),
            ));
            ends.await;
        }
        let succeeded = view.borrow_and_update().successor.is_some();
        info!(log, "draining"; "open" => door.open_requests(), "succeeded" => succeeded);
        let longest = Duration::from_micros(door.deployment().bounds.max_deadline).min(LONGEST);
        door.send(Event::Drain(longest + KILL_AFTER - LAST)).await;
        let _ = set_phase.send(ProcessState::Leaving);
        if succeeded {
            let _ = set_course.send(ShutdownPhase::Draining);
        }
        tokio::time::sleep(GRACE).await;
        let _ = set_course.send(ShutdownPhase::Closing);
        let _ = set_moving.send(succeeded);
        while fronts.join_next().await.is_some() {}
        shared.wait_until_closed().await;
        door.wait_until_idle().await;
    };
    tokio::select! {
        () = work => {}
        Some(ended) = vital.join_next() => return Err(format!("a task that must not end has ended: {ended:?}")),
    }
    info!(log, "all is answered and let go");
    Ok(())
}

fn run(arguments: Arguments) -> Result<(), String> {
    match arguments.command {
        Task::Version => {
            println!("quartzhall {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
        Task::Check { config, websocket } => {
            let (_, config, site, sessions) = read(&config, websocket.as_deref())?;
            let (classes, tenants) = (site.settings.classes.len(), site.settings.tenants.len());
            let known = config.known.map_or(0, |known| known.members.len());
            println!(
                "{}: {classes} classes, {tenants} tenants, {known} known members",
                config.name
            );
            println!(
                "management: {}",
                config.management.as_deref().unwrap_or("off")
            );
            println!("sessions: {}", sessions.listen.as_deref().unwrap_or("off"));
            Ok(())
        }
        Task::Serve {
            config,
            websocket,
            management,
            record,
            log,
        } => {
            let file = config;
            let (text, config, site, sessions) = read(&file, websocket.as_deref())?;
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build();
            let runtime = runtime.map_err(|error| error.to_string())?;
            let (log, _guard) = logger(log);
            runtime.block_on(serve(
                (file, text),
                config,
                site,
                sessions,
                management,
                record,
                log,
            ))
        }
    }
}

fn main() -> ExitCode {
    match run(Arguments::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("quartzhall: {message}");
            ExitCode::FAILURE
        }
    }
}
