//! Stand-ins for the cases of the second review: discovery, readers, writers, clients of both fronts, and the start of
//! the dispatcher as a process of its own. Standard library only, blocking sockets and threads, loopback addresses.
//!
//! The stand-ins follow PROTOCOL-quartzhall.md and docs/websocket.md, and behave like a sound server, client or platform
//! where these are silent.
#![allow(dead_code)]

use std::collections::HashMap;
use std::fs::File;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// What was sent, answered and run, with the milliseconds since the start.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> Record {
        let file = File::create(path).unwrap_or_else(|error| could_not_run(&format!("{path:?}: {error}")));
        Record {
            started: Instant::now(),
            file: Arc::new(Mutex::new(file)),
        }
    }

    pub fn line(&self, text: &str) {
        let at = self.started.elapsed();
        let line = format!("{:9.1} ms  {text}\n", at.as_secs_f64() * 1000.0);
        print!("{line}");
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}

/// Ends the case with exit code 2: it could not run. What was started ends on the way out.
pub fn could_not_run(why: &str) -> ! {
    panic!("the case could not run: {why}");
}

/// Plays case `number`, writes its record, and ends with 1 if `play` says that the rule was broken, 0 if it held, and 2 if
/// the case could not run.
pub fn run_case(number: u32, play: impl Fn(&Record) -> bool) -> ! {
    thread::spawn(|| {
        thread::sleep(Duration::from_secs(100));
        eprintln!("the case takes too long");
        // The dispatchers end with this process.
        std::process::exit(2);
    });
    let record = Record::create(Path::new(&format!("review/{number}/record.txt")));
    let played = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| play(&record)));
    let (code, result) = match played {
        Ok(false) => (0, "the rule held"),
        Ok(true) => (1, "the rule was broken"),
        Err(_) => (2, "the case could not run"),
    };
    record.line(&format!("RESULT: {result}"));
    std::process::exit(code)
}

/// Whether the disruption is played: not with `TROUBLE=0`.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Polls a condition for at most `limit`.
pub fn wait_for(limit: Duration, condition: impl Fn() -> bool) -> bool {
    let end = Instant::now() + limit;
    while Instant::now() < end {
        if condition() {
            return true;
        }
        thread::sleep(Duration::from_millis(5));
    }
    condition()
}

/// A free loopback address. The port is bound once and let go, so that another process can bind it.
pub fn free_address() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|error| could_not_run(&error.to_string()));
    listener.local_addr().unwrap().to_string()
}

// ---------------------------------------------------------------- HTTP/1.1

pub struct Head {
    pub first_line: String,
    pub fields: HashMap<String, String>,
    pub body: Vec<u8>,
}

/// Reads a message with a body of a declared length; `None` at the end of the connection.
pub fn read_message(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Head>> {
    let mut first_line = String::new();
    if reader.read_line(&mut first_line)? == 0 {
        return Ok(None);
    }
    let mut fields = HashMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            fields.insert(name.trim().to_ascii_lowercase(), value.trim().to_owned());
        }
    }
    let length = fields
        .get("content-length")
        .and_then(|value| value.parse().ok())
        .unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(Some(Head {
        first_line: first_line.trim_end().to_owned(),
        fields,
        body,
    }))
}

fn write_answer(stream: &mut TcpStream, status: &str, fields: &str, body: &str) -> io::Result<()> {
    let head = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n{fields}\r\n", body.len());
    stream.write_all(format!("{head}{body}").as_bytes())
}

// ---------------------------------------------------------------- discovery

#[derive(Clone)]
pub struct Member {
    pub id: String,
    pub address: String,
    pub flavor: &'static str,
    pub phase: &'static str,
    pub up_since_ms: u64,
}

impl Member {
    pub fn json(&self) -> String {
        format!(
            r#"{{"id":"{}","host_port":"{}","locality":"dc-canoas","flavor":"{}","cell":1,"phase":"{}","size":1.0,"up_since_ms":{}}}"#,
            self.id, self.address, self.flavor, self.phase, self.up_since_ms
        )
    }
}

