//! Minimal HTTP/1.1 messages over blocking sockets.

use std::io::{self, Read, Write};
use std::net::TcpStream;
use std::time::Duration;

/// A request or response: the first line, the headers in lower case, and the body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Returns a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }

    /// Returns the status of a response.
    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    /// Returns the method, path and query of a request.
    pub fn target(&self) -> (String, String, String) {
        let mut words = self.start.split(' ');
        let method = words.next().unwrap_or_default().to_owned();
        let target = words.next().unwrap_or_default();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        (method, path.to_owned(), query.to_owned())
    }
}

/// A connection with the bytes that were read ahead.
#[derive(Debug)]
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        // A small message is sent at once; failing to set this only makes it slower.
        let _set = stream.set_nodelay(true);
        Self { stream, buffer: Vec::new() }
    }

    pub fn set_read_timeout(&self, limit: Option<Duration>) {
        self.stream.set_read_timeout(limit).expect("a socket takes a timeout");
    }

    /// Reads more bytes; `false` at the end of the connection.
    fn fill(&mut self) -> io::Result<bool> {
        let mut chunk = [0; 16 * 1024];
        let count = self.stream.read(&mut chunk)?;
        self.buffer.extend_from_slice(&chunk[..count]);
        Ok(count > 0)
    }

    fn line(&mut self) -> io::Result<Option<String>> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|w| w == b"\r\n") {
                let line = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 2);
                return Ok(Some(line));
            }
            if !self.fill()? {
                return Ok(None);
            }
        }
    }

    /// Reads a head; `None` if the connection ended.
    pub fn head(&mut self) -> io::Result<Option<Message>> {
        let Some(start) = self.line()? else { return Ok(None) };
        let mut message = Message { start, ..Message::default() };
        loop {
            match self.line()? {
                None => return Ok(None),
                Some(line) if line.is_empty() => return Ok(Some(message)),
                Some(line) => {
                    let (name, value) = line.split_once(':').unwrap_or((&line, ""));
                    message.headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
                }
            }
        }
    }

    /// Reads up to `count` bytes of a body; fewer only at the end of the connection.
    pub fn take(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < count {
            if !self.fill()? {
                break;
            }
        }
        let count = count.min(self.buffer.len());
        Ok(self.buffer.drain(..count).collect())
    }

    /// Reads a whole message; `None` if the connection ended before its end.
    pub fn message(&mut self) -> io::Result<Option<Message>> {
        let Some(mut message) = self.head()? else { return Ok(None) };
        if message.header("transfer-encoding").is_some_and(|v| v.contains("chunked")) {
            loop {
                let Some(line) = self.line()? else { return Ok(None) };
                let size = usize::from_str_radix(line.trim(), 16).map_err(io::Error::other)?;
                let part = self.take(size + 2)?;
                if part.len() < size + 2 {
                    return Ok(None);
                }
                message.body.extend_from_slice(&part[..size]);
                if size == 0 {
                    return Ok(Some(message));
                }
            }
        }
        let length = message.header("content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
        message.body = self.take(length)?;
        Ok((message.body.len() == length).then_some(message))
    }

    /// Writes a response with a length.
    pub fn respond(&mut self, status: u16, headers: &str, body: &[u8]) -> io::Result<()> {
        let head =
            format!("HTTP/1.1 {status} X\r\n{headers}Content-Length: {}\r\n\r\n", body.len());
        self.stream.write_all(&[head.as_bytes(), body].concat())
    }
}
