//! Whether a new configuration is whole: nothing of one that is not is taken. Pure.

use miniserde::json::{Number, Value};

/// Keys that may be absent though the running configuration has them: the list of members is only for the start, and
/// not each class need stretch its aim.
const MAY_LACK: [&str; 2] = ["known", "aim_stretch"];
/// Numbers that must be positive, wherever they stand: with none of it nothing could be served.
const POSITIVE: [&str; 4] = ["aim", "deadline", "most_tries", "tick"];
/// Numbers that are counts.
const COUNTS: [&str; 2] = ["most_tries", "balancers"];

fn kind(value: &Value) -> &'static str {
    match value {
        Value::Null => "null",
        Value::Bool(_) => "a truth value",
        Value::Number(_) => "a number",
        Value::String(_) => "text",
        Value::Array(_) => "a list",
        Value::Object(_) => "an object",
    }
}

/// A JSON number's value.
pub fn number(number: &Number) -> f64 {
    match number {
        Number::U64(number) => *number as f64,
        Number::I64(number) => *number as f64,
        Number::F64(number) => *number,
    }
}

fn check_number(path: &str, key: &str, value: f64) -> Result<(), String> {
    if !value.is_finite() || value < 0.0 {
        return Err(format!("{path} is no number from 0 on"));
    }
    if POSITIVE.contains(&key) && value <= 0.0 {
        return Err(format!("{path} is not positive"));
    }
    if COUNTS.contains(&key) && value.fract() != 0.0 {
        return Err(format!("{path} is no whole number"));
    }
    Ok(())
}

/// Numbers that make no sense; the error names the first one.
pub fn check_values(path: &str, value: &Value) -> Result<(), String> {
    let key = path.rsplit('.').next().unwrap_or(path);
    match value {
        Value::Number(it) => check_number(path, key, number(it)),
        Value::Array(list) => list
            .iter()
            .enumerate()
            .try_for_each(|(at, it)| check_values(&format!("{path}[{at}]"), it)),
        Value::Object(object) => object
            .iter()
            .try_for_each(|(key, it)| check_values(&format!("{path}.{key}"), it)),
        Value::Null | Value::Bool(_) | Value::String(_) => Ok(()),
    }
}

/// Whether the new value has all that the running one has, of the same types; the error names the first lack. Lists
/// may have other lengths, but what all of the running one's members have, each of the new one's must.
pub fn complete(path: &str, running: &Value, new: &Value) -> Result<(), String> {
    match (running, new) {
        (Value::Object(running), Value::Object(new)) => {
            for (key, running) in running
                .iter()
                .filter(|(key, _)| !MAY_LACK.contains(&key.as_str()))
            {
                let path = format!("{path}.{key}");
                let new = new.get(key).ok_or_else(|| format!("{path} is missing"))?;
                complete(&path, running, new)?;
            }
            Ok(())
        }
        (Value::Array(running), Value::Array(new)) => {
            let Some(common) = running.iter().cloned().reduce(common) else {
                return Ok(());
            };
            let path = |at| format!("{path}[{at}]");
            new.iter()
                .enumerate()
                .try_for_each(|(at, new)| complete(&path(at), &common, new))
        }
        // Nothing stood there.
        (Value::Null, _) => Ok(()),
        (running, new) if kind(running) == kind(new) => Ok(()),
        (running, _) => Err(format!("{path} is not {}", kind(running))),
    }
}

/// What two values have in common: the keys of both.
fn common(one: Value, other: Value) -> Value {
    match (one, other) {
        (Value::Object(one), Value::Object(other)) => {
            let keys = one.into_iter().filter_map(|(key, one)| {
                let other = other.get(&key)?.clone();
                Some((key, common(one, other)))
            });
            Value::Object(keys.collect())
        }
        (one, other) if kind(&one) == kind(&other) => one,
        _ => Value::Null,
    }
}

#[cfg(test)]
#[path = "../../tests/unit/config/validation.rs"]
mod tests;