#[derive(Default)]
struct ListState {
    revision: u64,
    members: Vec<Member>,
    /// The changes, each with the revision that it made.
    changes: Vec<(u64, Member)>,
}

/// The agent of discovery: pushed lists, answered at once, watches held until a change or their time.
#[derive(Clone)]
pub struct Discovery {
    pub address: String,
    state: Arc<(Mutex<ListState>, Condvar)>,
    record: Record,
}

fn list_json(revision: u64, complete: bool, members: &[Member]) -> String {
    let members: Vec<String> = members.iter().map(Member::json).collect();
    format!(
        r#"{{"revision":{revision},"complete":{complete},"members":[{}]}}"#,
        members.join(",")
    )
}

impl Discovery {
    pub fn start(members: Vec<Member>, record: &Record) -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let discovery = Discovery {
            address: listener.local_addr().unwrap().to_string(),
            state: Arc::new((
                Mutex::new(ListState {
                    revision: 1,
                    members,
                    changes: Vec::new(),
                }),
                Condvar::new(),
            )),
            record: record.clone(),
        };
        let server = discovery.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                thread::spawn(move || server.serve(stream));
            }
        });
        discovery
    }

    pub fn full_list(&self) -> String {
        let state = self.state.0.lock().unwrap();
        list_json(state.revision, true, &state.members)
    }

    /// Changes the entry of a replica. `Gone` takes it off the list; any other phase puts it on, if it is not there.
    pub fn change(&self, member: Member) {
        let mut state = self.state.0.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        state.members.retain(|listed| listed.id != member.id);
        if member.phase != "Gone" {
            state.members.push(member.clone());
        }
        self.record.line(&format!(
            "discovery: {} is {} (revision {revision})",
            member.id, member.phase
        ));
        state.changes.push((revision, member));
        self.state.1.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut writer = stream.try_clone().unwrap();
        let mut reader = BufReader::new(stream);
        while let Ok(Some(head)) = read_message(&mut reader) {
            let target = head.first_line.split(' ').nth(1).unwrap_or("").to_owned();
            let number = |name: &str| -> Option<u64> {
                let query = target.split_once('?')?.1;
                query
                    .split('&')
                    .find_map(|pair| pair.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
            };
            let body = match number("from") {
                None => self.full_list(),
                Some(from) => {
                    let hold = Duration::from_millis(number("hold_ms").unwrap_or(0).min(60_000));
                    let state = self.state.0.lock().unwrap();
                    let (state, _) = self
                        .state
                        .1
                        .wait_timeout_while(state, hold, |state| state.revision <= from)
                        .unwrap();
                    let changed: Vec<Member> = state
                        .changes
                        .iter()
                        .filter(|(revision, _)| *revision > from)
                        .map(|(_, member)| member.clone())
                        .collect();
                    list_json(state.revision, false, &changed)
                }
            };
            if write_answer(&mut writer, "200 OK", "Content-Type: application/json\r\n", &body).is_err() {
                return;
            }
        }
    }
}

// ---------------------------------------------------------------- replicas

/// The answer that a writer makes: so many events, one every `pace`, once it had a slot free for the request.
#[derive(Clone, Copy)]
pub struct Plan {
    pub events: usize,
    pub pace: Duration,
    pub slot_after: Duration,
    /// The time from the start of the run to the first token.
    pub first_after: Duration,
}

