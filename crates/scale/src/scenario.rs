//! Scenario files: the fleet, the load, events on a time line, and what must hold.

use crate::fleet::Shape;
use serde::Deserialize;
use std::path::Path;

/// A scenario, as its file says.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Its name in results.
    pub name: String,
    /// Seconds of load.
    pub seconds: u64,
    /// The fleet.
    pub fleet: Fleet,
    /// The dispatchers.
    pub dispatchers: Dispatchers,
    /// The load.
    pub load: Load,
    /// What happens, and when.
    #[serde(default, rename = "event")]
    pub events: Vec<Event>,
    /// What must hold.
    #[serde(default)]
    pub must: Must,
}

/// The replicas.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// Readers and writers together.
    pub replicas: usize,
    /// Zones.
    pub zones: u32,
    /// The fewest and the most in a rack.
    pub rack: (usize, usize),
    /// Part of them that reads.
    pub readers: f64,
    /// Part of them that starts cold with the run.
    #[serde(default)]
    pub cold: f64,
}

impl Fleet {
    /// The shape that it is drawn by.
    pub fn shape(&self) -> Shape {
        Shape {
            replicas: self.replicas,
            zones: self.zones,
            rack: self.rack,
            readers: self.readers,
            cold: self.cold,
        }
    }
}

/// The dispatchers.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Dispatchers {
    /// Processes of the program, each with its share of the load.
    pub real: usize,
    /// Dispatchers without a process, that call discovery and speak to the real ones.
    #[serde(default)]
    pub hollow: usize,
    /// As many as the settings tell of.
    pub told: u32,
    /// Descriptors that a real one may use.
    pub sockets: u64,
}

/// The load.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// Requests a second for each real dispatcher.
    pub per_dispatcher: f64,
    /// The fewest and the most tokens of a prompt.
    pub prompt: (u32, u32),
    /// The fewest and the most tokens of an answer.
    pub answer: (u32, u32),
}

/// Something that happens once.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Event {
    /// Seconds from the load's start.
    pub at: f64,
    /// What happens.
    pub kind: EventKind,
    /// The number of a rack or a zone, or replicas a second of a rolling deploy.
    pub number: u32,
}

/// What may happen.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum EventKind {
    /// All replicas of a rack begin to drain.
    DrainRack,
    /// All replicas of a zone begin to drain.
    DrainZone,
    /// All replicas of a zone are back, cold.
    ReturnZone,
    /// From now on so many replicas a second drain for a second and come back cold.
    Roll,
    /// Discovery sends the whole list.
    WholeList,
}

/// What must hold at the end; counts and rules only, never times.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Must {
    /// At least so much of all requests is served to its end, as a part.
    #[serde(default)]
    pub served: f64,
}

impl Scenario {
    /// Reads a file; the error is one line with the file, the place and the reason.
    pub fn read(path: &Path) -> Result<Scenario, String> {
        let text = std::fs::read_to_string(path)
            .map_err(|error| format!("{}: {error}", path.display()))?;
        Scenario::parse(&text).map_err(|reason| format!("{}:{reason}", path.display()))
    }

    /// Reads a scenario; the error is the place and the reason, on one line.
    pub fn parse(text: &str) -> Result<Scenario, String> {
        let wrong = |error: toml::de::Error| {
            let start = error.span().map_or(0, |span| span.start).min(text.len());
            let line = text[..start].matches('\n').count() + 1;
            let column = start - text[..start].rfind('\n').map_or(0, |at| at + 1) + 1;
            format!("{line}:{column}: {}", error.message().replace('\n', " "))
        };
        let scenario: Scenario = toml::from_str(text).map_err(wrong)?;
        scenario
            .check()
            .map_err(|reason| format!("1:1: {reason}"))?;
        Ok(scenario)
    }

    fn check(&self) -> Result<(), String> {
        let parts = [
            ("fleet.readers", self.fleet.readers),
            ("fleet.cold", self.fleet.cold),
            ("must.served", self.must.served),
        ];
        if let Some((name, value)) = parts
            .into_iter()
            .find(|(_, value)| !(0.0..=1.0).contains(value))
        {
            return Err(format!("{name} is a part from 0 to 1, not {value}"));
        }
        let wrong = [
            (self.seconds == 0, "seconds must be over 0"),
            (self.fleet.replicas < 2, "fleet.replicas must be over 1"),
            (self.fleet.zones == 0, "fleet.zones must be over 0"),
            (
                self.fleet.rack.0 == 0 || self.fleet.rack.0 > self.fleet.rack.1,
                "fleet.rack is the fewest and the most",
            ),
            (
                self.dispatchers.real == 0,
                "dispatchers.real must be over 0",
            ),
            (
                self.load.per_dispatcher <= 0.0,
                "load.per_dispatcher must be over 0",
            ),
            (
                self.load.prompt.0 == 0 || self.load.prompt.0 > self.load.prompt.1,
                "load.prompt is the fewest and the most",
            ),
            (
                self.load.answer.0 == 0 || self.load.answer.0 > self.load.answer.1,
                "load.answer is the fewest and the most",
            ),
        ];
        match wrong.into_iter().find(|(is_wrong, _)| *is_wrong) {
            Some((_, reason)) => Err(reason.to_owned()),
            None => Ok(()),
        }
    }
}
