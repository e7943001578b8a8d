//! Scenario files: the fleet, the load, scheduled events, and what must hold at the end.

use crate::fleet::FleetShape;
use serde::Deserialize;
use std::error::Error;
use std::fmt;
use std::path::{Path, PathBuf};

/// A scenario file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Its name in results.
    pub name: String,
    /// Seconds of load.
    pub seconds: u64,
    /// The replicas.
    pub fleet: FleetConfig,
    /// The dispatchers.
    pub dispatchers: DispatcherConfig,
    /// The load.
    pub load: LoadConfig,
    /// What happens during the load.
    #[serde(default, rename = "event")]
    pub events: Vec<ScenarioEvent>,
    /// What must hold at the end.
    #[serde(default, rename = "must")]
    pub expectations: Expectations,
}

/// The replicas.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetConfig {
    /// Replicas, prefill and decode together.
    pub replicas: usize,
    /// Zones.
    pub zones: u32,
    /// The smallest and the largest number of replicas in a rack.
    #[serde(rename = "rack")]
    pub rack_size: (usize, usize),
    /// Share of the replicas that prefill.
    #[serde(rename = "readers")]
    pub prefill_share: f64,
    /// Share of the replicas that are warming up at the start of the run.
    #[serde(default, rename = "cold")]
    pub warming_up_share: f64,
}

impl FleetConfig {
    /// The shape that the fleet is drawn by.
    pub fn shape(&self) -> FleetShape {
        FleetShape {
            replicas: self.replicas,
            zones: self.zones,
            rack_size: self.rack_size,
            prefill_share: self.prefill_share,
            warming_up_share: self.warming_up_share,
        }
    }
}

/// The dispatchers.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DispatcherConfig {
    /// Processes of the program, each with its share of the load.
    pub real: usize,
    /// Dispatchers without a process, which poll discovery and send gossip to the real ones.
    #[serde(default, rename = "hollow")]
    pub simulated: usize,
    /// Dispatchers of the fleet, as configured at each of them.
    #[serde(rename = "told")]
    pub configured: u32,
    /// Sockets that a real dispatcher may use.
    #[serde(rename = "sockets")]
    pub max_sockets: u64,
}

/// The load.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadConfig {
    /// Requests per second for each real dispatcher.
    #[serde(rename = "per_dispatcher")]
    pub rate_per_dispatcher: f64,
    /// The smallest and the largest number of tokens of a prompt.
    #[serde(rename = "prompt")]
    pub prompt_tokens: (u32, u32),
    /// The smallest and the largest number of tokens of an output.
    #[serde(rename = "answer")]
    pub output_tokens: (u32, u32),
}

/// Something that happens once.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ScenarioEvent {
    /// Seconds from the start of the load.
    #[serde(rename = "at")]
    pub at_seconds: f64,
    /// What happens.
    pub kind: EventKind,
    /// The number of a rack or a zone, or the replicas per second of a rolling restart.
    pub number: u32,
}

/// What may happen.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum EventKind {
    /// All replicas of a rack start draining.
    DrainRack,
    /// All replicas of a zone start draining.
    DrainZone,
    /// All replicas of a zone are back, warming up.
    #[serde(rename = "return_zone")]
    RestartZone,
    /// From now on, so many replicas per second drain for a second and come back warming up.
    #[serde(rename = "roll")]
    RollingRestart,
    /// Discovery sends the full list.
    #[serde(rename = "whole_list")]
    FullList,
}

/// What must hold at the end; counts and rules only, never times.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Expectations {
    /// At least this share of all requests is served to its end.
    #[serde(default, rename = "served")]
    pub min_served_share: f64,
}

