//! The incident of 2026-12-02 with the real program: a decode endpoint's machine accepts connections and bytes, and
//! nothing runs there.

#[path = "backend/support.rs"]
mod support;
mod testbed;

use std::process::{Child, Command, Stdio};
use std::time::Duration;
use support::bind_endpoint;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

const PROGRAM: &str = env!("CARGO_BIN_EXE_quartzhall");
/// A test that waits longer has failed.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// The program, which does not outlive its test.
struct Program {
    child: Child,
    config: std::path::PathBuf,
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.config);
    }
}

fn content_length(head: &str) -> Option<usize> {
    for line in head.lines() {
        if let Some((name, value)) = line.split_once(':') {
            if name.eq_ignore_ascii_case("content-length") {
                return value.trim().parse().ok();
            }
        }
    }
    None
}

/// Reads a message: its head, and its body by its length. `None` when the connection ends first.
async fn read_message(stream: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    let mut buffer = [0; 4096];
    loop {
        let text = String::from_utf8_lossy(&bytes).into_owned();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            if body.len() >= content_length(head).unwrap_or(0) {
                return Some(text);
            }
        }
        let count = stream.read(&mut buffer).await.ok()?;
        if count == 0 {
            return None;
        }
        bytes.extend_from_slice(&buffer[..count]);
    }
}

/// A prefill endpoint that answers at once, and reports the request line of each release.
async fn serve_prefill_endpoint(listener: TcpListener, released: mpsc::UnboundedSender<String>) {
    while let Ok((mut stream, _)) = listener.accept().await {
        let released = released.clone();
        tokio::spawn(async move {
            while let Some(text) = read_message(&mut stream).await {
                let response = if text.starts_with("DELETE ") {
                    let _ = released.send(text.lines().next().unwrap_or_default().to_owned());
                    "HTTP/1.1 204 No Content\r\n\r\n"
                } else {
                    "HTTP/1.1 202 Accepted\r\nContent-Length: 19\r\n\r\n{\"cached_tokens\":0}"
                };
                stream.write_all(response.as_bytes()).await.unwrap();
            }
        });
    }
}

fn start_program(listen: &str, prefill: &str, decode: &str) -> Program {
    let member = |id: &str, address: &str, flavor: &str| {
        format!(
            r#"{{"id":"{id}","host_port":"{address}","locality":"east","flavor":"{flavor}","cell":1,"phase":"Ready"}}"#
        )
    };
    let members = [
        member("r", prefill, "prefill"),
        member("w", decode, "decode"),
    ]
    .join(",");
    let text = format!(
        r#"{{"name":"n1","listen":"{listen}","discovery":"127.0.0.1:1","seed":"8c1f30d27a5be964","limits":{{"cores":1.0,"memory_mb":192,"sockets":256}},"known":{{"revision":1,"complete":true,"members":[{members}]}},"settings":{}}}"#,
        testbed::SETTINGS
    );
    let config =
        std::env::temp_dir().join(format!("quartzhall-incident-{}.json", std::process::id()));
    std::fs::write(&config, text).unwrap();
    let mut command = Command::new(PROGRAM);
    command
        .args(["serve", "--config"])
        .arg(&config)
        .stderr(Stdio::null());
    Program {
        child: command.spawn().unwrap(),
        config,
    }
}

async fn connect(address: &str) -> TcpStream {
    let connects = async {
        loop {
            if let Ok(stream) = TcpStream::connect(address).await {
                return stream;
            }
            tokio::task::yield_now().await;
        }
    };
    tokio::time::timeout(TEST_TIMEOUT, connects)
        .await
        .expect("the program listens")
}

/// The client waits for 4 s and the KV cache may be reserved for 1 s: it is released while the client still waits.
#[tokio::test]
async fn a_kv_cache_is_released_while_its_request_waits_at_a_silent_decode_endpoint() {
    let (prefill, prefill_address) = bind_endpoint().await;
    let (_decode_accepts_connections_and_reads_nothing, decode_address) = bind_endpoint().await;
    let (released, mut releases) = mpsc::unbounded_channel();
    tokio::spawn(serve_prefill_endpoint(prefill, released));
    let listen = bind_endpoint().await.1;
    let _program = start_program(&listen, &prefill_address, &decode_address);
    let mut client = connect(&listen).await;
    let request = "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nX-Trace-Id: 00000000000000aa\r\nX-Qos: status-query\r\nX-Customer: acme\r\nX-Object: 1\r\nX-Expires-In-Ms: 4000\r\nX-Props: prompt_len=100,max_out=10\r\nContent-Length: 2\r\n\r\n{}";
    client.write_all(request.as_bytes()).await.unwrap();
    let mut buffer = [0; 64];
    let first = async {
        tokio::select! {
            release = releases.recv() => release.expect("the prefill endpoint runs"),
            response = client.read(&mut buffer) => format!("a response: {response:?}"),
        }
    };
    let first = tokio::time::timeout(TEST_TIMEOUT, first)
        .await
        .expect("a release or a response");
    assert_eq!(first, "DELETE /kv/leases/00000000000000aa HTTP/1.1");
}
