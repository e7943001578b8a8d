//! The configuration file of a dispatcher, and what the command line names beside it.

use super::validation;
use super::{ConfigError, Deployment, EndpointList, MachineLimits, SessionConfig, SettingsObject};
use miniserde::json::{self, Value};
use miniserde::Deserialize;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::path::Path;

/// Where the paths in errors begin.
const ROOT: &str = "the configuration";

/// The configuration file; the field names are the setting names.
#[derive(Deserialize, Clone)]
pub struct Config {
    /// The dispatcher's name.
    pub name: String,
    /// The address on which clients connect.
    pub listen: String,
    /// The address of the discovery agent.
    pub discovery: String,
    /// The address on which operators call; absent: nowhere.
    pub management: Option<String>,
    /// The seed of random numbers, in hexadecimal digits.
    pub seed: String,
    /// What the dispatcher may use.
    pub limits: MachineLimits,
    /// The address on which gossip from other dispatchers arrives.
    pub peer_listen: Option<String>,
    /// The gossip addresses of all dispatchers, by their indexes.
    pub peers: Option<Vec<String>>,
    /// The address that reaches all dispatchers at once.
    pub peers_all: Option<String>,
    /// The last known endpoint list.
    pub known: Option<EndpointList>,
    /// The settings object.
    pub settings: SettingsObject,
}

impl Config {
    /// Reads a configuration.
    ///
    /// # Errors
    ///
    /// The text isn't the expected JSON object, or a setting has an impossible value; the error names the first one.
    pub fn parse(text: &str) -> Result<Config, ConfigError> {
        let config: Config = json::from_str(text).map_err(|_| ConfigError::NotJsonObject)?;
        let value: Value = json::from_str(text).map_err(|_| ConfigError::NotJsonObject)?;
        validation::check_values(ROOT, &value)?;
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

    /// Reads a configuration that is to replace the running one, as a whole or not at all.
    ///
    /// # Errors
    ///
    /// Those of [`Config::parse`], and a setting that the running configuration has and the new one lacks.
    pub fn parse_next(running: &str, text: &str) -> Result<Config, ConfigError> {
        let config = Config::parse(text)?;
        let running: Value = json::from_str(running).map_err(|_| ConfigError::NotJson)?;
        let new: Value = json::from_str(text).map_err(|_| ConfigError::NotJson)?;
        validation::check_complete(ROOT, &running, &new)?;
        Ok(config)
    }
}

/// The files that the command line names, read and validated.
pub struct LoadedConfig {
    /// The text of the configuration file.
    pub text: String,
    /// The configuration file.
    pub config: Config,
    /// Its settings, resolved.
    pub deployment: Deployment,
    /// The session file; sessions are off without one.
    pub sessions: SessionConfig,
}

impl LoadedConfig {
    /// Reads the configuration file and, where it is named, the session file.
    ///
    /// # Errors
    ///
    /// A file can't be read, or what it says is invalid.
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