/// What all replicas hold and have run.
#[derive(Default)]
pub struct Fleet {
    /// The read states that readers hold, by id: the prompt that was read last under this id.
    states: HashMap<String, String>,
    /// By id, how many requests wait at writers for a slot. A release leaves what they wait for.
    waiting: HashMap<String, usize>,
    /// Each request whose last byte has arrived.
    pub attempts: Vec<Attempt>,
    /// When each prompt's request took effect at a writer. A writer discards a repeat within `key_ttl` of the effect
    /// before it: such a repeat is answered and has no effect.
    pub effects: HashMap<String, Vec<Instant>>,
    /// The time for which repeats are discarded; `None`: they are not.
    pub key_ttl: Option<Duration>,
    /// Writers' connections break after the request has run and before anything is answered.
    pub breaks: bool,
    /// Ids of streams that a writer has written to the last chunk.
    pub finished: Vec<String>,
    /// Ids of streams that broke off because the dispatcher closed the connection.
    pub cut: Vec<String>,
}

/// A request as a replica received it.
#[derive(Clone, Debug, PartialEq)]
pub struct Attempt {
    pub replica: String,
    pub id: String,
    pub prompt: String,
    /// Whether the replica is a writer and began to answer.
    pub ran: bool,
}

#[derive(Clone)]
pub struct Replica {
    pub id: String,
    pub address: String,
    pub flavor: &'static str,
    fleet: Arc<Mutex<Fleet>>,
    plan: Arc<Mutex<Plan>>,
    record: Record,
}

/// One event of the answer to a prompt, of a few tokens (a token is four characters).
pub fn event(prompt: &str, index: usize) -> String {
    format!(
        "data: {{\"choices\":[{{\"index\":0,\"delta\":{{\"content\":\"{prompt} {index:04}\"}},\"finish_reason\":null}}]}}\n\n"
    )
}

pub fn last_events(events: usize) -> String {
    format!(
        "data: {{\"choices\":[],\"usage\":{{\"prompt_tokens\":500,\"completion_tokens\":{},\"prompt_tokens_details\":{{\"cached_tokens\":0}}}}}}\n\ndata: [DONE]\n\n",
        events * 3
    )
}

/// The whole text of the answer to a prompt.
pub fn whole_answer(prompt: &str, events: usize) -> String {
    let mut text: String = (0..events).map(|index| event(prompt, index)).collect();
    text.push_str(&last_events(events));
    text
}

