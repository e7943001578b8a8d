//! Golden tests: the program's output at each of its interfaces is compared byte by byte with files in `tests/golden`.
//!
//! A difference means that a protocol or a stored format has changed. `UPDATE_GOLDEN=1` rewrites the files, which is
//! only right for an intended change of a format.

mod free_address;

use quartzhall::net::message_framing::ChunkedDecoder;
use quartzhall::upgrade::stream_migration::{
    self, ConnectionState, MigrationHandle, MigrationSender, MigrationSlot, OfferClaim,
    ReceiverProcess, UpstreamHalf, UpstreamState,
};
use std::path::PathBuf;
use std::process::{Command, Output, Stdio};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

const SETTINGS: &str = include_str!("golden/settings.json");

/// Compares a text with a golden file, or rewrites the file if `UPDATE_GOLDEN` is set.
fn assert_golden(name: &str, actual: &str) {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("tests/golden")
        .join(name);
    if std::env::var_os("UPDATE_GOLDEN").is_some() {
        std::fs::write(&path, actual).unwrap();
    }
    let expected = std::fs::read_to_string(&path).unwrap();
    for (number, (expected, actual)) in expected.lines().zip(actual.lines()).enumerate() {
        assert_eq!(actual, expected, "{name}, line {}", number + 1);
    }
    assert_eq!(actual, expected, "{name}");
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// A temporary directory that is removed when the test ends.
struct TemporaryDirectory(PathBuf);

impl TemporaryDirectory {
    fn new(name: &str) -> TemporaryDirectory {
        let path =
            std::env::temp_dir().join(format!("quartzhall-golden-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&path).unwrap();
        TemporaryDirectory(path)
    }

    fn file(&self, name: &str, text: &str) -> PathBuf {
        let path = self.0.join(name);
        std::fs::write(&path, text).unwrap();
        path
    }
}

impl Drop for TemporaryDirectory {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn config(listen: &str, discovery: &str, known: &str) -> String {
    format!(
        r#"{{"name":"n1","listen":"{listen}","discovery":"{discovery}","seed":"8c1f30d27a5be964","limits":{{"cores":1.0,"memory_mb":192,"sockets":256}},"known":{known},"settings":{SETTINGS}}}"#
    )
}

/// Replays a recorded exchange in the simulator's protocol; each reply must equal the recorded one.
#[test]
fn simulator_exchange_is_unchanged() {
    use std::io::Write;
    let recorded = include_str!("golden/simhost-exchange.txt");
    let lines_after = |mark: &str| -> String {
        recorded
            .lines()
            .filter_map(|line| line.strip_prefix(mark))
            .flat_map(|line| [line, "\n"])
            .collect()
    };
    let mut child = Command::new(env!("CARGO_BIN_EXE_quartzhall-simhost"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let mut stdin = child.stdin.take().unwrap();
    let input = lines_after("> ");
    let writer = std::thread::spawn(move || stdin.write_all(input.as_bytes()).unwrap());
    let output = child.wait_with_output().unwrap();
    writer.join().unwrap();
    assert!(output.status.success());
    let replies = String::from_utf8(output.stdout).unwrap();
    for (number, (actual, expected)) in replies.lines().zip(lines_after("< ").lines()).enumerate() {
        assert_eq!(actual, expected, "reply line {}", number + 1);
    }
    assert_eq!(replies, lines_after("< "));
}

fn check(config: &str, sessions: Option<&str>) -> Output {
    let directory = TemporaryDirectory::new(&format!("check-{:?}", std::thread::current().id()));
    let mut command = Command::new(env!("CARGO_BIN_EXE_quartzhall"));
    command
        .current_dir(&directory.0)
        .args(["check", "--config", "config.json"]);
    directory.file("config.json", config);
    if let Some(sessions) = sessions {
        directory.file("websocket.json", sessions);
        command.args(["--websocket", "websocket.json"]);
    }
    command.output().unwrap()
}

#[test]
#[expect(clippy::too_many_lines, reason = "a table of cases")]
fn check_and_configuration_errors_are_unchanged() {
    let good = config("127.0.0.1:8080", "127.0.0.1:9000", "null");
    let deployed = include_str!("../deploy/websocket.json");
    let replaced = |from: &str, to: &str| {
        assert!(good.contains(from), "{from}");
        good.replace(from, to)
    };
    let cases: Vec<(&str, String, Option<&str>)> = vec![
        ("good", good.clone(), None),
        (
            "good with the deployed session file",
            good.clone(),
            Some(deployed),
        ),
        (
            "good with sessions",
            good.clone(),
            Some(r#"{"listen":"127.0.0.1:1","agent_check":"127.0.0.1:2"}"#),
        ),
        ("cut", good[..good.len() / 2].to_owned(), None),
        ("empty", String::new(), None),
        ("repeat", replaced("single_shot", "sometimes"), None),
        (
            "group",
            replaced(
                "\"repeat\":\"free\",\"group\":\"all\"",
                "\"repeat\":\"guarded\",\"group\":\"some\"",
            ),
            None,
        ),
        (
            "role",
            replaced("\"read\",\"write\"", "\"read\",\"sing\""),
            None,
        ),
        (
            "reporting",
            replaced("\"via\":\"answers\"", "\"via\":\"pigeon\""),
            None,
        ),
        ("no classes", replaced("\"classes\"", "\"klasses\""), None),
        ("no aim", replaced("\"aim\":1500.0,", ""), None),
        (
            "negative aim",
            replaced("\"aim\":1500.0", "\"aim\":-1.0"),
            None,
        ),
        ("aim of 0", replaced("\"aim\":1500.0", "\"aim\":0"), None),
        ("no most_tries", replaced("\"most_tries\":5,", ""), None),
        (
            "most_tries of a half",
            replaced("\"most_tries\":5", "\"most_tries\":0.5"),
            None,
        ),
        (
            "a class twice",
            replaced("return-request", "status-query"),
            None,
        ),
        (
            "discovery",
            replaced(
                "\"discovery\":\"127.0.0.1:9000\"",
                "\"discovery\":\"nowhere\"",
            ),
            None,
        ),
        ("session file", good.clone(), Some("{\"listen\":7}")),
        (
            "session bounds",
            good.clone(),
            Some("{\"most_requests\":0}"),
        ),
    ];
    let mut text = String::new();
    for (name, config, sessions) in cases {
        let output = check(&config, sessions);
        let line = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
        text += &format!(
            "{name}: {:?}\n{}{}",
            output.status.code(),
            line(&output.stdout),
            line(&output.stderr)
        );
    }
    let missing = Command::new(env!("CARGO_BIN_EXE_quartzhall"))
        .args(["check", "--config", "no-such-file.json"])
        .output()
        .unwrap();
    text += &format!(
        "no file: {:?}\n{}",
        missing.status.code(),
        String::from_utf8_lossy(&missing.stderr)
    );
    assert_golden("check.txt", &text);
}

mod formats {
    use super::{assert_golden, hex};
    use quartzhall::gossip::Gossip;
    use quartzhall::routing::api::LoadReport;

    #[test]
    fn datagram_is_unchanged() {
        let mut gossip = Gossip::new(3, 0.0028);
        (0..20).for_each(|_| gossip.on_request());
        let now = 1_700_000_000_000_000;
        gossip.record_failure(0x1122_3344_5566_7788);
        for (server, in_flight) in [(1, 30.0), (2, 254.6), (3, 999.0)] {
            let load = LoadReport {
                in_flight: Some(in_flight),
                kv_memory_share: Some(0.25),
                ..LoadReport::default()
            };
            gossip.record_load(now, server, 0xabcd_ef00 + u64::from(server), &load);
        }
        assert_golden(
            "datagram.txt",
            &(hex(&gossip.next_message(now).unwrap()) + "\n"),
        );
    }

    #[test]
    #[expect(clippy::too_many_lines, reason = "a table of cases")]
    fn recording_is_unchanged() {
        use quartzhall_recording::{
            Digest, Record, RecordedOutcome, RecordedRole, RecordedStatus, Table, Writer,
        };
        let mut records = vec![
            Record::Start {
                at: 1_700_000_000_000_000,
                dispatcher: "n1".into(),
                dispatchers: 3,
            },
            Record::Name {
                table: Table::Class,
                number: 1,
                name: "status-query".into(),
            },
            Record::Name {
                table: Table::Tenant,
                number: 2,
                name: "acme".into(),
            },
            Record::Name {
                table: Table::Endpoint,
                number: 7,
                name: "r1".into(),
            },
            Record::Arrival {
                at: 5,
                request: 9,
                class: 1,
                tenant: Some(2),
                session: Some(Digest(77)),
                shared_prefix: None,
                prompt_tokens: 5120,
                prefix_tokens: 12,
                max_output_tokens: 800,
                expires_in: 7_500_000,
            },
            Record::AttemptSent {
                at: 6,
                request: 9,
                attempt: 0,
                endpoint: 7,
            },
            Record::FirstEvent {
                at: 7,
                request: 9,
                attempt: 0,
            },
            Record::Dropped { records: 4 },
        ];
        for role in [
            RecordedRole::Prefill,
            RecordedRole::Decode,
            RecordedRole::Mixed,
        ] {
            records.push(Record::Endpoint {
                at: 2,
                endpoint: 7,
                role,
                cell: 1,
                ready: true,
                started: 3,
            });
        }
        for status in [
            RecordedStatus::Served,
            RecordedStatus::PrefillDone,
            RecordedStatus::Error,
            RecordedStatus::Overloaded,
            RecordedStatus::Timeout,
            RecordedStatus::ConnectFailed,
            RecordedStatus::Reset,
            RecordedStatus::StaleConnection,
            RecordedStatus::Cancelled,
            RecordedStatus::NotSent,
            RecordedStatus::InvalidRequest,
        ] {
            records.push(Record::AttemptEnded {
                at: 8,
                request: 9,
                attempt: 0,
                status,
                cached_tokens: 4096,
                completion_tokens: 200,
            });
        }
        for outcome in [
            RecordedOutcome::Served,
            RecordedOutcome::StreamBroken,
            RecordedOutcome::Shed,
            RecordedOutcome::Failed,
            RecordedOutcome::ClientDisconnected,
        ] {
            records.push(Record::RequestEnded {
                at: 9,
                request: 9,
                outcome,
            });
        }
        let mut bytes = Vec::new();
        let mut writer = Writer::new(&mut bytes).unwrap();
        records
            .iter()
            .for_each(|record| writer.write(record).unwrap());
        let lines: Vec<String> = bytes.chunks(32).map(hex).collect();
        assert_golden("recording.txt", &(lines.join("\n") + "\n"));
    }
}

/// The frame that migrates a stream to a successor process, in the current version.
#[tokio::test]
async fn moved_stream_frame_is_unchanged() {
    let directory = TemporaryDirectory::new("moved");
    let successor = FrameSuccessor::listen(&directory);
    let migration = successor.migration();
    let (is_migrated, frame) = tokio::join!(migrate_golden_stream(&migration), async {
        successor.accept_frame(GOLDEN_FRAME_BYTES).await
    });
    assert!(is_migrated);
    assert_golden("moved-stream-2.txt", &(hex(&frame) + "\n"));
}

/// A successor that only knows the first version reads the head of the current one and closes the connection. The
/// sender then sends a frame of the first version.
#[tokio::test]
async fn moved_stream_frame_of_the_first_version_is_unchanged() {
    let directory = TemporaryDirectory::new("moved-first");
    let successor = FrameSuccessor::listen(&directory);
    let migration = successor.migration();
    let (is_migrated, frame) = tokio::join!(migrate_golden_stream(&migration), async {
        successor.reject_frame().await;
        successor.accept_frame(GOLDEN_FIRST_FRAME_BYTES).await
    });
    assert!(is_migrated);
    assert_golden("moved-stream.txt", &(hex(&frame) + "\n"));
}

const FRAME_HEAD_BYTES: usize = 18;
const GOLDEN_FIRST_FRAME_BYTES: usize = FRAME_HEAD_BYTES + "data: half".len();
/// The current version's frame has 17 bytes of additional fields and the client request id.
const GOLDEN_FRAME_BYTES: usize = GOLDEN_FIRST_FRAME_BYTES + 17 + "9b1f03aa".len();

/// A stand-in for the successor process, which only receives frames.
struct FrameSuccessor {
    socket_path: PathBuf,
    listener: tokio::net::UnixListener,
}

impl FrameSuccessor {
    fn listen(directory: &TemporaryDirectory) -> FrameSuccessor {
        let socket_path = directory.0.join("successor.sock");
        FrameSuccessor {
            listener: tokio::net::UnixListener::bind(&socket_path).unwrap(),
            socket_path,
        }
    }

    /// Returns a sender that migrates streams to this stand-in.
    fn migration(&self) -> MigrationSender {
        let (streams, queue) = tokio::sync::mpsc::channel(1);
        let process = ReceiverProcess {
            started_at: 1,
            socket_path: self.socket_path.clone(),
        };
        tokio::spawn(stream_migration::send_streams(
            move || Some(process.clone()),
            queue,
            slog::Logger::root(slog::Discard, slog::o!()),
        ));
        let (_, signal) = stream_migration::migration_signal();
        Some(MigrationHandle { streams, signal })
    }

    async fn reject_frame(&self) {
        let (mut stream, _) = self.listener.accept().await.unwrap();
        let mut head = [0; FRAME_HEAD_BYTES];
        stream.read_exact(&mut head).await.unwrap();
    }

    async fn accept_frame(&self, length: usize) -> Vec<u8> {
        let (mut stream, _) = self.listener.accept().await.unwrap();
        // A read ends at passed file descriptors even if more bytes follow, so the head is read separately.
        let mut frame = vec![0; length];
        let (head, rest) = frame.split_at_mut(FRAME_HEAD_BYTES);
        stream.read_exact(head).await.unwrap();
        stream.read_exact(rest).await.unwrap();
        stream.write_all(b"Y").await.unwrap();
        frame
    }
}

/// Offers a stream that is in the middle of a chunk and of an event. Returns whether it was migrated.
async fn migrate_golden_stream(migration: &MigrationSender) -> bool {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let client = tokio::net::TcpStream::connect(address).await.unwrap();
    let upstream = tokio::net::TcpStream::connect(address).await.unwrap();
    let mut chunks = ChunkedDecoder::default();
    chunks.feed(b"1f\r\ndata: half of a ch", |_| {}).unwrap();
    let (migrated, was_migrated) = tokio::sync::oneshot::channel();
    let slot = MigrationSlot::default();
    let half = UpstreamHalf {
        upstream: upstream.into_std().unwrap().into(),
        state: UpstreamState {
            chunks,
            partial_event: bytes::Bytes::from_static(b"data: half"),
            idle_for: std::time::Duration::from_millis(700),
        },
        claim: OfferClaim::default(),
        migrated,
    };
    slot.offer(half, Some("9b1f03aa".into()));
    slot.on_flushed(&client, || ConnectionState {
        unsent: bytes::Bytes::new(),
        pipelined: bytes::Bytes::new(),
        closes_after_response: true,
    });
    slot.migrate(migration).await && was_migrated.await.unwrap()
}

mod exchange {
    //! The bytes that the program exchanges with clients, replicas, discovery and operators.

    use super::free_address::free_address;
    use super::{assert_golden, config, TemporaryDirectory};
    use std::collections::BTreeSet;
    use std::process::{Child, Command, Stdio};
    use std::sync::{Arc, Mutex};
    use std::time::Duration;
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    use tokio::net::{TcpListener, TcpStream};

    struct ProgramProcess(Child);

    impl Drop for ProgramProcess {
        fn drop(&mut self) {
            let _ = self.0.kill();
            let _ = self.0.wait();
        }
    }

    type ReceivedRequests = Arc<Mutex<BTreeSet<String>>>;

    /// Masks the values of headers that differ from run to run.
    fn mask_varying_headers(text: &str) -> String {
        let mut lines = Vec::new();
        for line in text.split("\r\n") {
            let lower = line.to_ascii_lowercase();
            let varying_headers = [
                "host: ",
                "date: ",
                "x-expires-in-ms: ",
                "sec-websocket-key: ",
                "sec-websocket-accept: ",
            ];
            match varying_headers
                .iter()
                .find(|name| lower.starts_with(**name))
            {
                Some(name) => lines.push(format!("{}*", &line[..name.len()])),
                None => lines.push(line.to_owned()),
            }
        }
        lines.join("\n")
    }

    async fn read_request(stream: &mut TcpStream) -> Option<String> {
        let mut bytes = Vec::new();
        loop {
            if let Some(end) = bytes.windows(4).position(|window| window == b"\r\n\r\n") {
                let head = String::from_utf8_lossy(&bytes[..end]).to_ascii_lowercase();
                let length = head
                    .split("\r\n")
                    .find_map(|line| line.strip_prefix("content-length: "));
                if bytes.len() >= end + 4 + length.map_or(0, |length| length.parse().unwrap()) {
                    return Some(String::from_utf8_lossy(&bytes).into_owned());
                }
            }
            if stream.read_buf(&mut bytes).await.ok()? == 0 {
                return None;
            }
        }
    }

    fn response_to(is_prefill: bool, request: &str) -> &'static str {
        const OVERLOADED: &str =
            "HTTP/1.1 503 Service Unavailable\r\nx-never-ran: 1\r\ncontent-length: 0\r\n\r\n";
        const ERROR: &str = "HTTP/1.1 500 Internal Server Error\r\ncontent-length: 0\r\n\r\n";
        const BAD: &str = "HTTP/1.1 400 Bad Request\r\ncontent-length: 0\r\n\r\n";
        const PREFILL_DONE: &str =
            "HTTP/1.1 202 Accepted\r\ncontent-length: 19\r\n\r\n{\"cached_tokens\":7}";
        const STREAM: &str =
            "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n\
            e\r\ndata: {\"n\":1}\n\r\n1\r\n\n\r\n2a\r\n: Endpoint-Load-Metrics: TEXT inflight=3\n\n\r\n\
            e\r\ndata: [DONE]\n\n\r\n0\r\n\r\n";
        if request.starts_with("DELETE") {
            return "HTTP/1.1 204 No Content\r\n\r\n";
        }
        let is_named = |name: &str| {
            request
                .to_ascii_lowercase()
                .contains(&format!("x-trace-id: {name}"))
        };
        match is_prefill {
            true if is_named("full") => OVERLOADED,
            true if is_named("bad") => BAD,
            true => PREFILL_DONE,
            false if is_named("error") => ERROR,
            false => STREAM,
        }
    }

    /// Starts a replica that records its requests. Returns its address.
    async fn start_replica(name: &'static str, received: ReceivedRequests) -> String {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap().to_string();
        tokio::spawn(async move {
            loop {
                let (mut stream, _) = listener.accept().await.unwrap();
                let received = received.clone();
                tokio::spawn(async move {
                    while let Some(request) = read_request(&mut stream).await {
                        let response = response_to(name == "prefill", &request);
                        let _ = stream.write_all(response.as_bytes()).await;
                        // Which replica gets the request to release depends on timing.
                        let at = if request.starts_with("DELETE") {
                            "any"
                        } else {
                            name
                        };
                        received
                            .lock()
                            .unwrap()
                            .insert(format!("=== {at}\n{}\n", mask_varying_headers(&request)));
                    }
                });
            }
        });
        address
    }

    /// Starts a discovery agent that records its requests and never responds. Returns its address.
    async fn start_discovery(received: ReceivedRequests) -> String {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap().to_string();
        tokio::spawn(async move {
            let mut open_streams = Vec::new();
            loop {
                let (mut stream, _) = listener.accept().await.unwrap();
                if let Some(request) = read_request(&mut stream).await {
                    received.lock().unwrap().insert(format!(
                        "=== discovery\n{}\n",
                        mask_varying_headers(&request)
                    ));
                }
                open_streams.push(stream);
            }
        });
        address
    }

    async fn connect(address: &str) -> TcpStream {
        let connects = async {
            loop {
                match TcpStream::connect(address).await {
                    Ok(stream) => return stream,
                    Err(_) => tokio::task::yield_now().await,
                }
            }
        };
        tokio::time::timeout(Duration::from_secs(20), connects)
            .await
            .expect("a connection")
    }

    async fn exchange(address: &str, request: &str) -> String {
        let mut stream = connect(address).await;
        stream.write_all(request.as_bytes()).await.unwrap();
        let mut response = Vec::new();
        let read =
            tokio::time::timeout(Duration::from_secs(20), stream.read_to_end(&mut response)).await;
        let _ = read.expect("an end");
        String::from_utf8_lossy(&response).into_owned()
    }

    struct Program {
        _process: ProgramProcess,
        _directory: TemporaryDirectory,
        address: String,
        sessions: String,
        management: String,
        received: ReceivedRequests,
    }

    async fn start(name: &str) -> Program {
        let received = ReceivedRequests::default();
        let (prefill, decode) = (
            start_replica("prefill", received.clone()).await,
            start_replica("decode", received.clone()).await,
        );
        let known = format!(
            r#"{{"revision":41,"complete":true,"members":[
                {{"id":"p","host_port":"{prefill}","locality":"east","flavor":"prefill","cell":1,"phase":"Ready"}},
                {{"id":"d","host_port":"{decode}","locality":"east","flavor":"decode","cell":1,"phase":"Ready"}}]}}"#
        );
        let discovery = start_discovery(received.clone()).await;
        let (address, sessions, management) = (free_address(), free_address(), free_address());
        let directory = TemporaryDirectory::new(name);
        let file = directory.file("config.json", &config(&address, &discovery, &known));
        let session_file =
            directory.file("websocket.json", &format!(r#"{{"listen":"{sessions}"}}"#));
        let mut command = Command::new(env!("CARGO_BIN_EXE_quartzhall"));
        command
            .args(["serve", "--config"])
            .arg(file)
            .arg("--websocket")
            .arg(session_file);
        command
            .env("GW_MANAGEMENT", &management)
            .stderr(Stdio::null());
        let process = ProgramProcess(command.spawn().unwrap());
        let ready = "GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        let becomes_ready =
            async { while !exchange(&address, ready).await.starts_with("HTTP/1.1 200") {} };
        tokio::time::timeout(Duration::from_secs(20), becomes_ready)
            .await
            .expect("ready");
        Program {
            _process: process,
            _directory: directory,
            address,
            sessions,
            management,
            received,
        }
    }

    fn post(name: &str, class: &str, rest: &str, body: &str) -> String {
        format!(
            "POST /v1/chat/completions?x=1 HTTP/1.1\r\nHost: x\r\nConnection: close\r\nX-Trace-Id: {name}\r\nX-Qos: {class}\r\nX-Customer: acme\r\nX-Object: 7f3a\r\nX-Expires-In-Ms: 4000\r\nX-Props: prefix=5c,prompt_len=500,prefix_len=100,max_out=100\r\n{rest}\r\n\r\n{body}"
        )
    }

    #[tokio::test]
    #[expect(clippy::too_many_lines, reason = "a table of cases")]
    async fn http_exchange_is_unchanged() {
        let program = start("http").await;
        let length = "Content-Length: 2";
        let cases = [
            ("served", post("served", "status-query", length, "{}")),
            ("served once", post("once", "return-request", length, "{}")),
            (
                "in chunks",
                post(
                    "chunks",
                    "status-query",
                    "Transfer-Encoding: chunked",
                    "2\r\n{}\r\n0\r\n\r\n",
                ),
            ),
            (
                "ready",
                "GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".to_owned(),
            ),
            (
                "unknown path",
                "GET /x HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".to_owned(),
            ),
            (
                "wrong method",
                "GET /v1/chat/completions HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
                    .to_owned(),
            ),
            ("unknown class", post("a", "no-such-class", length, "{}")),
            ("no plain name", post("a b", "status-query", length, "{}")),
            (
                "no props",
                post("a", "status-query", length, "{}").replace("X-Props", "X-Other"),
            ),
            (
                "props without a length",
                post("a", "status-query", length, "{}").replace("prompt_len", "other"),
            ),
            (
                "too large",
                post("a", "status-query", "Content-Length: 300000", ""),
            ),
            (
                "length and chunks",
                post(
                    "a",
                    "status-query",
                    "Content-Length: 2\r\nTransfer-Encoding: chunked",
                    "0\r\n\r\n",
                ),
            ),
            ("not HTTP", "what?\r\n\r\n".to_owned()),
            (
                "bad at the replica",
                post("bad", "status-query", length, "{}"),
            ),
            ("full", post("full", "status-query", length, "{}")),
            ("error", post("error", "return-request", length, "{}")),
            (
                "error, again",
                post("error", "return-request", length, "{}"),
            ),
        ];
        let mut text = String::new();
        for (name, request) in cases {
            let response = exchange(&program.address, &request).await;
            text += &format!("=== {name}\n{}\n", mask_varying_headers(&response));
        }
        assert_golden("http-answers.txt", &text);
        // The release of the KV cache after the failure is the last request to the replicas.
        let released = async {
            while !program
                .received
                .lock()
                .unwrap()
                .iter()
                .any(|request| request.contains("DELETE /kv/leases/error"))
            {
                tokio::task::yield_now().await;
            }
        };
        tokio::time::timeout(Duration::from_secs(20), released)
            .await
            .expect("released");
        let requests: String = program.received.lock().unwrap().iter().cloned().collect();
        assert_golden("upstream-requests.txt", &requests);
    }

    #[tokio::test]
    async fn management_answers_are_unchanged() {
        let program = start("management").await;
        let mut text = String::new();
        for line in [
            "ready",
            "disable-server d",
            "disable-server d",
            "ready",
            "enable-server d",
            "ready",
            "disable-server nobody",
            "disable-server",
            "ready now",
            "quit",
            "",
        ] {
            text += &format!(
                "> {line}\n< {}",
                exchange(&program.management, &format!("{line}\n")).await
            );
        }
        let long = format!("{}\n", "x".repeat(600));
        text += &format!(
            "> 600 bytes\n< {}",
            exchange(&program.management, &long).await
        );
        assert_golden("management.txt", &text);
    }

    #[tokio::test]
    async fn session_messages_are_unchanged() {
        use futures_util::{SinkExt, StreamExt};
        use tokio_tungstenite::tungstenite::Message;
        let program = start("sessions").await;
        let url = format!("ws://{}/v1/sessions", program.sessions);
        let (mut session, response) = tokio_tungstenite::connect_async(url).await.unwrap();
        let mut text = format!("status {}\n", response.status());
        let request_message = |id: &str, class: &str| {
            format!(
                r#"{{"type":"request","id":"{id}","class":"{class}","tenant":"acme","session":"7f3a","expires_in_ms":4000,"prompt_len":500,"max_out":100,"body":"{{}}"}}"#
            )
        };
        let messages = [
            request_message("served", "status-query"),
            request_message("served", "status-query"),
            request_message("bad", "status-query"),
            request_message("full", "status-query"),
            request_message("error", "return-request"),
            request_message("error", "return-request"),
            request_message("a", "no-such-class"),
            request_message("a", "status-query").replace("prompt_len", "other"),
            r#"{"type":"what"}"#.to_owned(),
            "no JSON".to_owned(),
        ];
        for message in messages {
            text += &format!("> {message}\n");
            session.send(Message::Text(message.into())).await.unwrap();
            loop {
                let next = tokio::time::timeout(Duration::from_secs(20), session.next()).await;
                match next.expect("a message") {
                    Some(Ok(Message::Text(reply))) => {
                        text += &format!("< {reply}\n");
                        if !reply.contains(r#""type":"event""#) {
                            break;
                        }
                    }
                    Some(Ok(Message::Close(frame))) => {
                        text += &format!("closed: {frame:?}\n");
                        break;
                    }
                    Some(Ok(_)) => {}
                    other => panic!("{other:?}"),
                }
            }
        }
        assert_golden("sessions.txt", &text);
    }

    /// Masks numbers of four digits and more: times and process ids, which differ from run to run.
    fn mask_numbers(text: &str) -> String {
        let mut all = String::new();
        for word in text.split_inclusive(|character: char| !character.is_ascii_digit()) {
            let digits = word.chars().take_while(char::is_ascii_digit).count();
            if digits >= 4 {
                all.push('#');
                all.push_str(&word[digits..]);
            } else {
                all.push_str(word);
            }
        }
        all
    }

    /// Masks words of 16 hexadecimal digits: start times in the file of claims.
    fn mask_hexadecimal_numbers(text: &str) -> String {
        let is_number = |word: &str| word.len() == 16 && u64::from_str_radix(word, 16).is_ok();
        let words: Vec<&str> = text
            .split(' ')
            .map(|word| if is_number(word) { "#" } else { word })
            .collect();
        words.join(" ")
    }

    /// The names and contents of the files that processes of two versions share during an upgrade.
    #[tokio::test]
    #[expect(clippy::too_many_lines, reason = "one scenario from start to end")]
    async fn upgrade_files_are_unchanged() {
        let directory = TemporaryDirectory::new("upgrade");
        let socket = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let management = free_address();
        let known = r#"{"revision":41,"complete":true,"members":[
            {"id":"p","host_port":"127.0.0.1:1","locality":"east","flavor":"prefill","cell":1,"phase":"Ready"},
            {"id":"d","host_port":"127.0.0.1:2","locality":"east","flavor":"decode","cell":1,"phase":"Ready"},
            {"id":"d2","host_port":"127.0.0.1:3","locality":"east","flavor":"decode","cell":1,"phase":"Ready"}]}"#;
        let address = socket.local_addr().unwrap().to_string();
        let file = directory.file("config.json", &config(&address, &free_address(), known));
        let shared = directory.0.join("shared");
        std::fs::create_dir(&shared).unwrap();
        // An earlier version has banned a replica.
        let bans = shared.join("quartzhall-08b37b07b558d4c0.bans");
        std::fs::write(
            &bans,
            r#"{"version":1,"marks":[{"id":"d2","at":1700000000000000,"banned":true}]}"#,
        )
        .unwrap();
        let mut command = Command::new("sh");
        command.args(["-c", "exec 5<&0 0</dev/null; exec \"$0\" serve \"$@\""]);
        command
            .arg(env!("CARGO_BIN_EXE_quartzhall"))
            .arg("--config")
            .arg(file);
        command
            .env("GW_SOCKET_FD", "5")
            .env("TMPDIR", &shared)
            .env("GW_MANAGEMENT", &management);
        command
            .stdin(Stdio::from(std::os::fd::OwnedFd::from(socket)))
            .stderr(Stdio::null());
        let process = ProgramProcess(command.spawn().unwrap());
        // Replaced separately, because a process id below 1000 is too short to be masked as a number.
        let process_id = format!("-{}.notice", process.0.id());
        assert_eq!(exchange(&management, "disable-server d\n").await, "ACK\n");
        assert!(
            exchange(&management, "ready\n").await.starts_with("NAK"),
            "both decode replicas are banned"
        );
        let files = || {
            let mut all = Vec::new();
            for entry in std::fs::read_dir(&shared).unwrap() {
                let path = entry.unwrap().path();
                let name = path.file_name().unwrap().to_str().unwrap();
                let name = name.replace(&process_id, "-#.notice");
                let content = std::fs::read_to_string(&path).unwrap_or_else(|_| "a socket".into());
                let content = mask_hexadecimal_numbers(content.trim());
                all.push(format!(
                    "{}: {}\n",
                    mask_numbers(&name),
                    mask_numbers(&content)
                ));
            }
            all.sort();
            all.concat()
        };
        let written = async {
            while std::fs::read_to_string(&bans).is_ok_and(|text| !text.contains("\"d\""))
                || !files().contains("serving  15")
            {
                tokio::task::yield_now().await;
            }
        };
        tokio::time::timeout(Duration::from_secs(20), written)
            .await
            .expect("the files");
        assert_golden("upgrade-files.txt", &files());
    }
}
