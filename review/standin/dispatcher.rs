//! The dispatcher's processes, started with the `run` command of `deploy/balancer.toml`.

use crate::{http, record};
use std::net::TcpListener;
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Mutex, PoisonError};
use std::thread::sleep;
use std::time::{Duration, Instant};

extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
    fn prctl(option: i32, value: u64) -> i32;
}

const PR_SET_PDEATHSIG: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;

static CHILDREN: Mutex<Vec<Child>> = Mutex::new(Vec::new());
static FOLDER: Mutex<Option<PathBuf>> = Mutex::new(None);

/// The case's temporary folder, removed at the end.
pub fn folder() -> PathBuf {
    let mut folder = FOLDER.lock().unwrap();
    let name = format!("quartzhall-review-{}", std::process::id());
    let path = folder.get_or_insert_with(|| std::env::temp_dir().join(name));
    let _ = std::fs::create_dir_all(path.join("shared"));
    path.clone()
}

pub fn free_address() -> String {
    TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap()
        .to_string()
}

/// A small deployment after the first brief: its classes, tenants, rules and limits.
pub fn config(listen: &str, discovery: &str, known: &str) -> String {
    format!(
        r#"{{"name":"n1","listen":"{listen}","discovery":"{discovery}","seed":"8c1f30d27a5be964",
 "limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"known":{known},
 "settings":{{"balancers":1,"me":0,"layer":0,"tiers":["assist-fleet"],"zone":"dc-canoas","dcs":["dc-canoas"],"tick":4.0,"family":"twostage",
 "client_habits":{{"marks_retry":false}},"over_share_worth":0.05,"value_by":"work","weights":"nominal",
 "classes":[
  {{"name":"status-query","aim":1500.0,"deadline":7500.0,"repeat":"free","group":"all","key_ttl":5000.0,"late_value":0.2,"streamed":true,"worth":3.0}},
  {{"name":"return-request","aim":2500.0,"deadline":10000.0,"repeat":"single_shot","group":"all","key_ttl":5000.0,"late_value":0.1,"streamed":true,"worth":2.0}}],
 "family_info":{{"role_by_kind":["read","write"],"tokens_by_kind":[244298,132433],"release_within":1000.0,
  "token_aim":[60.0,80.0],"aim_us_per_1000_prompt_tokens":[40000.0,40000.0],"move_fee":0.03,"read_in_place":false,"resume":false,"holds_allowed":false}},
 "limits":{{"most_tries":5,"cancel":true,"conn_idle":30000.0,"dial_timeout":250.0,"retry_after":true,
  "max_retry_after":500.0,"second_copies":true,"most_held":2000,"may_probe":false,"peers":false,"max_streams":1}},
 "machine_types":["prefill","decode"],"membership_mode":"automatic","reporting":{{"via":"answers","fields":["inflight","x0"]}},
 "deductions":{{"cross_zone":0.0,"peer":0.0028,"probe":0.0023}},
 "rules":{{"fall":1500.0,"answer_slack":16.0,"drain_grace":250.0,"cold_from":0.28,"tip_multiple":2.5,"warm_within":14000.0,"must_ask_in":10000.0}},
 "tenants":[{{"name":"coop-serrana","quota_per_s":100.0,"share":1.0}}]}}}}"#
    )
}

pub struct Dispatcher {
    process: i32,
    index: usize,
    pub name: String,
}

/// How a process is started.
#[derive(Default)]
pub struct Start<'a> {
    pub name: &'a str,
    pub config: &'a str,
    pub listen: &'a str,
    /// The session file's text; without it, sessions are off as in the deploy file.
    pub sessions: Option<&'a str>,
}

/// The `run` command of the deploy file.
fn run_command() -> Result<String, String> {
    let text =
        std::fs::read_to_string("deploy/balancer.toml").map_err(|error| error.to_string())?;
    let line = text
        .lines()
        .find(|line| line.starts_with("run = "))
        .ok_or("no run command")?;
    Ok(line.split('"').nth(1).ok_or("no run command")?.to_owned())
}

