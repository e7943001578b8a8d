// Each test program uses a part of this module.
#![allow(dead_code)]

//! A dispatcher that is upgraded, as its processes, its clients and its operators see it.

use super::free_address::free_address;
use super::testbed::{self, Fleet};
use axum::http::Uri;
use axum::routing::get;
use axum::Router;
use std::fs::File;
use std::os::fd::OwnedFd;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};

const PROGRAM: &str = env!("CARGO_BIN_EXE_quartzhall");

/// A dispatcher that is upgraded: the socket and the folder that its processes have in common, and the fleet that they
/// use.
pub(crate) struct UpgradeSetup {
    pub fleet: Fleet,
    http_listener: std::net::TcpListener,
    http_address: String,
    pub folder: PathBuf,
    /// Where its processes find each other.
    pub shared_folder: PathBuf,
    pub discovery_address: String,
    /// Further command-line arguments of each process.
    pub arguments: Vec<String>,
}

pub(crate) struct Process {
    pub child: Child,
    pub management_address: String,
    pub log_path: PathBuf,
}

/// What a client reads of a response.
pub(crate) struct Response {
    pub status: u16,
    pub keeps_connection: bool,
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for UpgradeSetup {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

pub(crate) fn request(trace_id: &str) -> String {
    format!("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nX-Trace-Id: {trace_id}\r\nX-Qos: status-query\r\nX-Customer: acme\r\nX-Object: 7f3a\r\nX-Expires-In-Ms: 9000\r\nX-Props: prompt_len=500,max_out=100\r\nContent-Length: 2\r\n\r\n{{}}")
}

/// The endpoint list with two endpoints for prefill and the rest for decode.
fn endpoint_list(addresses: &[String]) -> String {
    let mut members = Vec::new();
    for (number, address) in addresses.iter().enumerate() {
        let role = if number < 2 { "prefill" } else { "decode" };
        members.push(format!(
            r#"{{"id":"n{number}","host_port":"{address}","locality":"east","flavor":"{role}","cell":1,"phase":"Ready"}}"#
        ));
    }
    format!(
        r#"{{"revision":1,"complete":true,"members":[{}]}}"#,
        members.join(",")
    )
}

/// Serves this list; a watch for changes, which is a request with a query, is never answered.
async fn start_discovery(endpoint_list: String) -> String {
    let respond = move |uri: Uri| async move {
        if uri.query().is_some() {
            std::future::pending::<()>().await;
        }
        endpoint_list
    };
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let routes = Router::new().route("/v1/endpoints", get(respond));
    tokio::spawn(async move { axum::serve(listener, routes).await });
    address
}

impl UpgradeSetup {
    pub(crate) async fn new(test_name: &str) -> UpgradeSetup {
        let fleet = Fleet::start(false).await;
        let discovery_address = start_discovery(endpoint_list(&fleet.replica_addresses)).await;
        let http_listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let http_address = http_listener.local_addr().unwrap().to_string();
        let folder_name = format!("quartzhall-{}-{test_name}", std::process::id());
        let folder = std::env::temp_dir().join(folder_name);
        std::fs::create_dir_all(&folder).unwrap();
        UpgradeSetup {
            fleet,
            http_listener,
            http_address,
            shared_folder: folder.clone(),
            folder,
            discovery_address,
            arguments: Vec::new(),
        }
    }

    /// A process that inherits `socket` as descriptor 5 and is told that it is `descriptor`.
    pub(crate) fn command(
        &self,
        descriptor: &str,
        socket: OwnedFd,
        management_address: &str,
    ) -> Command {
        let config = self.folder.join("config.json");
        let settings = testbed::SETTINGS;
        let text = format!(
            r#"{{"name":"n1","listen":"{}","discovery":"{}","seed":"8c1f","limits":{{"memory_mb":192,"sockets":512}},"known":null,"settings":{settings}}}"#,
            self.http_address, self.discovery_address
        );
        std::fs::write(&config, text).unwrap();
        // A shell puts the inherited socket where the platform does.
        let mut command = Command::new("sh");
        command
            .args(["-c", "exec 5<&0 0</dev/null; exec \"$0\" serve \"$@\""])
            .arg(PROGRAM)
            .args(&self.arguments)
            .env("GW_CONFIG", config)
            .env("GW_SOCKET_FD", descriptor)
            .env("TMPDIR", &self.shared_folder)
            .env("GW_MANAGEMENT", management_address)
            .stdin(Stdio::from(socket))
            .stderr(Stdio::null());
        command
    }

    pub(crate) fn inheritable_socket(&self) -> OwnedFd {
        self.http_listener.try_clone().unwrap().into()
    }

    /// Starts one more process and waits until it reports that it accepts clients.
    pub(crate) async fn start_process(&self) -> Process {
        let process = self.spawn_process().await;
        process.wait_until_ready().await;
        process
    }

    /// Starts one more process.
    pub(crate) async fn spawn_process(&self) -> Process {
        let management_address = free_address();
        let mut command = self.command("5", self.inheritable_socket(), &management_address);
        let log_path = self.folder.join(format!("{management_address}.log"));
        command.stderr(File::create(&log_path).unwrap());
        Process {
            child: command.spawn().unwrap(),
            management_address,
            log_path,
        }
    }

    pub(crate) async fn connect(&self) -> BufReader<TcpStream> {
        BufReader::new(TcpStream::connect(&self.http_address).await.unwrap())
    }

    /// The status of one request's response, on a connection of its own; `None` without a response.
    pub(crate) async fn request_status(&self, trace_id: &str) -> Option<u16> {
        let mut connection = self.connect().await;
        let response = send_request(&mut connection, trace_id).await?;
        Some(response.status)
    }

    /// Whether the endpoints that were sent anything, from this entry of the activity on, are n1 and n3.
    pub(crate) fn only_enabled_endpoints_were_used(&self, first_entry: usize) -> bool {
        let activity = self.fleet.activity.lock().unwrap();
        activity.attempts[first_entry..]
            .iter()
            .all(|(endpoint, _)| [1, 3].contains(endpoint))
    }

    pub(crate) fn attempt_count(&self) -> usize {
        self.fleet.activity.lock().unwrap().attempts.len()
    }

    pub(crate) fn announcement_count(&self) -> usize {
        let mut count = 0;
        for entry in std::fs::read_dir(&self.folder).unwrap() {
            let path = entry.unwrap().path();
            let is_announcement = path
                .extension()
                .is_some_and(|extension| extension == "notice");
            count += usize::from(is_announcement);
        }
        count
    }
}

/// Sends one request on this connection and reads its response to the end; `None` if the connection ends before.
pub(crate) async fn send_request(
    connection: &mut BufReader<TcpStream>,
    trace_id: &str,
) -> Option<Response> {
    connection
        .write_all(request(trace_id).as_bytes())
        .await
        .ok()?;
    let mut status = None;
    let mut keeps_connection = true;
    let mut content_length = None;
    loop {
        let line = read_line(connection).await?.to_ascii_lowercase();
        if let Some(rest) = line.strip_prefix("http/1.1 ") {
            status = rest.get(..3).and_then(|code| code.parse().ok());
        }
        if line == "connection: close" {
            keeps_connection = false;
        }
        if let Some(length) = line.strip_prefix("content-length: ") {
            content_length = Some(length.parse::<usize>().unwrap());
        }
        if line.is_empty() {
            break;
        }
    }
    match content_length {
        Some(length) => read_bytes(connection, length).await?,
        None => read_chunks(connection).await?,
    }
    Some(Response {
        status: status?,
        keeps_connection,
    })
}

/// A response whose first event has come, on a connection of its own.
pub(crate) struct OpenStream {
    pub connection: BufReader<TcpStream>,
    pub received: Vec<u8>,
}

impl OpenStream {
    /// Sends a request and waits for the first event of its response.
    pub(crate) async fn start(setup: &UpgradeSetup, trace_id: &str) -> OpenStream {
        OpenStream::start_with(setup, &request(trace_id)).await
    }

    /// The same with this request.
    pub(crate) async fn start_with(setup: &UpgradeSetup, request: &str) -> OpenStream {
        let mut connection = setup.connect().await;
        connection.write_all(request.as_bytes()).await.unwrap();
        let mut received = Vec::new();
        while !String::from_utf8_lossy(&received).contains(testbed::STREAM_EVENTS[0]) {
            let read_bytes = connection.read_buf(&mut received).await.unwrap();
            assert_ne!(read_bytes, 0, "{}", String::from_utf8_lossy(&received));
        }
        OpenStream {
            connection,
            received,
        }
    }

    /// What has been received so far.
    pub(crate) fn text(&self) -> String {
        String::from_utf8_lossy(&self.received).into_owned()
    }

    /// Reads up to the last chunk, or to the connection's end where that comes first; returns all of the response.
    pub(crate) async fn finish(self) -> String {
        self.finish_connected().await.text()
    }

    /// The same, with the connection.
    pub(crate) async fn finish_connected(mut self) -> OpenStream {
        while !self.received.ends_with(b"0\r\n\r\n") {
            match self.connection.read_buf(&mut self.received).await {
                Ok(0) | Err(_) => break,
                Ok(_) => {}
            }
        }
        self
    }
}

/// Sends a signal, named without its `SIG`.
pub(crate) fn send_signal(process_id: u32, signal: &str) {
    let command = format!("kill -{signal} {process_id}");
    let status = Command::new("sh").arg("-c").arg(command).status().unwrap();
    assert!(status.success());
}

async fn read_line(connection: &mut BufReader<TcpStream>) -> Option<String> {
    let mut line = String::new();
    if connection.read_line(&mut line).await.ok()? == 0 {
        return None;
    }
    Some(line.trim_end().to_owned())
}

async fn read_bytes(connection: &mut BufReader<TcpStream>, count: usize) -> Option<()> {
    connection.read_exact(&mut vec![0; count]).await.ok()?;
    Some(())
}

/// Reads a chunked body up to its last chunk.
async fn read_chunks(connection: &mut BufReader<TcpStream>) -> Option<()> {
    loop {
        let size_line = read_line(connection).await?;
        let size = usize::from_str_radix(&size_line, 16).unwrap();
        read_bytes(connection, size + "\r\n".len()).await?;
        if size == 0 {
            return Some(());
        }
    }
}

impl Process {
    /// The response to an operator's call; `None` if the process does not accept it.
    pub(crate) async fn call(&self, line: &str) -> Option<String> {
        let mut connection = TcpStream::connect(&self.management_address).await.ok()?;
        connection
            .write_all(format!("{line}\n").as_bytes())
            .await
            .ok()?;
        let mut response = String::new();
        connection.read_to_string(&mut response).await.ok()?;
        Some(response)
    }

    pub(crate) async fn wait_until_ready(&self) {
        let until_ready = async {
            while self.call("ready").await.as_deref() != Some("ACK\n") {
                tokio::task::yield_now().await;
            }
        };
        tokio::time::timeout(Duration::from_secs(20), until_ready)
            .await
            .unwrap_or_else(|_| panic!("never ready: {}", self.log()));
    }

    /// What the process has logged so far.
    pub(crate) fn log(&self) -> String {
        std::fs::read_to_string(&self.log_path).unwrap_or_default()
    }

    /// Waits until the process has logged this text.
    pub(crate) async fn wait_for_log(&self, text: &str) {
        let until_logged = async {
            while !self.log().contains(text) {
                tokio::task::yield_now().await;
            }
        };
        tokio::time::timeout(Duration::from_secs(20), until_logged)
            .await
            .unwrap_or_else(|_| panic!("never logged {text:?}: {}", self.log()));
    }

    pub(crate) async fn assert_acknowledged(&self, line: &str) {
        assert_eq!(self.call(line).await.as_deref(), Some("ACK\n"));
    }

    pub(crate) fn send_sigterm(&self) {
        send_signal(self.child.id(), "TERM");
    }

    pub(crate) async fn exit_code(mut self) -> Option<i32> {
        let wait = tokio::task::spawn_blocking(move || self.child.wait().unwrap().code());
        tokio::time::timeout(Duration::from_secs(20), wait)
            .await
            .expect("the process exits")
            .unwrap()
    }
}
