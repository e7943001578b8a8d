//! Length and pace of a response stream, and the timestamps in its events.
//!
//! A client describes the stream that it wants in the body of its request, and the replica produces it. Each event holds the
//! time at which it was written, from which the client derives the delay that the dispatcher added. Client and replica run
//! in the same process, so both measure from the same instant.

use rand::Rng;
use rand_pcg::Pcg32;
use std::sync::OnceLock;
use std::time::{Duration, Instant};

/// Prefix of a request body that describes a stream; a body without it gets [`StreamPlan::DEFAULT`].
const BODY_PREFIX: &str = "stream ";
/// Key before the timestamp in an event, in microseconds since [`epoch`].
const TIMESTAMP_FIELD: &str = "\"written_us\":";

/// A stream of events of equal size at a fixed interval, with one longer pause in the middle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamPlan {
    /// Number of events.
    pub events: u32,
    /// Time between two events.
    pub interval: Duration,
    /// Bytes of padding in each event, which make up most of a large event.
    pub event_bytes: usize,
    /// Additional wait in the middle of the stream; zero for none.
    pub pause: Duration,
}

impl StreamPlan {
    /// The stream of a request whose body does not describe one.
    pub const DEFAULT: StreamPlan = StreamPlan {
        events: 4,
        interval: Duration::from_millis(40),
        event_bytes: 0,
        pause: Duration::ZERO,
    };

    /// Draws a stream that takes up to about 15 s.
    pub fn draw(rng: &mut Pcg32) -> StreamPlan {
        let duration_ms = rng.gen_range(1_000..11_000);
        let interval_ms = rng.gen_range(20..400);
        let event_bytes = match rng.gen_range(0..5) {
            0 => rng.gen_range(1_000..30_000),
            _ => 0,
        };
        let pause_ms = match rng.gen_range(0..4) {
            0 => rng.gen_range(500..4_000),
            _ => 0,
        };
        StreamPlan {
            events: duration_ms / interval_ms + 2,
            interval: Duration::from_millis(interval_ms.into()),
            event_bytes,
            pause: Duration::from_millis(pause_ms),
        }
    }

    /// Formats the request body that asks for this stream.
    pub fn request_body(&self) -> String {
        format!(
            "{BODY_PREFIX}{} {} {} {}",
            self.events,
            self.interval.as_millis(),
            self.event_bytes,
            self.pause.as_millis()
        )
    }

    /// Parses the stream that a request body asks for; [`StreamPlan::DEFAULT`] where it asks for none.
    pub fn from_request_body(body: &[u8]) -> StreamPlan {
        StreamPlan::parse(body).unwrap_or(StreamPlan::DEFAULT)
    }

    fn parse(body: &[u8]) -> Option<StreamPlan> {
        let text = std::str::from_utf8(body).ok()?;
        let mut fields = text.strip_prefix(BODY_PREFIX)?.split(' ');
        let mut number = || fields.next()?.parse::<u64>().ok();
        Some(StreamPlan {
            events: number()? as u32,
            interval: Duration::from_millis(number()?),
            event_bytes: number()? as usize,
            pause: Duration::from_millis(number()?),
        })
    }

    /// Returns how long the replica waits after it has written the event with this number.
    pub fn delay_after(&self, event: u32) -> Duration {
        if event == self.events / 2 {
            self.interval + self.pause
        } else {
            self.interval
        }
    }
}

/// Returns the instant from which timestamps count: the first call in this process.
fn epoch() -> Instant {
    static EPOCH: OnceLock<Instant> = OnceLock::new();
    *EPOCH.get_or_init(Instant::now)
}

/// Formats an event that is about to be written, with the current time and `bytes` bytes of padding.
pub fn format_event(id: &str, number: u32, bytes: usize) -> String {
    let written_us = epoch().elapsed().as_micros();
    let padding = "x".repeat(bytes);
    format!("data: {{\"id\":\"{id}\",\"n\":{number},{TIMESTAMP_FIELD}{written_us},\"text\":\"{padding}\"}}\n\n")
}

/// Parses the time at which an event was written from its line; `None` where the line has no timestamp.
pub fn parse_written_at(line: &str) -> Option<Instant> {
    let (_, rest) = line.split_once(TIMESTAMP_FIELD)?;
    let (written_us, _) = rest.split_once(',')?;
    Some(epoch() + Duration::from_micros(written_us.parse().ok()?))
}
