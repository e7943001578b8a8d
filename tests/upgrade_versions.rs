//! Two versions of the program side by side: bans, resource shares and a live stream go from the one to the other.
//!
//! `QUARTZHALL_OTHER_PROGRAM` names the program of another version (CONTRIBUTING.md says how to build it); both directions are
//! played. Without it this program is on both sides.

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
const FIRST_EVENT: &str = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\
    transfer-encoding: chunked\r\n\r\nf\r\ndata: {\"n\":1}\n\n\r\n";
const NEXT_EVENT: &str = "f\r\ndata: {\"n\":2}\n\n\r\n";
const REST_OF_STREAM: &str = "e\r\ndata: [DONE]\n\n\r\n0\r\n\r\n";

/// A replica that answers each request with these parts, and waits between any two.
async fn replica(parts: &'static [&'static str], go_on: Arc<Notify>) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            let go_on = go_on.clone();
            tokio::spawn(async move {
                let mut request = Vec::new();
                while !request.ends_with(b"{}") {
                    if stream.read_buf(&mut request).await.unwrap_or(0) == 0 {
                        return;
                    }
                }
                for (number, part) in parts.iter().enumerate() {
                    if number > 0 {
                        go_on.notified().await;
                    }
                    let _ = stream.write_all(part.as_bytes()).await;
                }
                let _ = stream.read_buf(&mut request).await;
            });
        }
    });
    address
}

/// What the processes of one dispatcher have in common.
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
    fn new(name: &str, known: &str) -> Dispatcher {
        let folder =
            std::env::temp_dir().join(format!("quartzhall-versions-{}-{name}", std::process::id()));
        std::fs::create_dir_all(folder.join("shared")).unwrap();
        let socket = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let listen = socket.local_addr().unwrap();
        let config = folder.join("config.json");
        let text = format!(
            r#"{{"name":"n1","listen":"{listen}","discovery":"127.0.0.1:1","seed":"8c1f","limits":{{"memory_mb":192,"sockets":512}},"known":{known},"settings":{SETTINGS}}}"#
        );
        std::fs::write(&config, text).unwrap();
        Dispatcher {
            socket,
            folder,
            config,
        }
    }

    /// Starts one more process and waits until it takes clients.
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
        let becomes_ready = async {
            while process.call("ready").await.as_deref() != Some("ACK\n") {
                tokio::task::yield_now().await;
            }
        };
        timeout(becomes_ready, "ready").await;
        process
    }

    /// The resource shares that the living processes announce, oldest process first.
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
    async fn call(&self, line: &str) -> Option<String> {
        let mut stream = TcpStream::connect(&self.management).await.ok()?;
        stream
            .write_all(format!("{line}\n").as_bytes())
            .await
            .ok()?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer).await.ok()?;
        Some(answer)
    }

    async fn terminate(mut self) -> Option<i32> {
        let kill = format!("kill -TERM {}", self.child.id());
        assert!(Command::new("sh")
            .arg("-c")
            .arg(kill)
            .status()
            .unwrap()
            .success());
        let waits = tokio::task::spawn_blocking(move || self.child.wait().unwrap().code());
        timeout(waits, "its end").await.unwrap()
    }
}

async fn timeout<T>(future: impl std::future::Future<Output = T>, what: &str) -> T {
    let result = tokio::time::timeout(Duration::from_secs(20), future).await;
    result.unwrap_or_else(|_| panic!("no {what} within 20 s"))
}

