//! The command line of the dispatcher. Errors are printed as one line on standard error.

use clap::{Parser, Subcommand};
use quartzhall::config::LoadedConfig;
use quartzhall::process::{self, ServeOptions};
use slog::Level;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// A dispatcher for fleets of language-model servers.
#[derive(Parser)]
#[command(name = "quartzhall", version)]
struct Arguments {
    #[command(subcommand)]
    command: Subcommands,
}

#[derive(Subcommand)]
enum Subcommands {
    /// Run the dispatcher until SIGTERM. SIGHUP reloads the configuration.
    Serve {
        /// The configuration file, in JSON.
        #[arg(long, env = "GW_CONFIG")]
        config: PathBuf,
        /// The session file, which configures WebSocket sessions. Without it, they are off.
        #[arg(long)]
        websocket: Option<PathBuf>,
        /// The address of the management interface, instead of the configuration's `management`.
        #[arg(long, env = "GW_MANAGEMENT")]
        management: Option<String>,
        /// Record arrivals, attempts and outcomes to this new file, without request texts or session names.
        #[arg(long)]
        record: Option<PathBuf>,
        /// The log level: error, warning, info or debug.
        #[arg(long, env = "QUARTZHALL_LOG", default_value = "info", value_parser = parse_level)]
        log: Level,
    },
    /// Validate the configuration and the session file, print a summary, and exit.
    Check {
        /// The configuration file, in JSON.
        #[arg(long, env = "GW_CONFIG")]
        config: PathBuf,
        /// The session file.
        #[arg(long)]
        websocket: Option<PathBuf>,
    },
    /// Print the version.
    Version,
}

fn parse_level(name: &str) -> Result<Level, String> {
    name.parse().map_err(|()| "not a log level".into())
}

fn check(config: &Path, websocket: Option<&Path>) -> Result<(), String> {
    let files = LoadedConfig::read(config, websocket).map_err(|error| error.to_string())?;
    let config = files.config;
    let settings = &files.deployment.settings;
    let known_endpoints = config.known.map_or(0, |list| list.members.len());
    println!(
        "{}: {} classes, {} tenants, {known_endpoints} known members",
        config.name,
        settings.classes.len(),
        settings.tenants.len()
    );
    let management = config.management.as_deref().unwrap_or("off");
    println!("management: {management}");
    let sessions = files.sessions.listen.as_deref().unwrap_or("off");
    println!("sessions: {sessions}");
    Ok(())
}

fn run(arguments: Arguments) -> Result<(), String> {
    match arguments.command {
        Subcommands::Version => {
            println!("quartzhall {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
        Subcommands::Check { config, websocket } => check(&config, websocket.as_deref()),
        Subcommands::Serve {
            config,
            websocket,
            management,
            record,
            log,
        } => {
            let files = LoadedConfig::read(&config, websocket.as_deref())
                .map_err(|error| error.to_string())?;
            let options = ServeOptions {
                config_path: config,
                files,
                management,
                recording: record,
            };
            process::run(options, log).map_err(|error| error.to_string())
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
