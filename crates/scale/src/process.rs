//! Real dispatchers as child processes: start, sample, terminate.
//!
//! A [`Dispatcher`] owns its child process.

use std::error::Error;
use std::fmt;
use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};
use std::process::{ExitStatus, Stdio};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::process::{Child, Command};
use tokio::time::{sleep, timeout, Instant};

/// A dispatcher has to be ready within this after its start.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// Between two readiness probes.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// A dispatcher has to exit within this after SIGTERM.
const EXIT_TIMEOUT: Duration = Duration::from_secs(15);
/// Units of processor time in `/proc` per second.
const TICKS_PER_SECOND: f64 = 100.0;

/// Processor time and memory of a process.
#[derive(Clone, Copy, Debug, Default)]
pub struct ResourceSample {
    /// Processor time since the process started, in seconds.
    pub cpu_s: f64,
    /// Resident memory, in MB.
    pub resident_mb: f64,
}

/// Reads the resource usage of a process from `/proc`; `None` if it does not exist.
pub fn sample_resources(process_id: u32) -> Option<ResourceSample> {
    let stat = std::fs::read_to_string(format!("/proc/{process_id}/stat")).ok()?;
    let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
    let ticks = |index: usize| fields.get(index)?.parse::<f64>().ok();
    let status = std::fs::read_to_string(format!("/proc/{process_id}/status")).ok()?;
    let resident = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))?;
    let resident_kb: f64 = resident.split_whitespace().next()?.parse().ok()?;
    // The 14th and 15th fields of the file are the times in user and kernel mode.
    Some(ResourceSample {
        cpu_s: (ticks(11)? + ticks(12)?) / TICKS_PER_SECOND,
        resident_mb: resident_kb / 1024.0,
    })
}

/// Why a dispatcher could not be started, did not become ready, or did not shut down cleanly.
#[derive(Debug)]
pub enum ProcessError {
    /// Its configuration or log file could not be written.
    File {
        /// The dispatcher's name.
        name: String,
        /// The system's error.
        source: std::io::Error,
    },
    /// The program could not be started.
    Spawn {
        /// The program.
        program: PathBuf,
        /// The system's error.
        source: std::io::Error,
    },
    /// The process exited right after its start.
    ExitedAtStart {
        /// The dispatcher's name.
        name: String,
    },
    /// It was not ready in time.
    NotReady {
        /// Its configuration file.
        config: PathBuf,
    },
    /// SIGTERM could not be sent.
    Terminate(std::io::Error),
    /// It exited with an error.
    ExitStatus {
        /// Its configuration file.
        config: PathBuf,
        /// What it exited with.
        status: ExitStatus,
    },
    /// Its exit could not be awaited.
    Wait {
        /// Its configuration file.
        config: PathBuf,
        /// The system's error.
        source: std::io::Error,
    },
    /// It did not exit in time after SIGTERM.
    NotExited {
        /// Its configuration file.
        config: PathBuf,
    },
}

impl fmt::Display for ProcessError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ProcessError::File { name, source } => write!(formatter, "{name}: {source}"),
            ProcessError::Spawn { program, source } => {
                write!(formatter, "{}: {source}", program.display())
            }
            ProcessError::ExitedAtStart { name } => write!(formatter, "{name} has ended at once"),
            ProcessError::NotReady { config } => write!(
                formatter,
                "{}: not ready within {READY_TIMEOUT:?}",
                config.display()
            ),
            ProcessError::Terminate(source) => source.fmt(formatter),
            ProcessError::ExitStatus { config, status } => {
                write!(formatter, "{}: ended with {status}", config.display())
            }
            ProcessError::Wait { config, source } => {
                write!(formatter, "{}: {source}", config.display())
            }
            ProcessError::NotExited { config } => write!(
                formatter,
                "{}: has not ended within {EXIT_TIMEOUT:?}",
                config.display()
            ),
        }
    }
}

impl Error for ProcessError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            ProcessError::File { source, .. }
            | ProcessError::Spawn { source, .. }
            | ProcessError::Terminate(source)
            | ProcessError::Wait { source, .. } => Some(source),
            ProcessError::ExitedAtStart { .. }
            | ProcessError::NotReady { .. }
            | ProcessError::ExitStatus { .. }
            | ProcessError::NotExited { .. } => None,
        }
    }
}

/// What a process of a dispatcher has in common with those beside it during an upgrade.
pub struct LaunchEnvironment {
    /// A duplicate of the platform's listening socket.
    pub socket: OwnedFd,
    /// The folder through which the processes find each other.
    pub shared_folder: PathBuf,
    /// Where this process alone answers operators.
    pub management: String,
    /// How many descriptors it may have.
    pub max_descriptors: u32,
}

/// The number that the inherited socket has in the process.
const INHERITED_DESCRIPTOR: &str = "5";

/// A real dispatcher, killed on drop.
pub struct Dispatcher {
    child: Child,
    /// Where clients connect.
    pub address: String,
    /// Where operators are answered, if this is one of several processes at the address.
    management: Option<String>,
    /// Its process id.
    pub process_id: u32,
    config: PathBuf,
    started: Instant,
}