impl Replica {
    pub fn start(
        id: &str,
        flavor: &'static str,
        fleet: &Arc<Mutex<Fleet>>,
        plan: &Arc<Mutex<Plan>>,
        record: &Record,
    ) -> Replica {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let replica = Replica {
            id: id.to_owned(),
            address: listener.local_addr().unwrap().to_string(),
            flavor,
            fleet: fleet.clone(),
            plan: plan.clone(),
            record: record.clone(),
        };
        let server = replica.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                thread::spawn(move || {
                    let _ = server.serve(stream);
                });
            }
        });
        replica
    }

    pub fn member(&self, phase: &'static str) -> Member {
        Member {
            id: self.id.clone(),
            address: self.address.clone(),
            flavor: self.flavor,
            phase,
            up_since_ms: 0,
        }
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(head) = read_message(&mut reader)? {
            let mut words = head.first_line.split(' ');
            let (method, target) = (words.next().unwrap_or(""), words.next().unwrap_or(""));
            if let Some(id) = target.strip_prefix("/kv/leases/") {
                if method == "DELETE" {
                    let mut fleet = self.fleet.lock().unwrap();
                    let is_waited_for = fleet.waiting.get(id).is_some_and(|count| *count > 0);
                    if !is_waited_for {
                        fleet.states.remove(id);
                    }
                    drop(fleet);
                    let what = if is_waited_for {
                        "kept for the request that waits"
                    } else {
                        "let go"
                    };
                    self.record.line(&format!("{}: release of {id}: 204, {what}", self.id));
                    writer.write_all(b"HTTP/1.1 204 No Content\r\n\r\n")?;
                } else {
                    write_answer(&mut writer, "404 Not Found", "", "")?;
                }
                continue;
            }
            if method != "POST" {
                write_answer(&mut writer, "404 Not Found", "", "")?;
                continue;
            }
            let Some(id) = head.fields.get("x-trace-id").cloned() else {
                write_answer(&mut writer, "404 Not Found", "", "")?;
                continue;
            };
            let body = String::from_utf8_lossy(&head.body).into_owned();
            let prompt = field(&body, "content").unwrap_or_default();
            let number = {
                let mut fleet = self.fleet.lock().unwrap();
                let (replica, id, prompt) = (self.id.clone(), id.clone(), prompt.clone());
                fleet.attempts.push(Attempt {
                    replica,
                    id,
                    prompt,
                    ran: false,
                });
                fleet.attempts.len() - 1
            };
            if self.flavor == "prefill" {
                self.read_prompt(&mut writer, &id, prompt)?;
            } else {
                self.answer(&mut writer, &id, &prompt, number)?;
            }
        }
        Ok(())
    }

    fn read_prompt(&self, writer: &mut TcpStream, id: &str, prompt: String) -> io::Result<()> {
        self.record
            .line(&format!("{}: read of {id} begins, prompt {prompt:?}", self.id));
        thread::sleep(Duration::from_millis(20));
        self.fleet.lock().unwrap().states.insert(id.to_owned(), prompt);
        self.record.line(&format!("{}: 202 for {id}", self.id));
        write_answer(
            writer,
            "202 Accepted",
            "Content-Type: application/json\r\n",
            r#"{"cached_tokens":0}"#,
        )
    }

    /// Waits for a slot, fetches the state from its reader, and streams the answer to the prompt of that state.
    fn answer(&self, writer: &mut TcpStream, id: &str, prompt: &str, number: usize) -> io::Result<()> {
        let plan = *self.plan.lock().unwrap();
        self.record
            .line(&format!("{}: {id} waits for a slot, prompt {prompt:?}", self.id));
        let has_state = self.fleet.lock().unwrap().states.contains_key(id);
        if has_state {
            *self.fleet.lock().unwrap().waiting.entry(id.to_owned()).or_default() += 1;
            thread::sleep(plan.slot_after);
            *self.fleet.lock().unwrap().waiting.entry(id.to_owned()).or_default() -= 1;
        }
        let state = self.fleet.lock().unwrap().states.remove(id);
        let Some(prompt) = state else {
            self.record.line(&format!("{}: 410 for {id}: no state", self.id));
            return write_answer(writer, "410 Gone", "X-Never-Ran: 1\r\n", "");
        };
        if self.run(id, &prompt, number) {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        self.record.line(&format!(
            "{}: answer of {id} begins, to the state of prompt {prompt:?}",
            self.id
        ));
        thread::sleep(plan.first_after);
        let written = self.write_events(writer, &prompt, plan);
        let mut fleet = self.fleet.lock().unwrap();
        if written.is_ok() {
            self.record.line(&format!("{}: answer of {id} written whole", self.id));
            fleet.finished.push(id.to_owned());
        } else {
            self.record
                .line(&format!("{}: answer of {id} cut by the dispatcher", self.id));
            fleet.cut.push(id.to_owned());
        }
        drop(fleet);
        written
    }

    /// Runs a request, and returns whether its connection breaks then.
    fn run(&self, id: &str, prompt: &str, number: usize) -> bool {
        let mut fleet = self.fleet.lock().unwrap();
        fleet.attempts[number].ran = true;
        let (key_ttl, breaks) = (fleet.key_ttl, fleet.breaks);
        let effects = fleet.effects.entry(prompt.to_owned()).or_default();
        let is_repeat = effects
            .last()
            .is_some_and(|last| key_ttl.is_some_and(|ttl| last.elapsed() < ttl));
        if !is_repeat {
            effects.push(Instant::now());
        }
        let count = effects.len();
        drop(fleet);
        if is_repeat {
            self.record
                .line(&format!("{}: {id} runs, {prompt:?}: a repeat, discarded", self.id));
        } else {
            self.record.line(&format!(
                "{}: {id} runs, {prompt:?} takes effect, number {count}",
                self.id
            ));
        }
        if breaks {
            self.record.line(&format!("{}: the connection of {id} breaks", self.id));
        }
        breaks
    }

    fn write_events(&self, writer: &mut TcpStream, prompt: &str, plan: Plan) -> io::Result<()> {
        writer
            .write_all(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")?;
        for index in 0..plan.events {
            write_chunk(writer, &event(prompt, index))?;
            thread::sleep(plan.pace);
        }
        write_chunk(writer, &last_events(plan.events))?;
        writer.write_all(b"0\r\n\r\n")
    }
}

fn write_chunk(writer: &mut TcpStream, text: &str) -> io::Result<()> {
    writer.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())
}

