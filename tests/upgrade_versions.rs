//! Upgrades between two versions of the program: bans, resource shares and live streams pass from one to the other.
//!
//! `QUARTZHALL_OTHER_PROGRAM` names the program of the other version (CONTRIBUTING.md says how to build it). Both
//! directions are tested. Without the variable, this version runs on both sides.

mod free_address;

use free_address::free_address;
use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

const SETTINGS: &str = include_str!("golden/settings.json");
const PREFILL_DONE: &str =
    "HTTP/1.1 202 Accepted\r\ncontent-length: 19\r\n\r\n{\"cached_tokens\":7}";
/// The head of a stream's response and its first event.
const FIRST_EVENT: &str = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\
    transfer-encoding: chunked\r\n\r\nf\r\ndata: {\"n\":1}\n\n\r\n";
const NEXT_EVENT: &str = "f\r\ndata: {\"n\":2}\n\n\r\n";
const REST_OF_STREAM: &str = "e\r\ndata: [DONE]\n\n\r\n0\r\n\r\n";

/// Starts a replica and returns its address. It sends these parts in response to each request, and waits for `resume`
/// between them.
async fn replica(parts: &'static [&'static str], resume: Arc<Notify>) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            let resume = resume.clone();
            tokio::spawn(async move {
                let mut request = Vec::new();
                while !request.ends_with(b"{}") {
                    if stream.read_buf(&mut request).await.unwrap_or(0) == 0 {
                        return;
                    }
                }
                for (number, part) in parts.iter().enumerate() {
                    if number > 0 {
                        resume.notified().await;
                    }
                    let _ = stream.write_all(part.as_bytes()).await;
                }
                let _ = stream.read_buf(&mut request).await;
            });
        }
    });
    address
}

/// What the processes of one dispatcher share.
struct Dispatcher {
    socket: std::net::TcpListener,
    folder: PathBuf,
    config: PathBuf,
}

impl Drop for Dispatcher {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

struct Process {
    child: Child,
    management: String,
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Dispatcher {
    fn new(test_name: &str, endpoint_list: &str) -> Dispatcher {
        let folder = std::env::temp_dir().join(format!(
            "quartzhall-versions-{}-{test_name}",
            std::process::id()
        ));
        std::fs::create_dir_all(folder.join("shared")).unwrap();
        let socket = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let listen = socket.local_addr().unwrap();
        let config = folder.join("config.json");
        let text = format!(
            r#"{{"name":"n1","listen":"{listen}","discovery":"127.0.0.1:1","seed":"8c1f","limits":{{"memory_mb":192,"sockets":512}},"known":{endpoint_list},"settings":{SETTINGS}}}"#
        );
        std::fs::write(&config, text).unwrap();
        Dispatcher {
            socket,
            folder,
            config,
        }
    }

    /// Starts one more process and waits until it reports that it accepts clients.
    async fn start(&self, program: &str) -> Process {
        let management = free_address();
        let mut command = Command::new("sh");
        command
            .args(["-c", "exec 5<&0 0</dev/null; exec \"$0\" serve"])
            .arg(program);
        command
            .env("GW_CONFIG", &self.config)
            .env("GW_SOCKET_FD", "5");
        command
            .env("TMPDIR", self.folder.join("shared"))
            .env("GW_MANAGEMENT", &management);
        let socket = OwnedFd::from(self.socket.try_clone().unwrap());
        command.stdin(Stdio::from(socket)).stderr(Stdio::null());
        let process = Process {
            child: command.spawn().unwrap(),
            management,
        };
        let until_ready = async {
            while process.call("ready").await.as_deref() != Some("ACK\n") {
                tokio::task::yield_now().await;
            }
        };
        timeout(until_ready, "readiness").await;
        process
    }

    /// Returns the resource shares that the live processes announce, oldest process first.
    fn announced_shares(&self) -> Vec<String> {
        let mut lines = Vec::new();
        for entry in std::fs::read_dir(self.folder.join("shared")).unwrap() {
            let path = entry.unwrap().path();
            if path
                .extension()
                .is_some_and(|extension| extension == "notice")
            {
                lines.push(std::fs::read_to_string(path).unwrap_or_default());
            }
        }
        lines.sort();
        lines
            .iter()
            .filter_map(|line| Some(line.split_whitespace().last()?.to_owned()))
            .collect()
    }
}

impl Process {
    /// Sends an operator's command and returns the response; `None` if the connection fails.
    async fn call(&self, line: &str) -> Option<String> {
        let mut stream = TcpStream::connect(&self.management).await.ok()?;
        stream
            .write_all(format!("{line}\n").as_bytes())
            .await
            .ok()?;
        let mut response = String::new();
        stream.read_to_string(&mut response).await.ok()?;
        Some(response)
    }

