//! The configuration file of a dispatcher, and the loading of the files that the command line names.

use super::validation;
use super::{ConfigError, Deployment, EndpointList, MachineLimits, SessionConfig, SettingsObject};
use miniserde::json::{self, Value};
use miniserde::Deserialize;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::path::Path;

/// The prefix of setting paths in errors.
const ROOT_PATH: &str = "the configuration";

/// The configuration file; the field names are the setting names.
#[derive(Deserialize, Clone)]
pub struct Config {
    /// The dispatcher's name.
    pub name: String,
    /// The address on which HTTP clients connect.
    pub listen: String,
    /// The IP address and port of the discovery service, or of its agent on this machine.
    pub discovery: String,
    /// The address of the management interface for operators; `None`: off.
    pub management: Option<String>,
    /// The seed of the random number generators, in hexadecimal digits.
    pub seed: String,
    /// The memory and file descriptors that the dispatcher may use.
    pub limits: MachineLimits,
    /// The address on which gossip from other dispatchers arrives; `None`: gossip is off.
    pub peer_listen: Option<String>,
    /// The gossip addresses of all dispatchers, indexed like `settings.me`.
    pub peers: Option<Vec<String>>,
    /// The broadcast address for gossip to all dispatchers.
    pub peers_all: Option<String>,
    /// The last known endpoint list, with which the dispatcher starts before discovery answers.
    pub known: Option<EndpointList>,
    /// The settings object, not yet resolved: see [`Deployment`].
    pub settings: SettingsObject,
}

impl Config {
    /// Parses and validates a configuration.
    ///
    /// # Errors
    ///
    /// The text isn't the expected JSON object, or a setting has an invalid value. The error names the first such
    /// setting.
    pub fn parse(text: &str) -> Result<Config, ConfigError> {
        let config: Config = json::from_str(text).map_err(|_| ConfigError::NotJsonObject)?;
        let value: Value = json::from_str(text).map_err(|_| ConfigError::NotJsonObject)?;
        validation::check_values(ROOT_PATH, &value)?;
        config.check_settings()?;
        if let Err(source) = config.discovery.parse::<SocketAddr>() {
            return Err(ConfigError::InvalidDiscoveryAddress {
                address: config.discovery,
                source,
            });
        }
        Ok(config)
    }

    fn check_settings(&self) -> Result<(), ConfigError> {
        let classes = self.settings.classes.as_deref().unwrap_or_default();
        if classes.is_empty() || classes.iter().any(|class| class.aim.is_none()) {
            return Err(ConfigError::MissingClassObjective);
        }
        let limits = self.settings.limits.as_ref();
        if limits.is_none_or(|limits| limits.most_tries.is_none()) {
            return Err(ConfigError::MissingMaxAttempts);
        }
        let names: HashSet<&String> = classes.iter().map(|class| &class.name).collect();
        if names.len() < classes.len() {
            return Err(ConfigError::DuplicateClass);
        }
        Ok(())
    }

    /// Parses a configuration that is to replace the running one, whose text is `running`.
    ///
    /// # Errors
    ///
    /// Those of [`Config::parse`], and those of [`validation::check_complete`]: the new configuration lacks a setting
    /// of the running one, or has a value of another type.
    pub fn parse_next(running: &str, text: &str) -> Result<Config, ConfigError> {
        let config = Config::parse(text)?;
        let running: Value = json::from_str(running).map_err(|_| ConfigError::NotJson)?;
        let new: Value = json::from_str(text).map_err(|_| ConfigError::NotJson)?;
        validation::check_complete(ROOT_PATH, &running, &new)?;
        Ok(config)
    }
}

/// The configuration file and the session file, parsed and validated.
pub struct LoadedConfig {
    /// The text of the configuration file, with which a reload compares its new text.
    pub text: String,
    /// The parsed configuration file.
    pub config: Config,
    /// The settings of `config`, resolved.
    pub deployment: Deployment,
    /// The session file's settings, or their defaults without a session file: sessions are off.
    pub sessions: SessionConfig,
}

impl LoadedConfig {
    /// Reads the configuration file and, if a path is given, the session file.
    ///
    /// # Errors
    ///
    /// A file can't be read, or its content is invalid.
    pub fn read(config: &Path, sessions: Option<&Path>) -> Result<LoadedConfig, ConfigError> {
        let text = read_file(config)?;
        let config = Config::parse(&text)?;
        let deployment = Deployment::new(&config.settings)?;
        let sessions = match sessions {
            Some(path) => SessionConfig::parse(&read_file(path)?)?,
            None => SessionConfig::parse("{}")?,
        };
        Ok(LoadedConfig {
            text,
            config,
            deployment,
            sessions,
        })
    }
}

fn read_file(path: &Path) -> Result<String, ConfigError> {
    std::fs::read_to_string(path).map_err(|source| ConfigError::ReadFile {
        path: path.to_owned(),
        source,
    })
}
