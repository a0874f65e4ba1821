//! Reads and writes the server-sent events of a streamed completion.

use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;

use crate::backend_client::Failure;
use crate::backend_client::FailureKind;

/// Data of the event that marks a complete stream.
const DONE: &str = "[DONE]";
/// Maximum length of an event line in bytes.
const MAX_LINE: u64 = 1024 * 1024;

/// One event of a stream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StreamEvent {
    /// A chunk with output, as JSON text.
    Chunk(String),
    /// The end marker: the stream is complete.
    Done,
}

/// Reads events. A stream is complete only if its end marker arrived.
pub struct StreamReader {
    reader: BufReader<Box<dyn Read + Send>>,
}

impl std::fmt::Debug for StreamReader {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("StreamReader").finish_non_exhaustive()
    }
}

impl StreamReader {
    /// Creates a reader of a response body.
    pub fn new(body: Box<dyn Read + Send>) -> Self {
        Self { reader: BufReader::new(body) }
    }

    /// Returns the next event.
    ///
    /// # Errors
    ///
    /// No bytes were received within the read timeout, the stream ended before its end marker, or
    /// it carried an error object.
    pub fn next_event(&mut self) -> Result<StreamEvent, Failure> {
        loop {
            let mut line = String::new();
            let read = (&mut self.reader).take(MAX_LINE).read_line(&mut line);
            match read {
                Ok(0) => {
                    let detail = "the stream ended without its end marker";
                    return Err(Failure::may_have_run(FailureKind::Truncated, detail));
                }
                Ok(_) => {}
                Err(error) => return Err(Failure::from_read_error(&error)),
            }
            if let Some(data) = line.trim_end().strip_prefix("data:") {
                return read_data(data.trim_start());
            }
        }
    }
}

fn read_data(data: &str) -> Result<StreamEvent, Failure> {
    if data == DONE {
        return Ok(StreamEvent::Done);
    }
    // Engines may end an accepted stream with only an error object. Treated as a chunk, it would
    // look like an empty response.
    if data.contains("\"error\"") && is_error(data) {
        return Err(Failure::may_have_run(FailureKind::ServerError, data));
    }
    Ok(StreamEvent::Chunk(data.to_owned()))
}

fn is_error(data: &str) -> bool {
    let Ok(value) = serde_json::from_str::<serde_json::Value>(data) else {
        return false;
    };
    let finish = value.pointer("/choices/0/finish_reason").and_then(|f| f.as_str());
    (value.get("error").is_some_and(|e| !e.is_null()) && value.get("choices").is_none())
        || finish == Some("error")
}

/// Writes a chunked `text/event-stream` response and flushes after each event.
pub struct StreamWriter {
    writer: Box<dyn Write + Send>,
}

impl std::fmt::Debug for StreamWriter {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("StreamWriter").finish_non_exhaustive()
    }
}

impl StreamWriter {
    /// Writes the head of the response. `headers` are complete header lines without line ends.
    ///
    /// # Errors
    ///
    /// The caller disconnected or stopped reading.
    pub fn start(mut writer: Box<dyn Write + Send>, headers: &[String]) -> io::Result<Self> {
        let mut head = String::from(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nCache-Control: no-cache\r\n\
             Transfer-Encoding: chunked\r\nConnection: close\r\n",
        );
        for line in headers {
            head.push_str(line);
            head.push_str("\r\n");
        }
        head.push_str("\r\n");
        writer.write_all(head.as_bytes())?;
        writer.flush()?;
        Ok(Self { writer })
    }

    /// Writes one event.
    ///
    /// # Errors
    ///
    /// The caller disconnected or stopped reading.
    pub fn write_event(&mut self, data: &str) -> io::Result<()> {
        // Six bytes of "data: " and two line feeds.
        let length = data.len() + 8;
        let chunk = format!("{length:x}\r\ndata: {data}\n\n\r\n");
        self.writer.write_all(chunk.as_bytes())?;
        self.writer.flush()
    }

    /// Writes the end marker of a complete stream and ends the response.
    ///
    /// # Errors
    ///
    /// The caller disconnected or stopped reading.
    pub fn finish(mut self) -> io::Result<()> {
        self.write_event(DONE)?;
        self.close()
    }

    /// Ends the response without an end marker, after an error event.
    ///
    /// # Errors
    ///
    /// The caller disconnected or stopped reading.
    pub fn close(mut self) -> io::Result<()> {
        self.writer.write_all(b"0\r\n\r\n")?;
        self.writer.flush()
    }
}
