//! Scenario files in TOML: the fleet, the load, scheduled events, and the expectations at the end.
//!
//! A scenario is checked when it is parsed, so every [`Scenario`] from a file is valid. The keys of the files must not
//! change; a field whose name in the code differs has a `serde` rename.

use crate::fleet::FleetShape;
use serde::Deserialize;
use std::error::Error;
use std::fmt;
use std::path::{Path, PathBuf};

/// A scenario file: the simulated fleet, the dispatchers and their load, and the conditions that must hold at the end.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// The name of the scenario in log lines, results and errors.
    pub name: String,
    /// Duration of the load, in seconds.
    pub seconds: u64,
    /// The simulated replicas.
    pub fleet: FleetConfig,
    /// The real and the simulated dispatchers.
    pub dispatchers: DispatcherConfig,
    /// The load on the real dispatchers.
    pub load: LoadConfig,
    /// Events during the load, in any order.
    #[serde(default, rename = "event")]
    pub events: Vec<ScenarioEvent>,
    /// Conditions that must hold at the end.
    #[serde(default, rename = "must")]
    pub expectations: Expectations,
}

/// The `[fleet]` section: the simulated replicas.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetConfig {
    /// Number of replicas, prefill and decode together.
    pub replicas: usize,
    /// Number of zones, numbered from 0.
    pub zones: u32,
    /// The smallest and the largest number of replicas in a rack.
    #[serde(rename = "rack")]
    pub rack_size: (usize, usize),
    /// Share of the replicas that prefill, from 0 to 1.
    #[serde(rename = "readers")]
    pub prefill_share: f64,
    /// Share of the replicas that are warming up at the start of the run, from 0 to 1.
    #[serde(default, rename = "cold")]
    pub warming_up_share: f64,
}

impl FleetConfig {
    /// Returns the parameters that the fleet is drawn from.
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

/// The `[dispatchers]` section.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DispatcherConfig {
    /// Number of real dispatchers: processes of the dispatcher program, each under load.
    pub real: usize,
    /// Number of simulated dispatchers: tasks of the bench that poll discovery and send gossip to the real dispatchers.
    #[serde(default, rename = "hollow")]
    pub simulated: usize,
    /// Number of dispatchers in the fleet, as given in the settings of each of them.
    #[serde(rename = "told")]
    pub configured: u32,
    /// Maximum number of sockets of a real dispatcher.
    #[serde(rename = "sockets")]
    pub max_sockets: u64,
}

/// The `[load]` section.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadConfig {
    /// Requests per second sent to each real dispatcher.
    #[serde(rename = "per_dispatcher")]
    pub rate_per_dispatcher: f64,
    /// The smallest and the largest number of tokens in a prompt.
    #[serde(rename = "prompt")]
    pub prompt_tokens: (u32, u32),
    /// The smallest and the largest number of tokens in an output.
    #[serde(rename = "answer")]
    pub output_tokens: (u32, u32),
}

/// An `[[event]]` section: something that happens to the fleet or to discovery, once, during the load.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ScenarioEvent {
    /// Time from the start of the load, in seconds; a negative value counts as 0.
    #[serde(rename = "at")]
    pub at_seconds: f64,
    /// What happens.
    pub kind: EventKind,
    /// The number of a rack or zone, or the replicas per second of a rolling restart; required but unused for a full list.
    pub number: u32,
}

/// The kinds of events that a scenario can schedule.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum EventKind {
    /// All replicas of a rack start draining.
    DrainRack,
    /// All replicas of a zone start draining.
    DrainZone,
    /// All replicas of a zone restart: they are ready and warming up.
    #[serde(rename = "return_zone")]
    RestartZone,
    /// From this time on, a number of replicas per second drain for a second, then restart and warm up.
    #[serde(rename = "roll")]
    RollingRestart,
    /// Discovery sends the full endpoint list.
    #[serde(rename = "whole_list")]
    FullList,
}

/// The `[must]` section: conditions at the end of the run. These are counts and rules, never times, because times
/// depend on the machine.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Expectations {
    /// Minimum share of the sent requests whose stream is received to its end, from 0 to 1.
    #[serde(default, rename = "served")]
    pub min_served_share: f64,
}

/// A reason for which a scenario cannot be used.
#[derive(Debug)]
pub enum ScenarioError {
    /// The file cannot be read.
    Read {
        /// Path of the file.
        path: PathBuf,
        /// The system's error.
        source: std::io::Error,
    },
    /// The file is not a valid scenario.
    File {
        /// Path of the file.
        path: PathBuf,
        /// Why the content of the file is not valid.
        source: Box<ScenarioError>,
    },
    /// The text is not TOML, or a key or value is not one of a scenario.
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
        /// The section and key of the share.
        name: &'static str,
        /// The value in the file.
        value: f64,
    },
    /// Another setting is out of its range; the text names the setting and its range.
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
                write!(
                    formatter,
                    "1:1: {name} must be a share from 0 to 1, not {value}"
                )
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
    /// Reads and checks a scenario file.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read or is not valid; the error is one line with path, position and reason.
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

    /// Parses and checks a scenario.
    ///
    /// # Errors
    ///
    /// Fails if the scenario is not valid; the error is one line with the position and the reason. The position of a
    /// value out of its range is always 1:1.
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
                "fleet.rack must be [minimum, maximum] with 0 < minimum <= maximum",
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
                "load.prompt must be [minimum, maximum] with 0 < minimum <= maximum",
            ),
            (
                min_output == 0 || min_output > max_output,
                "load.answer must be [minimum, maximum] with 0 < minimum <= maximum",
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

/// Converts a parser's error; its position is that of the error's start, or 1:1 if the parser gives none.
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