/// Why a scenario cannot be used.
#[derive(Debug)]
pub enum ScenarioError {
    /// The file cannot be read.
    Read {
        /// The file.
        path: PathBuf,
        /// The system's error.
        source: std::io::Error,
    },
    /// The file is not a valid scenario.
    File {
        /// The file.
        path: PathBuf,
        /// What is wrong in it.
        source: Box<ScenarioError>,
    },
    /// The text is not TOML, or has other fields than a scenario.
    Syntax {
        /// The line, counted from 1.
        line: usize,
        /// The column in bytes, counted from 1.
        column: usize,
        /// The parser's error.
        source: toml::de::Error,
    },
    /// A share is not from 0 to 1.
    Share {
        /// The setting.
        name: &'static str,
        /// Its value.
        value: f64,
    },
    /// Another value is out of its range.
    Range(&'static str),
}

impl fmt::Display for ScenarioError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ScenarioError::Read { path, source } => {
                write!(formatter, "{}: {source}", path.display())
            }
            ScenarioError::File { path, source } => {
                write!(formatter, "{}:{source}", path.display())
            }
            ScenarioError::Syntax {
                line,
                column,
                source,
            } => write!(
                formatter,
                "{line}:{column}: {}",
                source.message().replace('\n', " ")
            ),
            ScenarioError::Share { name, value } => {
                write!(formatter, "1:1: {name} is a part from 0 to 1, not {value}")
            }
            ScenarioError::Range(reason) => write!(formatter, "1:1: {reason}"),
        }
    }
}

impl Error for ScenarioError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            ScenarioError::Read { source, .. } => Some(source),
            ScenarioError::File { source, .. } => Some(source.as_ref()),
            ScenarioError::Syntax { source, .. } => Some(source),
            ScenarioError::Share { .. } | ScenarioError::Range(_) => None,
        }
    }
}

impl Scenario {
    /// Reads a file.
    ///
    /// # Errors
    ///
    /// Fails if it cannot be read or is not valid; the error is one line with the file, the place and the reason.
    pub fn read(path: &Path) -> Result<Scenario, ScenarioError> {
        let text = std::fs::read_to_string(path).map_err(|source| ScenarioError::Read {
            path: path.to_owned(),
            source,
        })?;
        Scenario::parse(&text).map_err(|error| ScenarioError::File {
            path: path.to_owned(),
            source: Box::new(error),
        })
    }

    /// Parses a scenario.
    ///
    /// # Errors
    ///
    /// Fails if it is not valid; the error is one line with the place and the reason.
    pub fn parse(text: &str) -> Result<Scenario, ScenarioError> {
        let scenario: Scenario = toml::from_str(text).map_err(|error| syntax_error(text, error))?;
        scenario.check()?;
        Ok(scenario)
    }

    fn check(&self) -> Result<(), ScenarioError> {
        let shares = [
            ("fleet.readers", self.fleet.prefill_share),
            ("fleet.cold", self.fleet.warming_up_share),
            ("must.served", self.expectations.min_served_share),
        ];
        for (name, value) in shares {
            if !(0.0..=1.0).contains(&value) {
                return Err(ScenarioError::Share { name, value });
            }
        }
        let (min_rack, max_rack) = self.fleet.rack_size;
        let (min_prompt, max_prompt) = self.load.prompt_tokens;
        let (min_output, max_output) = self.load.output_tokens;
        let invalid_ranges = [
            (self.seconds == 0, "seconds must be over 0"),
            (self.fleet.replicas < 2, "fleet.replicas must be over 1"),
            (self.fleet.zones == 0, "fleet.zones must be over 0"),
            (
                min_rack == 0 || min_rack > max_rack,
                "fleet.rack is the fewest and the most",
            ),
            (
                self.dispatchers.real == 0,
                "dispatchers.real must be over 0",
            ),
            (
                self.load.rate_per_dispatcher <= 0.0,
                "load.per_dispatcher must be over 0",
            ),
            (
                min_prompt == 0 || min_prompt > max_prompt,
                "load.prompt is the fewest and the most",
            ),
            (
                min_output == 0 || min_output > max_output,
                "load.answer is the fewest and the most",
            ),
        ];
        for (is_invalid, reason) in invalid_ranges {
            if is_invalid {
                return Err(ScenarioError::Range(reason));
            }
        }
        Ok(())
    }
}

fn syntax_error(text: &str, source: toml::de::Error) -> ScenarioError {
    let start = source.span().map_or(0, |span| span.start).min(text.len());
    let before = &text[..start];
    let line_start = before.rfind('\n').map_or(0, |index| index + 1);
    ScenarioError::Syntax {
        line: before.matches('\n').count() + 1,
        column: start - line_start + 1,
        source,
    }
}