// ---------------------------------------------------------------- the dispatcher

/// A folder for the case's files, removed at the end.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn create() -> Folder {
        let path = std::env::temp_dir().join(format!("quartzhall-review-2-{}", std::process::id()));
        std::fs::create_dir_all(&path).unwrap_or_else(|error| could_not_run(&error.to_string()));
        Folder(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

pub fn class_json(name: &str, deadline_ms: u32, repeat: &str, worth: f64) -> String {
    format!(
        r#"{{"aim":2500.0,"deadline":{deadline_ms}.0,"group":"all","key_ttl":5000.0,"late_value":0.1,"name":"{name}","repeat":"{repeat}","streamed":true,"worth":{worth:.1}}}"#
    )
}

/// The settings of a small deployment: those of the wire page's example, with these classes.
pub fn settings_json(classes: &[String]) -> String {
    let each = |value: &str| vec![value; classes.len()].join(",");
    format!(
        r#"{{"balancers":1,"classes":[{}],"client_habits":{{"marks_retry":false}},"dcs":["dc-canoas"],
 "deductions":{{"connection":0.0,"cross_zone":0.0,"handshake":0.0,"late_fail":0.11,"membership_mode":0.0,"moves":0.0,"origin":0.0,"peer":0.0028,"probe":0.0023,"waste":0.05}},
 "family":"twostage","family_info":{{"aim_us_per_1000_prompt_tokens":[{}],"holds_allowed":true,"move_fee":0.03,"read_in_place":false,"release_within":1000.0,"resume":false,"role_by_kind":["read","write"],"token_aim":[{}],"tokens_by_kind":[244298,132433]}},
 "goal":{{"whole":0.45,"worst_class":0.2,"worst_tenant":0.1,"worst_window":0.25}},"layer":0,
 "limits":{{"cancel":true,"conn_idle":30000.0,"cpu_us_per_request":0.0,"cpu_us_per_s":730882,"dial_timeout":250.0,"max_retry_after":500.0,"max_streams":32,"may_probe":false,"most_held":29235,"most_tries":5,"peers":false,"retry_after":true,"second_copies":true}},
 "machine_types":["prefill","decode"],"me":0,"membership_mode":"automatic","over_share_worth":0.05,
 "reporting":{{"fields":["inflight","x0"],"via":"answers"}},
 "rules":{{"answer_slack":16.0,"cold_from":0.28,"drain_grace":250.0,"fall":1500.0,"must_ask_in":10000.0,"tip_multiple":2.5,"warm_within":14000.0}},
 "tenants":[{{"name":"coop-serrana","quota_per_s":8.0,"share":0.36}},{{"name":"banco-litoral","quota_per_s":7.0,"share":0.34}}],
 "tick":4.0,"tiers":["assist-fleet"],"value_by":"work","weights":"nominal","zone":"dc-canoas"}}"#,
        classes.join(","),
        each("40000.0"),
        each("60.0")
    )
}

pub fn config_json(listen: &str, discovery: &str, management: &str, known: &str, settings: &str) -> String {
    format!(
        r#"{{"name":"n1","listen":"{listen}","discovery":"{discovery}","management":"{management}","seed":"8c1f30d27a5be964",
 "limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"known":{known},"settings":{settings}}}"#
    )
}

