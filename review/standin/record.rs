//! The record: one line for each thing that was sent, answered or run, with the milliseconds since the start.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::sync::{Mutex, OnceLock};
use std::time::Instant;

static START: OnceLock<Instant> = OnceLock::new();
static FILE: Mutex<Option<BufWriter<File>>> = Mutex::new(None);

pub fn open() {
    START.get_or_init(Instant::now);
    if let Ok(path) = std::env::var("RECORD") {
        *FILE.lock().unwrap() = File::create(path).ok().map(BufWriter::new);
    }
}

pub fn millis() -> f64 {
    START.get_or_init(Instant::now).elapsed().as_secs_f64() * 1000.0
}

pub fn line(text: &str) {
    let text = format!("{:10.1} {text}\n", millis());
    let mut file = FILE.lock().unwrap();
    match file.as_mut() {
        Some(file) => drop(file.write_all(text.as_bytes())),
        None => print!("{text}"),
    }
    if text.contains("RESULT") || text.contains("BROKEN") {
        print!("{text}");
    }
}

pub fn close() {
    if let Some(file) = FILE.lock().unwrap().as_mut() {
        let _ = file.flush();
    }
}