    /// Sends SIGTERM and waits for the process to exit; `None` if a signal ended it.
    async fn terminate(mut self) -> Option<i32> {
        let kill = format!("kill -TERM {}", self.child.id());
        assert!(Command::new("sh")
            .arg("-c")
            .arg(kill)
            .status()
            .unwrap()
            .success());
        let exit = tokio::task::spawn_blocking(move || self.child.wait().unwrap().code());
        timeout(exit, "exit of the process").await.unwrap()
    }
}

/// Waits up to 20 s for the future; the panic names `event`.
async fn timeout<T>(future: impl std::future::Future<Output = T>, event: &str) -> T {
    let result = tokio::time::timeout(Duration::from_secs(20), future).await;
    result.unwrap_or_else(|_| panic!("no {event} within 20 s"))
}

/// Formats a list of three endpoints: one for prefill, one for decode that pauses its stream until `resume`, and one
/// for decode that the test bans.
async fn endpoint_list(stream_parts: &'static [&'static str], resume: &Arc<Notify>) -> String {
    let prefill = replica(&[PREFILL_DONE], resume.clone()).await;
    let decode = replica(stream_parts, resume.clone()).await;
    let endpoint = |id: &str, address: &str, role: &str| {
        format!(
            r#"{{"id":"{id}","host_port":"{address}","locality":"east","flavor":"{role}","cell":1,"phase":"Ready"}}"#
        )
    };
    let endpoints = [
        endpoint("p", &prefill, "prefill"),
        endpoint("d", &decode, "decode"),
        endpoint("banned", "127.0.0.1:1", "decode"),
    ];
    format!(
        r#"{{"revision":1,"complete":true,"members":[{}]}}"#,
        endpoints.join(",")
    )
}

/// A client that has received the first event of its stream.
struct Client {
    stream: TcpStream,
    received: Vec<u8>,
}

impl Client {
    async fn start(dispatcher: &Dispatcher) -> Client {
        let address = dispatcher.socket.local_addr().unwrap();
        let mut stream = TcpStream::connect(address).await.unwrap();
        let request = "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nX-Trace-Id: moves\r\nX-Qos: status-query\r\n\
            X-Customer: acme\r\nX-Object: 7f3a\r\nX-Expires-In-Ms: 9000\r\nX-Props: prompt_len=500,max_out=100\r\n\
            Content-Length: 2\r\n\r\n{}";
        stream.write_all(request.as_bytes()).await.unwrap();
        let received = Vec::new();
        let mut client = Client { stream, received };
        client.read_until("data: {\"n\":1}\n\n").await;
        client
    }

    async fn read_until(&mut self, event: &str) {
        while !String::from_utf8_lossy(&self.received).contains(event) {
            let read_bytes = timeout(self.stream.read_buf(&mut self.received), "event").await;
            assert_ne!(read_bytes.unwrap(), 0);
        }
    }