impl Dispatcher {
    pub fn start(start: &Start) -> Result<Dispatcher, String> {
        let folder = folder();
        let write = |file: &str, text: &str| {
            let path = folder.join(file);
            std::fs::write(&path, text)
                .map(|()| path)
                .map_err(|error| error.to_string())
        };
        let config = write("config.json", start.config)?;
        let mut command = run_command()?;
        if let Some(sessions) = start.sessions {
            let path = write("websocket.json", sessions)?;
            command = command.replace("deploy/websocket.json", &path.to_string_lossy());
        }
        let log = std::fs::File::create(folder.join(format!("{}.log", start.name)))
            .map_err(|error| error.to_string())?;
        let mut shell = Command::new("/bin/sh");
        shell
            .arg("-c")
            .arg(&command)
            .env("GW_CONFIG", &config)
            .env("GW_NAME", "n1");
        shell
            .env("GW_LISTEN", start.listen)
            .env("TMPDIR", folder.join("shared"));
        shell.stdin(Stdio::null());
        shell
            .stdout(log.try_clone().map_err(|error| error.to_string())?)
            .stderr(log);
        // SAFETY: prctl may be called between fork and exec. The process ends with this one, however this one ends.
        unsafe {
            shell.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL as u64);
                Ok(())
            });
        }
        let child = shell.spawn().map_err(|error| error.to_string())?;
        let process = child.id() as i32;
        let mut children = CHILDREN.lock().unwrap();
        children.push(child);
        record::line(&format!("{}: started", start.name));
        Ok(Dispatcher {
            process,
            index: children.len() - 1,
            name: start.name.to_owned(),
        })
    }

    pub fn signal(&self, signal: i32) {
        record::line(&format!("{}: signal {signal}", self.name));
        // SAFETY: the process is a child that has not been waited for unless it ended by itself.
        unsafe { kill(self.process, signal) };
    }

    /// Whether the process has ended, and how.
    pub fn ended(&self) -> Option<String> {
        let status = CHILDREN.lock().unwrap()[self.index].try_wait();
        status.ok()?.map(|status| status.to_string())
    }
}

/// Waits until `GET /ready` answers 200.
pub fn wait_until_ready(listen: &str) -> Result<(), String> {
    wait_for("ready", || {
        http::get(listen, "/ready").is_some_and(|answer| answer.word(1) == "200")
    })
}

fn wait_for(what: &str, is_done: impl Fn() -> bool) -> Result<(), String> {
    let give_up_at = Instant::now() + Duration::from_secs(30);
    while !is_done() {
        if Instant::now() > give_up_at {
            return Err(format!("not in time: {what}"));
        }
        sleep(Duration::from_millis(20));
    }
    Ok(())
}

/// Kills what still runs, and keeps the logs' last lines in the record.
pub fn end_all() {
    let mut children = CHILDREN.lock().unwrap_or_else(PoisonError::into_inner);
    for child in children.iter_mut() {
        let _ = child.kill();
        let _ = child.wait();
    }
    let folder = FOLDER.lock().unwrap_or_else(PoisonError::into_inner).take();
    if let Some(folder) = folder {
        for entry in std::fs::read_dir(&folder).into_iter().flatten().flatten() {
            let path = entry.path();
            if path.extension().is_some_and(|extension| extension == "log") {
                let text = std::fs::read_to_string(&path).unwrap_or_default();
                let lines: Vec<&str> = text.lines().collect();
                record::line(&format!("log of {}:", entry.file_name().to_string_lossy()));
                for line in &lines[lines.len().saturating_sub(30)..] {
                    record::line(&format!("    {line}"));
                }
            }
        }
        let _ = std::fs::remove_dir_all(folder);
    }
}
