//! The dispatcher: its command line and its signals.

use clap::{Parser, Subcommand};
use quartzhall::dispatch::{self, Clock, Core, Event};
use quartzhall::fronts::platform;
use quartzhall::settings::{Config, Site};
use quartzhall::{discovery, nodes};
use slog::{info, o, Drain, Level, Logger};
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::{mpsc, watch};

/// After SIGTERM new connections are served for so long, until balancers in front have noticed.
const GRACE: Duration = Duration::from_millis(500);
/// Descriptors that neither clients nor nodes get: listeners, discovery, the runtime's own.
const SPARE_SOCKETS: u64 = 64;

/// A dispatcher for fleets of language-model servers.
#[derive(Parser)]
#[command(name = "quartzhall", version)]
struct Arguments {
    #[command(subcommand)]
    command: Task,
}

#[derive(Subcommand)]
enum Task {
    /// Run the dispatcher until SIGTERM.
    Serve {
        /// The configuration, as JSON.
        #[arg(long, env = "GW_CONFIG")]
        config: PathBuf,
        /// What is logged: error, warning, info or debug.
        #[arg(long, env = "QUARTZHALL_LOG", default_value = "info", value_parser = level)]
        log: Level,
    },
    /// Read a configuration, say what it holds, and end.
    Check {
        /// The configuration, as JSON.
        #[arg(long, env = "GW_CONFIG")]
        config: PathBuf,
    },
    /// Print the version.
    Version,
}

fn level(word: &str) -> Result<Level, String> {
    word.parse().map_err(|()| "not a level of the log".into())
}

fn read(path: &PathBuf) -> Result<(Config, Site), String> {
    let text = std::fs::read_to_string(path).map_err(|error| format!("{}: {error}", path.display()))?;
    let config = Config::parse(&text)?;
    let site = Site::new(&config.settings)?;
    Ok((config, site))
}

/// Writes to standard error from a thread of its own; a log that nobody reads is dropped and counted.
fn logger(level: Level) -> (Logger, slog_async::AsyncGuard) {
    let plain = slog_term::PlainDecorator::new(std::io::stderr());
    let format = slog_term::FullFormat::new(plain).use_utc_timestamp().build().fuse();
    let (drain, guard) = slog_async::Async::new(format).chan_size(4096).build_with_guard();
    (Logger::root(drain.filter_level(level).fuse(), o!()), guard)
}

async fn serve(config: Config, site: Site, log: Logger) -> Result<(), String> {
    let listener = TcpListener::bind(&config.listen).await;
    let listener = listener.map_err(|error| format!("{}: {error}", config.listen))?;
    let seed = u64::from_str_radix(&config.seed, 16).map_err(|_| "the seed is not hexadecimal")?;
    let mut terminate = signal(SignalKind::terminate()).map_err(|error| error.to_string())?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(|error| error.to_string())?;
    let sockets = config.limits.sockets.unwrap_or(1024).saturating_sub(SPARE_SOCKETS).max(16) as usize;
    let memory_kb = config.limits.memory_mb.unwrap_or(192) as usize * 1024;

    let clock = Clock::start();
    let (door, inbox) = dispatch::door();
    let most_held = site.bounds.most_held.min(sockets / 2);
    let mut core = Core::new(site.settings.clone(), most_held, seed, clock.now(), log.clone());
    let mut members_site = Site::new(&config.settings)?;
    if let Some(known) = &config.known {
        core.hear(clock.now(), discovery::members(&mut members_site, known, &log));
    }
    let (commands, commanded) = mpsc::channel(1024);
    tokio::spawn(nodes::run(commanded, door.clone(), site.bounds, sockets / 2, log.clone()));
    tokio::spawn(dispatch::run(core, clock, inbox, commands));
    tokio::spawn(discovery::run(config.discovery, members_site, door.clone(), log.clone()));

    let (set_stop, stop) = watch::channel(false);
    let routes = platform::routes(door.clone(), Arc::new(site), memory_kb / 3, log.clone());
    let front = tokio::spawn(platform::serve(listener, routes, sockets / 2, stop, log.clone()));
    info!(log, "serving"; "name" => config.name, "listen" => config.listen);

    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    info!(log, "draining"; "open" => door.open());
    door.tell(Event::Drain).await;
    tokio::time::sleep(GRACE).await;
    let _ = set_stop.send(true);
    let _ = front.await;
    door.empty().await;
    info!(log, "all is answered and let go");
    Ok(())
}

fn run(arguments: Arguments) -> Result<(), String> {
    match arguments.command {
        Task::Version => {
            println!("quartzhall {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
        Task::Check { config } => {
            let (config, site) = read(&config)?;
            let (classes, tenants) = (site.settings.classes.len(), site.settings.tenants.len());
            let known = config.known.map_or(0, |known| known.members.len());
            println!("{}: {classes} classes, {tenants} tenants, {known} known members", config.name);
            Ok(())
        }
        Task::Serve { config, log } => {
            let (config, site) = read(&config)?;
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
            let runtime = runtime.map_err(|error| error.to_string())?;
            let (log, _guard) = logger(log);
            runtime.block_on(serve(config, site, log))
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
