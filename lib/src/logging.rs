//! Logs: one line of key=value pairs an event.

use std::fmt;
use std::fmt::Write as _;
use std::io;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use slog::Drain;
use slog::KV as _;
use slog::Key;
use slog::Logger;
use slog::OwnedKVList;
use slog::Record;
use slog::Serializer;

/// Lines that wait for a slow standard error; more are counted and dropped.
const CHANNEL: usize = 8192;

struct Pairs {
    line: String,
}

impl Serializer for Pairs {
    fn emit_arguments(&mut self, key: Key, val: &fmt::Arguments<'_>) -> slog::Result {
        push_pair(&mut self.line, key, &val.to_string());
        Ok(())
    }
}

fn push_pair(line: &mut String, key: &str, value: &str) {
    line.push(' ');
    line.push_str(key);
    line.push('=');
    let plain = |c: char| !c.is_whitespace() && !c.is_control() && c != '"' && c != '=';
    if !value.is_empty() && value.chars().all(plain) {
        line.push_str(value);
    } else {
        // Quoted and escaped, so that a caller's text cannot start a line of its own.
        let _infallible = write!(line, "{value:?}");
    }
}

struct LineDrain<W> {
    writer: Mutex<W>,
}

impl<W: io::Write> Drain for LineDrain<W> {
    type Ok = ();
    type Err = io::Error;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> io::Result<()> {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let mut pairs =
            Pairs { line: format!("ts={}.{:03}", since.as_secs(), since.subsec_millis()) };
        push_pair(&mut pairs.line, "level", record.level().as_short_str());
        push_pair(&mut pairs.line, "event", &record.msg().to_string());
        // The line's own pairs come last in the list and are the most telling.
        record.kv().serialize(record, &mut pairs).map_err(io::Error::other)?;
        values.serialize(record, &mut pairs).map_err(io::Error::other)?;
        pairs.line.push('\n');
        let mut writer = self.writer.lock().unwrap_or_else(PoisonError::into_inner);
        writer.write_all(pairs.line.as_bytes())
    }
}

/// Creates a logger that writes lines to standard error without holding up its caller.
pub fn to_stderr() -> Logger {
    let drain = LineDrain { writer: Mutex::new(io::stderr()) };
    let drain = slog_async::Async::new(drain.ignore_res()).chan_size(CHANNEL).build();
    Logger::root(drain.ignore_res(), slog::o!())
}

/// Creates a logger that drops everything.
pub fn to_nowhere() -> Logger {
    Logger::root(slog::Discard, slog::o!())
}
