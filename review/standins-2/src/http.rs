//! A small HTTP/1.1 server and client, one thread for each connection.

use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

#[derive(Debug, Clone)]
pub struct Message {
    /// First line.
    pub start: String,
    /// Headers by name in lower case.
    pub headers: BTreeMap<String, String>,
    pub body: String,
}

impl Message {
    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or_default()
    }

    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or_default()
    }

    /// Returns a decoded parameter of the query.
    pub fn query(&self, name: &str) -> Option<String> {
        let (_, query) = self.target().split_once('?')?;
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let (_, value) = pairs.into_iter().find(|(key, _)| *key == name)?;
        Some(percent_decode(value))
    }

    pub fn status(&self) -> u16 {
        let status = self.start.split(' ').nth(1);
        status.and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = (bytes[at] == b'%').then(|| text.get(at + 1..at + 3)).flatten();
        match hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(byte) => {
                decoded.push(byte);
                at += 3;
            }
            None => {
                decoded.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// Reads a message; `None` if the connection ends before its end.
pub fn read_message(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<Option<Message>> {
    let mut chunk = [0; 16_384];
    let head_end = loop {
        if let Some(at) = buffer.windows(4).position(|window| window == b"\r\n\r\n") {
            break at;
        }
        match stream.read(&mut chunk)? {
            0 => return Ok(None),
            count => buffer.extend_from_slice(&chunk[..count]),
        }
    };
    let head = String::from_utf8_lossy(&buffer[..head_end]).into_owned();
    let mut lines = head.split("\r\n");
    let start = lines.next().unwrap_or_default().to_owned();
    let headers: BTreeMap<String, String> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.trim().to_lowercase(), value.trim().to_owned()))
        .collect();
    let length = headers.get("content-length");
    let length: usize = length.and_then(|text| text.parse().ok()).unwrap_or(0);
    let total = head_end + 4 + length;
    while buffer.len() < total {
        match stream.read(&mut chunk)? {
            0 => return Ok(None),
            count => buffer.extend_from_slice(&chunk[..count]),
        }
    }
    let body = String::from_utf8_lossy(&buffer[head_end + 4..total]).into_owned();
    buffer.drain(..total);
    Ok(Some(Message {
        start,
        headers,
        body,
    }))
}

pub enum Reply {
    Answer(u16, String),
    /// The connection stays open and gets no answer.
    Silence,
}

pub type Handler = Arc<dyn Fn(&Message) -> Reply + Send + Sync>;

/// A listening port and its connections.
pub struct Server {
    pub address: SocketAddr,
    is_up: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    pub fn start(address: SocketAddr, handler: Handler) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let server = Self {
            address: listener.local_addr()?,
            is_up: Arc::new(AtomicBool::new(true)),
            streams: Arc::default(),
        };
        let (is_up, streams) = (Arc::clone(&server.is_up), Arc::clone(&server.streams));
        thread::spawn(move || {
            while is_up.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        let _ = stream.set_nodelay(true);
                        if let Ok(clone) = stream.try_clone() {
                            streams.lock().unwrap().push(clone);
                        }
                        let handler = Arc::clone(&handler);
                        thread::spawn(move || serve(stream, &handler));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(1)),
                }
            }
        });
        Ok(server)
    }

    pub fn reset_connections(&self) {
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Closes the port and all connections, as when the process ends.
    pub fn close(&self) {
        self.is_up.store(false, Ordering::SeqCst);
        self.reset_connections();
        // The accepting thread drops the listener.
        thread::sleep(Duration::from_millis(5));
    }
}

fn serve(mut stream: TcpStream, handler: &Handler) {
    let mut buffer = Vec::new();
    while let Ok(Some(request)) = read_message(&mut stream, &mut buffer) {
        match handler(&request) {
            Reply::Answer(status, body) => {
                let text = format!(
                    "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\n\
                     content-length: {}\r\n\r\n{body}",
                    body.len()
                );
                if stream.write_all(text.as_bytes()).is_err() {
                    return;
                }
            }
            Reply::Silence => {
                // Until the peer closes the connection.
                let mut rest = [0; 256];
                while matches!(stream.read(&mut rest), Ok(count) if count > 0) {}
                return;
            }
        }
    }
}

/// Encodes a request.
pub fn request(method: &str, path: &str, host: &str, headers: &[(&str, &str)], body: &str) -> String {
    let more: String = headers
        .iter()
        .map(|(name, value)| format!("{name}: {value}\r\n"))
        .collect();
    format!(
        "{method} {path} HTTP/1.1\r\nhost: {host}\r\ncontent-type: application/json\r\n{more}\
         content-length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Sends a request on a new connection and waits for the response.
pub fn call(address: SocketAddr, text: &str, limit: Duration) -> io::Result<Message> {
    let until = Instant::now() + limit;
    let mut stream = TcpStream::connect_timeout(&address, limit)?;
    stream.set_nodelay(true)?;
    stream.write_all(text.as_bytes())?;
    let left = until.saturating_duration_since(Instant::now());
    stream.set_read_timeout(Some(left.max(Duration::from_millis(1))))?;
    let message = read_message(&mut stream, &mut Vec::new())?;
    message.ok_or_else(|| io::Error::from(io::ErrorKind::ConnectionReset))
}

/// Forwards one connection to a server until it is reset.
pub struct Relay {
    pub address: SocketAddr,
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl Relay {
    pub fn start(address: SocketAddr, server: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let relay = Self {
            address: listener.local_addr()?,
            streams: Arc::default(),
        };
        let streams = Arc::clone(&relay.streams);
        thread::spawn(move || -> io::Result<()> {
            let (near, _) = listener.accept()?;
            let far = TcpStream::connect(server)?;
            let mut streams = streams.lock().unwrap();
            for (mut from, mut to) in [
                (near.try_clone()?, far.try_clone()?),
                (far.try_clone()?, near.try_clone()?),
            ] {
                thread::spawn(move || {
                    let _ = io::copy(&mut from, &mut to);
                    let _ = to.shutdown(Shutdown::Both);
                });
            }
            streams.extend([near, far]);
            Ok(())
        });
        Ok(relay)
    }

    /// Breaks the connection on both sides.
    pub fn reset(&self) {
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}
