//! The memory that the program holds for all its clients together, when hundreds of them are slow at once.
//!
//! Guards against a process that passes its memory limit, and is killed, because of clients that stop in their requests
//! or read nothing of long answers (the operators' picture (a)).

mod free_address;

use axum::body::Body;
use axum::extract::Request;
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use axum::routing::post;
use axum::Router;
use bytes::Bytes;
use free_address::free_address;
use futures_util::SinkExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio_tungstenite::tungstenite::Message;

const SETTINGS: &str = include_str!("golden/settings.json");
/// The program's limits: half of those of the operators' days.
const MEMORY_MB: usize = 96;
const SOCKETS: usize = 512;
/// The slow clients of each kind.
const HTTP_CLIENTS: usize = 50;
const SESSIONS: usize = 60;
const REQUESTS_PER_SESSION: usize = 32;
/// An answer that is longer than the buffers of its connections.
const EVENTS: usize = 200;
const EVENT_BYTES: usize = 60_000;
const TIMEOUT: Duration = Duration::from_secs(30);

/// Starts a replica that answers prefill requests, or one that streams long answers.
async fn replica(is_prefill: bool) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let serve = move |request: Request| async move {
        axum::body::to_bytes(request.into_body(), 1 << 20)
            .await
            .unwrap();
        if is_prefill {
            return (StatusCode::ACCEPTED, r#"{"cached_tokens":7}"#).into_response();
        }
        let event = Bytes::from(format!("data: {}\n\n", "x".repeat(EVENT_BYTES)));
        let events = (0..EVENTS).map(move |_| Ok::<_, std::io::Error>(event.clone()));
        let body = Body::from_stream(futures_util::stream::iter(events));
        ([("content-type", "text/event-stream")], body).into_response()
    };
    let release = || async { Response::new(Body::empty()) };
    let routes = Router::new()
        .route("/v1/chat/completions", post(serve))
        .fallback(release);
    tokio::spawn(async move { axum::serve(listener, routes).await });
    address
}