/// The session file of the deployment with sessions on: only `listen` differs.
pub fn session_file(listen: &str) -> String {
    let text =
        std::fs::read_to_string("deploy/websocket.json").unwrap_or_else(|error| could_not_run(&error.to_string()));
    let with_listen = text.replacen("\"listen\": null", &format!("\"listen\": \"{listen}\""), 1);
    if with_listen == text {
        could_not_run("deploy/websocket.json has no \"listen\": null");
    }
    with_listen
}

/// The `run` command of the deploy file, with another session file if one is given.
pub fn run_command(session_file: Option<&Path>) -> String {
    let text =
        std::fs::read_to_string("deploy/balancer.toml").unwrap_or_else(|error| could_not_run(&error.to_string()));
    let line = text
        .lines()
        .find(|line| line.starts_with("run = "))
        .unwrap_or_else(|| could_not_run("no run command"));
    let command = line.split('"').nth(1).unwrap_or_default().to_owned();
    match session_file {
        Some(path) => command.replace("deploy/websocket.json", &path.display().to_string()),
        None => command,
    }
}

const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;

extern "C" {
    fn prctl(option: i32, argument: u64, _: u64, _: u64, _: u64) -> i32;
}

/// A running dispatcher; killed when it is dropped.
pub struct Dispatcher {
    pub child: Child,
    record: Record,
}

impl Dispatcher {
    /// Starts the command by a shell, as the platform does. `socket` is inherited as descriptor 5.
    pub fn start(
        command: &str,
        config: &Path,
        tmpdir: &Path,
        log: &Path,
        variables: &[(&str, &str)],
        socket: Option<&TcpListener>,
        record: &Record,
    ) -> Dispatcher {
        let log = File::create(log).unwrap_or_else(|error| could_not_run(&error.to_string()));
        let mut shell = Command::new("/bin/sh");
        match socket {
            Some(listener) => {
                let listener = listener.try_clone().unwrap();
                let socket: std::os::fd::OwnedFd = listener.into();
                shell
                    .args(["-c", &format!("exec 5<&0 0</dev/null; {command}")])
                    .stdin(Stdio::from(socket));
                shell.env("GW_SOCKET_FD", "5");
            }
            None => {
                shell.args(["-c", command]).stdin(Stdio::null());
            }
        }
        shell.env("GW_CONFIG", config).env("TMPDIR", tmpdir);
        for (name, value) in variables {
            shell.env(name, value);
        }
        // The dispatcher ends with this process, however that ends.
        unsafe {
            shell.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL, 0, 0, 0);
                Ok(())
            });
        }
        let child = shell
            .stdout(Stdio::from(log.try_clone().unwrap()))
            .stderr(Stdio::from(log))
            .spawn()
            .unwrap_or_else(|error| could_not_run(&error.to_string()));
        record.line(&format!("dispatcher started, process {}", child.id()));
        Dispatcher {
            child,
            record: record.clone(),
        }
    }

    pub fn signal(&self, name: &str) {
        let status = Command::new("kill")
            .args([&format!("-{name}"), &self.child.id().to_string()])
            .status();
        if !status.is_ok_and(|status| status.success()) {
            could_not_run("kill failed");
        }
        self.record.line(&format!("SIG{name} to process {}", self.child.id()));
    }

    pub fn has_exited(&mut self) -> bool {
        self.child.try_wait().is_ok_and(|status| status.is_some())
    }
}

impl Drop for Dispatcher {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Waits until `GET /ready` answers 200; ends the case if it does not.
pub fn wait_until_ready(address: &str) {
    let is_ready = || -> Option<bool> {
        let mut stream = connect(address).ok()?;
        stream
            .write_all(b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            .ok()?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer).ok()?;
        Some(answer.starts_with("HTTP/1.1 200"))
    };
    if !wait_for(Duration::from_secs(30), || is_ready() == Some(true)) {
        could_not_run("the dispatcher is not ready within 30 s");
    }
}

pub fn connect(address: &str) -> io::Result<TcpStream> {
    let address: SocketAddr = address.parse().unwrap();
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(2))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_secs(30)))?;
    Ok(stream)
}