impl Dispatcher {
    /// Starts the program with a configuration. The configuration and the log are files `name.json` and `name.log` in `folder`.
    ///
    /// # Errors
    ///
    /// Fails if a file cannot be written, or the program cannot be started.
    pub fn start(
        program: &Path,
        folder: &Path,
        name: &str,
        address: String,
        config: &str,
        environment: Option<LaunchEnvironment>,
    ) -> Result<Dispatcher, ProcessError> {
        let file_error = |source| ProcessError::File {
            name: name.to_owned(),
            source,
        };
        let path = folder.join(format!("{name}.json"));
        std::fs::write(&path, config).map_err(file_error)?;
        let log = std::fs::File::create(folder.join(format!("{name}.log"))).map_err(file_error)?;
        let management = environment
            .as_ref()
            .map(|environment| environment.management.clone());
        let child = command(program, environment)
            .args(["serve", "--config"])
            .arg(&path)
            .stdout(Stdio::null())
            .stderr(log)
            .kill_on_drop(true)
            .spawn()
            .map_err(|source| ProcessError::Spawn {
                program: program.to_owned(),
                source,
            })?;
        let Some(process_id) = child.id() else {
            return Err(ProcessError::ExitedAtStart {
                name: name.to_owned(),
            });
        };
        Ok(Dispatcher {
            child,
            address,
            management,
            process_id,
            config: path,
            started: Instant::now(),
        })
    }

    /// Waits until the dispatcher is ready, and returns the time from its start until then.
    ///
    /// # Errors
    ///
    /// Fails if it is not ready within 30 s.
    pub async fn wait_until_ready(&self) -> Result<Duration, ProcessError> {
        let poll = async {
            while !self.is_ready().await {
                sleep(READY_POLL_INTERVAL).await;
            }
        };
        if timeout(READY_TIMEOUT, poll).await.is_err() {
            return Err(ProcessError::NotReady {
                config: self.config.clone(),
            });
        }
        Ok(self.started.elapsed())
    }

    async fn is_ready(&self) -> bool {
        match &self.management {
            Some(management) => answers_ready(management).await,
            None => self.serves_ready().await,
        }
    }

    async fn serves_ready(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect(&self.address).await else {
            return false;
        };
        let sent = stream
            .write_all(b"GET /ready HTTP/1.1\r\nHost: scale\r\nConnection: close\r\n\r\n")
            .await;
        let mut response = String::new();
        sent.is_ok()
            && stream.read_to_string(&mut response).await.is_ok()
            && response.starts_with("HTTP/1.1 200")
    }

    /// Sends SIGTERM, as the platform does, and waits for the exit.
    ///
    /// # Errors
    ///
    /// Fails if the dispatcher exits with an error, or not within 15 s.
    pub async fn terminate(self) -> Result<(), ProcessError> {
        self.signal("TERM").await?;
        self.wait_for_exit().await
    }

    /// Sends a signal, named without its `SIG`.
    ///
    /// # Errors
    ///
    /// Fails if it could not be sent.
    pub async fn signal(&self, name: &str) -> Result<(), ProcessError> {
        Command::new("sh")
            .args(["-c", &format!("kill -{name} {}", self.process_id)])
            .status()
            .await
            .map_err(ProcessError::Terminate)?;
        Ok(())
    }

    /// Waits for the exit.
    ///
    /// # Errors
    ///
    /// Fails if the dispatcher exits with an error, or not within 15 s.
    pub async fn wait_for_exit(mut self) -> Result<(), ProcessError> {
        let config = self.config.clone();
        match timeout(EXIT_TIMEOUT, self.child.wait()).await {
            Ok(Ok(status)) if status.success() => Ok(()),
            Ok(Ok(status)) => Err(ProcessError::ExitStatus { config, status }),
            Ok(Err(source)) => Err(ProcessError::Wait { config, source }),
            Err(_) => Err(ProcessError::NotExited { config }),
        }
    }
}

/// The program, with what it inherits: a shell puts the socket where the platform does.
fn command(program: &Path, environment: Option<LaunchEnvironment>) -> Command {
    let Some(environment) = environment else {
        let mut command = Command::new(program);
        command.stdin(Stdio::null());
        return command;
    };
    let script = format!(
        "ulimit -n {}; exec {INHERITED_DESCRIPTOR}<&0 0</dev/null; exec \"$0\" \"$@\"",
        environment.max_descriptors
    );
    let mut command = Command::new("sh");
    command
        .args(["-c", &script])
        .arg(program)
        .env("GW_SOCKET_FD", INHERITED_DESCRIPTOR)
        .env("GW_MANAGEMENT", environment.management)
        .env("TMPDIR", environment.shared_folder)
        .stdin(Stdio::from(environment.socket));
    command
}

/// Whether the process at this management address says that it accepts clients.
async fn answers_ready(management: &str) -> bool {
    let Ok(mut stream) = TcpStream::connect(management).await else {
        return false;
    };
    let mut answer = String::new();
    stream.write_all(b"ready\n").await.is_ok()
        && stream.read_to_string(&mut answer).await.is_ok()
        && answer.starts_with("ACK")
}