/// A list of a prefill and a decode endpoint, the latter of which waits for `go_on` in mid-stream, and one to be banned.
async fn endpoint_list(stream: &'static [&'static str], go_on: &Arc<Notify>) -> String {
    let prefill = replica(&[PREFILL_DONE], go_on.clone()).await;
    let decode = replica(stream, go_on.clone()).await;
    let endpoint = |id: &str, address: &str, kind: &str| {
        format!(
            r#"{{"id":"{id}","host_port":"{address}","locality":"east","flavor":"{kind}","cell":1,"phase":"Ready"}}"#
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

/// A client whose stream has begun, and what it has received.
struct Client {
    stream: TcpStream,
    answer: Vec<u8>,
}

impl Client {
    async fn start(dispatcher: &Dispatcher) -> Client {
        let address = dispatcher.socket.local_addr().unwrap();
        let mut stream = TcpStream::connect(address).await.unwrap();
        let request = "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nX-Trace-Id: moves\r\nX-Qos: status-query\r\n\
            X-Customer: acme\r\nX-Object: 7f3a\r\nX-Expires-In-Ms: 9000\r\nX-Props: prompt_len=500,max_out=100\r\n\
            Content-Length: 2\r\n\r\n{}";
        stream.write_all(request.as_bytes()).await.unwrap();
        let answer = Vec::new();
        let mut client = Client { stream, answer };
        client.read_until("data: {\"n\":1}\n\n").await;
        client
    }

    async fn read_until(&mut self, event: &str) {
        while !String::from_utf8_lossy(&self.answer).contains(event) {
            let read_bytes = timeout(self.stream.read_buf(&mut self.answer), "event").await;
            assert_ne!(read_bytes.unwrap(), 0);
        }
    }

    /// Reads to the last chunk: a successor of this version keeps the connection, as the client was not told otherwise.
    async fn assert_whole(mut self) {
        let until_last_chunk = async {
            while !self.answer.ends_with(b"0\r\n\r\n") {
                if self.stream.read_buf(&mut self.answer).await.unwrap() == 0 {
                    return;
                }
            }
        };
        timeout(until_last_chunk, "end of the stream").await;
        let answer = String::from_utf8(self.answer).unwrap();
        assert!(
            answer.ends_with("data: [DONE]\n\n\r\n0\r\n\r\n"),
            "{answer}"
        );
    }
}

async fn hands_over(name: &str, predecessor: &str, successor: &str) {
    let go_on = Arc::new(Notify::new());
    let endpoints = endpoint_list(&[FIRST_EVENT, REST_OF_STREAM], &go_on).await;
    let dispatcher = Dispatcher::new(name, &endpoints);
    let old = dispatcher.start(predecessor).await;
    assert_eq!(
        old.call("disable-server banned").await.as_deref(),
        Some("ACK\n")
    );

    let client = Client::start(&dispatcher).await;
    let new = dispatcher.start(successor).await;
    let shared = async {
        while dispatcher.announced_shares() != ["07", "09"] {
            tokio::task::yield_now().await;
        }
    };
    timeout(shared, "shares of 7 and 9 sixteenths").await;
    // The stream pauses: the old process can end only because the new one has it.
    assert_eq!(old.terminate().await, Some(0));
    go_on.notify_waiters();
    client.assert_whole().await;

    // The ban came along: without the other decode endpoint nothing can be served.
    assert_eq!(new.call("disable-server d").await.as_deref(), Some("ACK\n"));
    assert_eq!(new.call("ready").await.as_deref(), Some("NAK starting\n"));
    assert_eq!(
        new.call("enable-server banned").await.as_deref(),
        Some("ACK\n")
    );
    assert_eq!(new.call("ready").await.as_deref(), Some("ACK\n"));
    assert_eq!(new.terminate().await, Some(0));
}

#[tokio::test]
async fn bans_shares_and_streams_pass_between_versions_in_both_directions() {
    let this = env!("CARGO_BIN_EXE_quartzhall").to_owned();
    let other = std::env::var("QUARTZHALL_OTHER_PROGRAM").unwrap_or_else(|_| this.clone());
    assert!(Path::new(&other).exists(), "{other}");
    hands_over("from-other", &other, &this).await;
    hands_over("to-other", &this, &other).await;
}

/// A stream goes through all these versions, one after the other.
async fn stream_passes_through(name: &str, programs: &[&str]) {
    let go_on = Arc::new(Notify::new());
    let stream = &[FIRST_EVENT, NEXT_EVENT, REST_OF_STREAM];
    let dispatcher = Dispatcher::new(name, &endpoint_list(stream, &go_on).await);
    let mut current = dispatcher.start(programs[0]).await;
    let mut client = Client::start(&dispatcher).await;
    for program in &programs[1..] {
        let successor = dispatcher.start(program).await;
        assert_eq!(current.terminate().await, Some(0));
        current = successor;
        // An event between two upgrades: a stream that is silent for too long is given up.
        go_on.notify_waiters();
        client.read_until("data: {\"n\":2}\n\n").await;
    }
    client.assert_whole().await;
}

/// The version of 26a3648 cuts what it has received when it is told to end, and so stands at the ends only. The names are
/// short, as it has no way to a socket whose path is too long.
#[tokio::test]
async fn stream_migrates_twice_between_versions() {
    let this = env!("CARGO_BIN_EXE_quartzhall").to_owned();
    let other = std::env::var("QUARTZHALL_OTHER_PROGRAM").unwrap_or_else(|_| this.clone());
    stream_passes_through("round", &[&other, &this, &other]).await;
    stream_passes_through("from-two", &[&other, &this, &this]).await;
    stream_passes_through("to-two", &[&this, &this, &other]).await;
}
