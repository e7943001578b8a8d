//! Real dispatchers as child processes: start, readiness, resource usage, exit.
//!
//! A [`Dispatcher`] owns its child process and kills it on drop. The soak test starts several processes that share a listening
//! socket, each with a [`LaunchEnvironment`].

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

/// Time within which a dispatcher has to become ready after its start.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// Time between two readiness checks.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Time within which a dispatcher has to exit once its exit is awaited.
const EXIT_TIMEOUT: Duration = Duration::from_secs(15);
/// Clock ticks per second (`USER_HZ`) of the processor times in `/proc/PID/stat`.
const TICKS_PER_SECOND: f64 = 100.0;

/// Processor time and memory of a process.
#[derive(Clone, Copy, Debug, Default)]
pub struct ResourceSample {
    /// Processor time since the start of the process, in core seconds.
    pub cpu_s: f64,
    /// Resident memory, in MB.
    pub resident_mb: f64,
}

/// Reads the resource usage of a process from `/proc`; `None` if the process does not exist or has exited.
pub fn sample_resources(process_id: u32) -> Option<ResourceSample> {
    let stat = std::fs::read_to_string(format!("/proc/{process_id}/stat")).ok()?;
    let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
    let ticks = |index: usize| fields.get(index)?.parse::<f64>().ok();
    let status = std::fs::read_to_string(format!("/proc/{process_id}/status")).ok()?;
    let resident = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))?;
    let resident_kb: f64 = resident.split_whitespace().next()?.parse().ok()?;
    // Fields 14 and 15 of the file are the processor times in user and kernel mode; `fields` starts at field 3.
    Some(ResourceSample {
        cpu_s: (ticks(11)? + ticks(12)?) / TICKS_PER_SECOND,
        resident_mb: resident_kb / 1024.0,
    })
}

/// A dispatcher's process could not be started, did not become ready, or did not shut down cleanly.
#[derive(Debug)]
pub enum ProcessError {
    /// The configuration or log file could not be written.
    File {
        /// The dispatcher's name.
        name: String,
        /// The system's error.
        source: std::io::Error,
    },
    /// The program could not be started.
    Spawn {
        /// Path of the program.
        program: PathBuf,
        /// The system's error.
        source: std::io::Error,
    },
    /// The process exited right after its start.
    ExitedAtStart {
        /// The dispatcher's name.
        name: String,
    },
    /// The dispatcher was not ready in time.
    NotReady {
        /// Its configuration file.
        config: PathBuf,
    },
    /// A signal could not be sent.
    Signal(std::io::Error),
    /// The process exited with an error.
    ExitStatus {
        /// Its configuration file.
        config: PathBuf,
        /// Its exit status.
        status: ExitStatus,
    },
    /// Waiting for the exit failed.
    Wait {
        /// Its configuration file.
        config: PathBuf,
        /// The system's error.
        source: std::io::Error,
    },
    /// The process did not exit in time.
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
            ProcessError::ExitedAtStart { name } => {
                write!(formatter, "{name} exited right after its start")
            }
            ProcessError::NotReady { config } => write!(
                formatter,
                "{}: not ready within {READY_TIMEOUT:?}",
                config.display()
            ),
            ProcessError::Signal(source) => source.fmt(formatter),
            ProcessError::ExitStatus { config, status } => {
                write!(formatter, "{}: exited with {status}", config.display())
            }
            ProcessError::Wait { config, source } => {
                write!(formatter, "{}: {source}", config.display())
            }
            ProcessError::NotExited { config } => write!(
                formatter,
                "{}: did not exit within {EXIT_TIMEOUT:?}",
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
            | ProcessError::Signal(source)
            | ProcessError::Wait { source, .. } => Some(source),
            ProcessError::ExitedAtStart { .. }
            | ProcessError::NotReady { .. }
            | ProcessError::ExitStatus { .. }
            | ProcessError::NotExited { .. } => None,
        }
    }
}

/// What the platform passes to a process when several processes serve the same address during an upgrade.
pub struct LaunchEnvironment {
    /// A duplicate of the listening socket that the processes share.
    pub socket: OwnedFd,
    /// The folder in which the processes find each other, as `TMPDIR`.
    pub shared_folder: PathBuf,
    /// The management address, which is this process's own.
    pub management: String,
    /// The limit of open file descriptors.
    pub max_descriptors: u32,
}

/// Number of the inherited socket's file descriptor in the process.
const INHERITED_DESCRIPTOR: &str = "5";

/// A real dispatcher's process, killed on drop.
pub struct Dispatcher {
    child: Child,
    /// The address to which clients connect.
    pub address: String,
    /// The management address, if other processes may listen at `address` as well.
    management: Option<String>,
    /// The operating system's id of the process.
    pub process_id: u32,
    config_path: PathBuf,
    started: Instant,
}

impl Dispatcher {
    /// Starts the program with a configuration. The files `NAME.json` and `NAME.log` in `folder` take configuration and log.
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
            config_path: path,
            started: Instant::now(),
        })
    }

    /// Waits until the dispatcher is ready, and returns the time since its start.
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
                config: self.config_path.clone(),
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

    /// Returns whether `/ready` at the client address responds with status 200.
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

    /// Sends SIGTERM, as the platform does to stop a process, and waits for the exit.
    ///
    /// # Errors
    ///
    /// Fails if the dispatcher exits with an error, or not within 15 s.
    pub async fn terminate(self) -> Result<(), ProcessError> {
        self.signal("TERM").await?;
        self.wait_for_exit().await
    }

    /// Sends a signal, whose name is given without `SIG`.
    ///
    /// # Errors
    ///
    /// Fails if the shell that sends it cannot be run.
    pub async fn signal(&self, name: &str) -> Result<(), ProcessError> {
        Command::new("sh")
            .args(["-c", &format!("kill -{name} {}", self.process_id)])
            .status()
            .await
            .map_err(ProcessError::Signal)?;
        Ok(())
    }

    /// Waits until the process exits.
    ///
    /// # Errors
    ///
    /// Fails if the dispatcher exits with an error, or not within 15 s.
    pub async fn wait_for_exit(mut self) -> Result<(), ProcessError> {
        let config = self.config_path.clone();
        match timeout(EXIT_TIMEOUT, self.child.wait()).await {
            Ok(Ok(status)) if status.success() => Ok(()),
            Ok(Ok(status)) => Err(ProcessError::ExitStatus { config, status }),
            Ok(Err(source)) => Err(ProcessError::Wait { config, source }),
            Err(_) => Err(ProcessError::NotExited { config }),
        }
    }
}

/// Returns the command that runs the program. With an environment, a shell sets the descriptor limit and moves the socket from
/// standard input to [`INHERITED_DESCRIPTOR`] before it becomes the program.
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

/// Returns whether the process at this management address answers the `ready` command with `ACK`.
async fn answers_ready(management: &str) -> bool {
    let Ok(mut stream) = TcpStream::connect(management).await else {
        return false;
    };
    let mut answer = String::new();
    stream.write_all(b"ready\n").await.is_ok()
        && stream.read_to_string(&mut answer).await.is_ok()
        && answer.starts_with("ACK")
}