    /// Reads up to the last chunk, as a successor of this version keeps the connection after the response, and asserts
    /// that the stream is complete.
    async fn assert_complete(mut self) {
        let until_last_chunk = async {
            while !self.received.ends_with(b"0\r\n\r\n") {
                if self.stream.read_buf(&mut self.received).await.unwrap() == 0 {
                    return;
                }
            }
        };
        timeout(until_last_chunk, "end of the stream").await;
        let response = String::from_utf8(self.received).unwrap();
        assert!(
            response.ends_with("data: [DONE]\n\n\r\n0\r\n\r\n"),
            "{response}"
        );
    }
}

/// Upgrades from one program to another while a stream is paused and an endpoint is banned.
async fn assert_state_is_kept(test_name: &str, old_program: &str, new_program: &str) {
    let resume = Arc::new(Notify::new());
    let endpoints = endpoint_list(&[FIRST_EVENT, REST_OF_STREAM], &resume).await;
    let dispatcher = Dispatcher::new(test_name, &endpoints);
    let predecessor = dispatcher.start(old_program).await;
    assert_eq!(
        predecessor.call("disable-server banned").await.as_deref(),
        Some("ACK\n")
    );

    let client = Client::start(&dispatcher).await;
    let successor = dispatcher.start(new_program).await;
    let until_shares_announced = async {
        while dispatcher.announced_shares() != ["07", "09"] {
            tokio::task::yield_now().await;
        }
    };
    timeout(until_shares_announced, "shares of 7 and 9 sixteenths").await;
    // The stream is paused, so the predecessor can exit only after it has migrated.
    assert_eq!(predecessor.terminate().await, Some(0));
    resume.notify_waiters();
    client.assert_complete().await;

    // The successor has the ban: without the other decode endpoint it can't serve requests.
    assert_eq!(
        successor.call("disable-server d").await.as_deref(),
        Some("ACK\n")
    );
    assert_eq!(
        successor.call("ready").await.as_deref(),
        Some("NAK starting\n")
    );
    assert_eq!(
        successor.call("enable-server banned").await.as_deref(),
        Some("ACK\n")
    );
    assert_eq!(successor.call("ready").await.as_deref(), Some("ACK\n"));
    assert_eq!(successor.terminate().await, Some(0));
}

#[tokio::test]
async fn bans_shares_and_streams_pass_between_versions_in_both_directions() {
    let this = env!("CARGO_BIN_EXE_quartzhall").to_owned();
    let other = std::env::var("QUARTZHALL_OTHER_PROGRAM").unwrap_or_else(|_| this.clone());
    assert!(Path::new(&other).exists(), "{other}");
    assert_state_is_kept("from-other", &other, &this).await;
    assert_state_is_kept("to-other", &this, &other).await;
}

/// Migrates a stream through processes of these programs, one after another.
async fn assert_stream_is_complete(test_name: &str, programs: &[&str]) {
    let resume = Arc::new(Notify::new());
    let stream_parts = &[FIRST_EVENT, NEXT_EVENT, REST_OF_STREAM];
    let dispatcher = Dispatcher::new(test_name, &endpoint_list(stream_parts, &resume).await);
    let mut current = dispatcher.start(programs[0]).await;
    let mut client = Client::start(&dispatcher).await;
    for program in &programs[1..] {
        let successor = dispatcher.start(program).await;
        assert_eq!(current.terminate().await, Some(0));
        current = successor;
        // An event between two upgrades keeps the stream below its idle timeout.
        resume.notify_waiters();
        client.read_until("data: {\"n\":2}\n\n").await;
    }
    client.assert_complete().await;
}

/// The other program is only the first or last of a series, because the version of commit 26a3648 cuts received streams
/// when it shuts down. The test names are short, because that version can't use a socket in a folder with a long path.
#[tokio::test]
async fn stream_migrates_twice_between_versions() {
    let this = env!("CARGO_BIN_EXE_quartzhall").to_owned();
    let other = std::env::var("QUARTZHALL_OTHER_PROGRAM").unwrap_or_else(|_| this.clone());
    assert_stream_is_complete("round", &[&other, &this, &other]).await;
    assert_stream_is_complete("from-two", &[&other, &this, &this]).await;
    assert_stream_is_complete("to-two", &[&this, &this, &other]).await;
}
