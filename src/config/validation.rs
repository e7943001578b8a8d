//! Validation of a configuration as JSON. [`check_values`] finds numbers out of range; [`check_complete`] finds
//! settings of the running configuration that a new one lacks. Pure.

use super::ConfigError;
use miniserde::json::{Number, Value};

/// Keys that a new configuration may lack although the running one has them. The endpoint list is only used at startup,
/// and `aim_stretch` is optional in a class.
const OPTIONAL_KEYS: [&str; 2] = ["known", "aim_stretch"];
/// Keys whose numbers must be positive in any object: with 0, no request could be served.
const POSITIVE_KEYS: [&str; 4] = ["aim", "deadline", "most_tries", "tick"];
/// Keys whose numbers must be integers.
const COUNT_KEYS: [&str; 2] = ["most_tries", "balancers"];

fn type_name(value: &Value) -> &'static str {
    match value {
        Value::Null => "null",
        Value::Bool(_) => "a truth value",
        Value::Number(_) => "a number",
        Value::String(_) => "text",
        Value::Array(_) => "a list",
        Value::Object(_) => "an object",
    }
}

/// Converts a JSON number of any representation.
pub fn number_value(number: &Number) -> f64 {
    match number {
        Number::U64(number) => *number as f64,
        Number::I64(number) => *number as f64,
        Number::F64(number) => *number,
    }
}

fn check_number(path: &str, value: f64) -> Result<(), ConfigError> {
    let key = path.rsplit('.').next().unwrap_or(path);
    let path = path.to_owned();
    if !value.is_finite() || value < 0.0 {
        return Err(ConfigError::NegativeNumber { path });
    }
    if POSITIVE_KEYS.contains(&key) && value <= 0.0 {
        return Err(ConfigError::NotPositive { path });
    }
    if COUNT_KEYS.contains(&key) && value.fract() != 0.0 {
        return Err(ConfigError::NotWhole { path });
    }
    Ok(())
}

/// Checks every number in `value`. `path` is its path in the configuration, for errors.
///
/// # Errors
///
/// A number is out of range; the error names the first one.
pub fn check_values(path: &str, value: &Value) -> Result<(), ConfigError> {
    match value {
        Value::Number(number) => check_number(path, number_value(number))?,
        Value::Array(elements) => {
            for (index, element) in elements.iter().enumerate() {
                check_values(&format!("{path}[{index}]"), element)?;
            }
        }
        Value::Object(object) => {
            for (key, member) in object {
                check_values(&format!("{path}.{key}"), member)?;
            }
        }
        Value::Null | Value::Bool(_) | Value::String(_) => {}
    }
    Ok(())
}

/// Checks that the new value has all settings of the running one, with the same types. Lists may differ in length. Each
/// element of a new list must have the settings that all elements of the running list have in common.
///
/// # Errors
///
/// A setting is missing or has another type; the error names the first one.
pub fn check_complete(path: &str, running: &Value, new: &Value) -> Result<(), ConfigError> {
    match (running, new) {
        (Value::Object(running), Value::Object(new)) => {
            for (key, running) in running {
                if OPTIONAL_KEYS.contains(&key.as_str()) {
                    continue;
                }
                let path = format!("{path}.{key}");
                let Some(new) = new.get(key) else {
                    return Err(ConfigError::MissingSetting { path });
                };
                check_complete(&path, running, new)?;
            }
            Ok(())
        }
        (Value::Array(running), Value::Array(new)) => {
            let Some(common) = running.iter().cloned().reduce(common_settings) else {
                return Ok(());
            };
            for (index, new) in new.iter().enumerate() {
                check_complete(&format!("{path}[{index}]"), &common, new)?;
            }
            Ok(())
        }
        // The running value is null, so the new one may have any type.
        (Value::Null, _) => Ok(()),
        (running, new) if type_name(running) == type_name(new) => Ok(()),
        (running, _) => Err(ConfigError::WrongType {
            path: path.to_owned(),
            expected: type_name(running),
        }),
    }
}

/// Returns the settings that two values have in common; null where their types differ.
fn common_settings(first: Value, second: Value) -> Value {
    match (first, second) {
        (Value::Object(first), Value::Object(second)) => {
            let common = first.into_iter().filter_map(|(key, value)| {
                let other = second.get(&key)?.clone();
                Some((key, common_settings(value, other)))
            });
            Value::Object(common.collect())
        }
        (first, second) if type_name(&first) == type_name(&second) => first,
        _ => Value::Null,
    }
}

#[cfg(test)]
#[path = "../../tests/unit/config/validation.rs"]
mod tests;