/// A running program, killed on drop.
struct Program {
    child: Child,
    folder: PathBuf,
    http_address: String,
    session_address: String,
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Program {
    async fn start() -> Program {
        let folder = std::env::temp_dir().join(format!("quartzhall-memory-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let (http_address, session_address) = (free_address(), free_address());
        let mut members = Vec::new();
        for (number, role) in ["prefill", "prefill", "decode", "decode"]
            .iter()
            .enumerate()
        {
            let address = replica(*role == "prefill").await;
            members.push(format!(
                r#"{{"id":"n{number}","host_port":"{address}","locality":"east","flavor":"{role}","cell":1,"phase":"Ready"}}"#
            ));
        }
        let config = format!(
            r#"{{"name":"n1","listen":"{http_address}","discovery":"127.0.0.1:1","seed":"8c1f","limits":{{"memory_mb":{MEMORY_MB},"sockets":{SOCKETS}}},"known":{{"revision":1,"complete":true,"members":[{}]}},"settings":{SETTINGS}}}"#,
            members.join(",")
        );
        let config_path = folder.join("config.json");
        std::fs::write(&config_path, config).unwrap();
        let session_path = folder.join("websocket.json");
        std::fs::write(
            &session_path,
            format!(r#"{{"listen":"{session_address}"}}"#),
        )
        .unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_quartzhall"))
            .arg("serve")
            .arg("--config")
            .arg(&config_path)
            .arg("--websocket")
            .arg(&session_path)
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        let program = Program {
            child,
            folder,
            http_address,
            session_address,
        };
        let ready = async {
            while !program.is_ready().await {
                tokio::task::yield_now().await;
            }
        };
        tokio::time::timeout(TIMEOUT, ready).await.expect("ready");
        program
    }

    async fn is_ready(&self) -> bool {
        let Ok(mut client) = TcpStream::connect(&self.http_address).await else {
            return false;
        };
        let request = b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n";
        let mut status = [0; 12];
        client.write_all(request).await.is_ok()
            && client.read_exact(&mut status).await.is_ok()
            && status.ends_with(b"200")
    }

    /// Returns the most memory that the program has held, in kilobytes.
    fn peak_kilobytes(&self) -> usize {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let line = status.lines().find(|line| line.starts_with("VmHWM:"));
        let kilobytes = line.and_then(|line| line.split_ascii_whitespace().nth(1));
        kilobytes.unwrap().parse().unwrap()
    }
}

/// Connects with a small receive buffer.
async fn connect(address: &str) -> TcpStream {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(4096).unwrap();
    socket.connect(address.parse().unwrap()).await.unwrap()
}

fn head(id: &str, body: &str) -> String {
    format!("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nX-Trace-Id: {id}\r\nX-Qos: status-query\r\nX-Customer: acme\r\nX-Object: 7f3a\r\nX-Expires-In-Ms: 9000\r\nX-Props: prompt_len=500,max_out=100\r\n{body}")
}

/// Writes as much as is taken within a short time.
async fn write_some(client: &mut TcpStream, text: &str) {
    let _ = tokio::time::timeout(
        Duration::from_millis(200),
        client.write_all(text.as_bytes()),
    )
    .await;
}

/// Opens slow clients of one kind. Each keeps its connection.
async fn open_http_clients(program: &Program, text: &str) -> Vec<TcpStream> {
    let mut clients = Vec::new();
    for number in 0..HTTP_CLIENTS {
        let mut client = connect(&program.http_address).await;
        write_some(&mut client, &text.replace("NUMBER", &number.to_string())).await;
        clients.push(client);
    }
    clients
}

/// Opens sessions whose clients read nothing.
async fn open_sessions(program: &Program) -> Vec<impl Sized> {
    let mut sessions = Vec::new();
    for session in 0..SESSIONS {
        let stream = connect(&program.session_address).await;
        let url = format!("ws://{}/v1/sessions", program.session_address);
        let (mut client, _) = tokio_tungstenite::client_async(url, stream).await.unwrap();
        for number in 0..REQUESTS_PER_SESSION {
            let message = format!(
                r#"{{"type":"request","id":"s{session}-{number}","class":"status-query","tenant":"acme","session":"7f3a","expires_in_ms":9000,"prompt_len":500,"max_out":100,"body":"{{}}"}}"#
            );
            client.feed(Message::Text(message.into())).await.unwrap();
        }
        client.flush().await.unwrap();
        sessions.push(client);
    }
    sessions
}

#[tokio::test]
async fn slow_clients_of_all_kinds_together_keep_the_program_within_its_memory() {
    let program = Program::start().await;
    let fields: String = (0..2_000).map(|number| format!("f{number}:\r\n")).collect();
    let large_body = format!("Content-Length: 262144\r\n\r\n{}", "x".repeat(128 * 1024));
    let small_chunks = "1\r\nx\r\n".repeat(30_000);
    let texts = [
        head("unread-NUMBER", "Content-Length: 2\r\n\r\n{}"),
        head("stopped-NUMBER", &large_body),
        head(
            "chunks-NUMBER",
            &format!("Transfer-Encoding: chunked\r\n\r\n{small_chunks}"),
        ),
        head("fields-NUMBER", &fields),
    ];
    let sessions = open_sessions(&program).await;
    let mut clients = Vec::new();
    for text in &texts {
        clients.push(open_http_clients(&program, text).await);
    }
    // The program has handled all that was sent once it answers another client.
    assert!(program.is_ready().await);
    let peak = program.peak_kilobytes();
    assert!(peak < MEMORY_MB * 1024, "{peak} KB");
    drop((clients, sessions));
    let released = async {
        while !program.is_ready().await {
            tokio::task::yield_now().await;
        }
    };
    tokio::time::timeout(TIMEOUT, released)
        .await
        .expect("ready");
}