/// One operator's call; the answer's line.
pub fn operator_call(address: &str, line: &str, record: &Record) -> String {
    let answer = quiet_call(address, line);
    record.line(&format!("operator at {address}: {line} -> {answer}"));
    answer
}

/// The same without a line in the record.
pub fn quiet_call(address: &str, line: &str) -> String {
    let call = || -> io::Result<String> {
        let mut stream = connect(address)?;
        stream.write_all(format!("{line}\n").as_bytes())?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer)?;
        Ok(answer.trim_end().to_owned())
    };
    call().unwrap_or_else(|error| format!("no answer: {error}"))
}

// ---------------------------------------------------------------- a client of WebSocket sessions

/// A message that a session received: its type and its whole text.
#[derive(Clone, Debug)]
pub struct Received {
    pub kind: String,
    pub id: String,
    pub text: String,
}

/// A terminal's session. Messages are read by a thread of its own.
pub struct Session {
    name: String,
    stream: TcpStream,
    received: Arc<Mutex<Vec<Received>>>,
    is_closed: Arc<AtomicBool>,
    record: Record,
}

/// The value of a text field at the top of a flat JSON object, without escapes being resolved.
pub fn field(text: &str, name: &str) -> Option<String> {
    let start = text.find(&format!("\"{name}\":\""))? + name.len() + 4;
    let mut end = start;
    let bytes = text.as_bytes();
    while end < bytes.len() && bytes[end] != b'"' {
        end += if bytes[end] == b'\\' { 2 } else { 1 };
    }
    Some(text[start..end].to_owned())
}

/// Resolves the escapes of a JSON text.
pub fn unescape(text: &str) -> String {
    let mut result = String::new();
    let mut chars = text.chars();
    while let Some(c) = chars.next() {
        if c != '\\' {
            result.push(c);
            continue;
        }
        match chars.next() {
            Some('n') => result.push('\n'),
            Some('r') => result.push('\r'),
            Some('t') => result.push('\t'),
            Some(other) => result.push(other),
            None => {}
        }
    }
    result
}

impl Session {
    /// Opens a session, within 5 s.
    pub fn open(name: &str, address: &str, record: &Record) -> Session {
        let end = Instant::now() + Duration::from_secs(5);
        let mut stream = loop {
            match connect(address) {
                Ok(stream) => break stream,
                Err(error) if Instant::now() > end => could_not_run(&error.to_string()),
                Err(_) => thread::sleep(Duration::from_millis(10)),
            }
        };
        let request = format!(
            "GET /v1/sessions HTTP/1.1\r\nHost: {address}\r\nUpgrade: websocket\r\nConnection: Upgrade\r\nSec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\nSec-WebSocket-Version: 13\r\n\r\n"
        );
        stream.write_all(request.as_bytes()).unwrap();
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        match read_message(&mut reader) {
            Ok(Some(head)) if head.first_line.contains(" 101 ") => {}
            _ => could_not_run("no session was opened"),
        }
        stream.set_read_timeout(None).unwrap();
        record.line(&format!("{name}: session open"));
        let session = Session {
            name: name.to_owned(),
            stream,
            received: Arc::default(),
            is_closed: Arc::default(),
            record: record.clone(),
        };
        let (received, is_closed) = (session.received.clone(), session.is_closed.clone());
        let (record, name) = (record.clone(), name.to_owned());
        let mut pongs = session.stream.try_clone().unwrap();
        thread::spawn(move || {
            while let Ok((opcode, payload)) = read_frame(&mut reader) {
                match opcode {
                    1 => {
                        let text = String::from_utf8_lossy(&payload).into_owned();
                        let kind = field(&text, "type").unwrap_or_default();
                        let id = field(&text, "id").unwrap_or_default();
                        if kind != "event" {
                            record.line(&format!("{name}: received {text}"));
                        }
                        received.lock().unwrap().push(Received { kind, id, text });
                    }
                    8 => {
                        record.line(&format!("{name}: close frame received"));
                        break;
                    }
                    9 => {
                        let _ = write_frame(&mut pongs, 10, &payload);
                    }
                    _ => {}
                }
            }
            is_closed.store(true, Ordering::SeqCst);
        });
        session
    }

