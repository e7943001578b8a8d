//! How long a replica streams, which the client asks for in the body of its request, and the time stamps of events.

use rand::Rng;
use rand_pcg::Pcg32;
use std::sync::OnceLock;
use std::time::{Duration, Instant};

/// The start of a body that asks for a long stream.
const BODY_PREFIX: &str = "stream ";
/// What comes before the time stamp in an event.
const TIMESTAMP_FIELD: &str = "\"written_us\":";

/// A stream: events of one size, with a pause somewhere.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamPlan {
    /// How many events.
    pub events: u32,
    /// Between two events.
    pub interval: Duration,
    /// An event's size, about.
    pub event_bytes: usize,
    /// The pause in the middle.
    pub pause: Duration,
}

impl StreamPlan {
    /// The stream of a request that asks for none.
    pub const DEFAULT: StreamPlan = StreamPlan {
        events: 4,
        interval: Duration::from_millis(40),
        event_bytes: 0,
        pause: Duration::ZERO,
    };

    /// Draws a stream of up to 15 s.
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

    /// The body that asks for this stream.
    pub fn request_body(&self) -> String {
        format!(
            "{BODY_PREFIX}{} {} {} {}",
            self.events,
            self.interval.as_millis(),
            self.event_bytes,
            self.pause.as_millis()
        )
    }

    /// The stream that a body asks for.
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

    /// How long the replica waits behind this event.
    pub fn delay_after(&self, event: u32) -> Duration {
        if event == self.events / 2 {
            self.interval + self.pause
        } else {
            self.interval
        }
    }
}

fn epoch() -> Instant {
    static EPOCH: OnceLock<Instant> = OnceLock::new();
    *EPOCH.get_or_init(Instant::now)
}

/// An event that is written now.
pub fn format_event(id: &str, number: u32, bytes: usize) -> String {
    let written_us = epoch().elapsed().as_micros();
    let padding = "x".repeat(bytes);
    format!("data: {{\"id\":\"{id}\",\"n\":{number},{TIMESTAMP_FIELD}{written_us},\"text\":\"{padding}\"}}\n\n")
}

/// When an event was written, by its line; `None` where the line has no time stamp.
pub fn parse_written_at(line: &str) -> Option<Instant> {
    let (_, rest) = line.split_once(TIMESTAMP_FIELD)?;
    let (written_us, _) = rest.split_once(',')?;
    Some(epoch() + Duration::from_micros(written_us.parse().ok()?))
}
