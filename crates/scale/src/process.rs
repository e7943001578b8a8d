//! Real dispatchers: started, sampled, and ended.

use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::process::{Child, Command};
use tokio::time::{sleep, timeout, Instant};

/// A dispatcher has to be ready within this.
const READY_WITHIN: Duration = Duration::from_secs(30);
/// Between two looks whether it is.
const READY_LOOK: Duration = Duration::from_millis(10);
/// It ends within this after SIGTERM.
const ENDS_WITHIN: Duration = Duration::from_secs(15);
/// Units of processor time in `/proc`, in a second.
const TICKS_PER_SECOND: f64 = 100.0;

/// Processor seconds and resident bytes of a process.
#[derive(Clone, Copy, Debug, Default)]
pub struct Sample {
    /// Processor time since its start, in seconds.
    pub core_s: f64,
    /// Resident memory, in MB.
    pub resident_mb: f64,
}

/// Reads what the system tells of a process; `None` where it is gone.
pub fn sample(id: u32) -> Option<Sample> {
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
    let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
    let ticks = |at: usize| fields.get(at).and_then(|it| it.parse::<f64>().ok());
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).ok()?;
    let resident = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))?;
    let resident: f64 = resident.split_whitespace().next()?.parse().ok()?;
    // The 14th and 15th fields of the file are the times in user and kernel mode.
    Some(Sample {
        core_s: (ticks(11)? + ticks(12)?) / TICKS_PER_SECOND,
        resident_mb: resident / 1024.0,
    })
}

/// A real dispatcher, killed when it is let go.
pub struct Dispatcher {
    child: Child,
    /// Where clients connect.
    pub address: String,
    /// Its process.
    pub id: u32,
    config: PathBuf,
    began: Instant,
}

impl Dispatcher {
    /// Starts the program with a configuration, which is written to a file in this folder.
    pub fn start(
        program: &Path,
        folder: &Path,
        name: &str,
        address: String,
        config: &str,
    ) -> Result<Dispatcher, String> {
        let path = folder.join(format!("{name}.json"));
        let wrong = |error: &dyn std::fmt::Display| format!("{name}: {error}");
        std::fs::write(&path, config).map_err(|error| wrong(&error))?;
        let log = std::fs::File::create(folder.join(format!("{name}.log")))
            .map_err(|error| wrong(&error))?;
        let child = Command::new(program)
            .args(["serve", "--config"])
            .arg(&path)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .kill_on_drop(true)
            .spawn()
            .map_err(|error| format!("{}: {error}", program.display()))?;
        let id = child
            .id()
            .ok_or_else(|| format!("{name} has ended at once"))?;
        Ok(Dispatcher {
            child,
            address,
            id,
            config: path,
            began: Instant::now(),
        })
    }

    /// Waits until it is ready; how long that took.
    pub async fn ready(&self) -> Result<Duration, String> {
        let asks = async {
            while !self.is_ready().await {
                sleep(READY_LOOK).await;
            }
        };
        let name = self.config.display();
        timeout(READY_WITHIN, asks)
            .await
            .map_err(|_| format!("{name}: not ready within {READY_WITHIN:?}"))?;
        Ok(self.began.elapsed())
    }

    async fn is_ready(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect(&self.address).await else {
            return false;
        };
        let asked = stream
            .write_all(b"GET /ready HTTP/1.1\r\nHost: scale\r\nConnection: close\r\n\r\n")
            .await;
        let mut answer = String::new();
        asked.is_ok()
            && stream.read_to_string(&mut answer).await.is_ok()
            && answer.starts_with("HTTP/1.1 200")
    }

    /// Tells it to end, as the platform does; an error where it does not end well.
    pub async fn end(mut self) -> Result<(), String> {
        let id = self.id;
        let told = Command::new("sh")
            .args(["-c", &format!("kill -TERM {id}")])
            .status()
            .await;
        told.map_err(|error| error.to_string())?;
        let name = self.config.display().to_string();
        match timeout(ENDS_WITHIN, self.child.wait()).await {
            Ok(Ok(status)) if status.success() => Ok(()),
            Ok(Ok(status)) => Err(format!("{name}: ended with {status}")),
            Ok(Err(error)) => Err(format!("{name}: {error}")),
            Err(_) => Err(format!("{name}: has not ended within {ENDS_WITHIN:?}")),
        }
    }
}