    pub fn send(&mut self, text: &str) {
        self.record.line(&format!("{}: sent {text}", self.name));
        if let Err(error) = write_frame(&mut self.stream, 1, text.as_bytes()) {
            self.record.line(&format!("{}: not sent: {error}", self.name));
        }
    }

    /// Ends the connection without a closing handshake, as when the terminal's link is lost and its machine says so.
    pub fn drop_connection(&self) {
        self.record
            .line(&format!("{}: connection ended by the terminal", self.name));
        let _ = self.stream.shutdown(std::net::Shutdown::Both);
    }

    pub fn received(&self) -> Vec<Received> {
        self.received.lock().unwrap().clone()
    }

    /// The final messages of a request, in their order.
    pub fn finals(&self, id: &str) -> Vec<Received> {
        let is_final = |kind: &str| ["served", "refused", "failed"].contains(&kind);
        self.received()
            .into_iter()
            .filter(|message| message.id == id && is_final(&message.kind))
            .collect()
    }

    /// The joined text of a request's events.
    pub fn answer(&self, id: &str) -> String {
        let events = self
            .received()
            .into_iter()
            .filter(|message| message.id == id && message.kind == "event");
        events
            .filter_map(|message| field(&message.text, "data"))
            .map(|data| unescape(&data))
            .collect()
    }

    pub fn is_closed(&self) -> bool {
        self.is_closed.load(Ordering::SeqCst)
    }
}

fn write_frame(stream: &mut TcpStream, opcode: u8, payload: &[u8]) -> io::Result<()> {
    let mask = [0x37, 0xfa, 0x21, 0x3d];
    let mut frame = vec![0x80 | opcode];
    match payload.len() {
        length @ 0..=125 => frame.push(0x80 | length as u8),
        length @ 126..=65535 => {
            frame.push(0x80 | 126);
            frame.extend((length as u16).to_be_bytes());
        }
        length => {
            frame.push(0x80 | 127);
            frame.extend((length as u64).to_be_bytes());
        }
    }
    frame.extend(mask);
    frame.extend(payload.iter().enumerate().map(|(index, byte)| byte ^ mask[index % 4]));
    stream.write_all(&frame)
}

fn read_frame(reader: &mut impl Read) -> io::Result<(u8, Vec<u8>)> {
    let mut head = [0; 2];
    reader.read_exact(&mut head)?;
    let length = match head[1] & 0x7f {
        126 => {
            let mut bytes = [0; 2];
            reader.read_exact(&mut bytes)?;
            u64::from(u16::from_be_bytes(bytes))
        }
        127 => {
            let mut bytes = [0; 8];
            reader.read_exact(&mut bytes)?;
            u64::from_be_bytes(bytes)
        }
        length => u64::from(length),
    };
    let mut payload = vec![0; length as usize];
    reader.read_exact(&mut payload)?;
    Ok((head[0] & 0x0f, payload))
}

/// A request message of a terminal.
pub fn request_message(id: &str, class: &str, prompt: &str, expires_in_ms: u32, max_out: u32) -> String {
    format!(
        r#"{{"type":"request","id":"{id}","class":"{class}","tenant":"coop-serrana","session":"7f3a9c21e0b4d655","expires_in_ms":{expires_in_ms},"prompt_len":500,"prefix_len":0,"max_out":{max_out},"body":"{{\"model\":\"chat\",\"stream\":true,\"max_tokens\":{max_out},\"messages\":[{{\"role\":\"user\",\"content\":\"{prompt}\"}}]}}"}}"#
    )
}
