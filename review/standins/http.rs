//! HTTP/1.1 over blocking sockets: a server with a thread for each connection, and a client.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

#[derive(Debug, Clone)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }

    pub fn query(&self, name: &str) -> String {
        for pair in self.query.split('&') {
            if let Some((key, value)) = pair.split_once('=')
                && key == name
            {
                return decode(value);
            }
        }
        String::new()
    }
}

pub struct Response {
    pub status: u16,
    pub body: Vec<u8>,
}

/// What a server does with a request.
pub enum Reply {
    Answer(Response),
    /// The connection stays open, and nothing more is read or written.
    Silence,
}

pub fn json(status: u16, body: &crate::kit::json::Json) -> Reply {
    Reply::Answer(Response {
        status,
        body: body.write().into_bytes(),
    })
}

fn decode(value: &str) -> String {
    let bytes = value.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let code = (bytes[at] == b'%')
            .then(|| value.get(at + 1..at + 3))
            .flatten();
        match code.and_then(|code| u8::from_str_radix(code, 16).ok()) {
            Some(byte) => {
                out.push(byte);
                at += 3;
            }
            None => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Splits a complete message off the buffer: first line, headers and body.
fn take_message(buffer: &mut Vec<u8>) -> Option<(String, Vec<(String, String)>, Vec<u8>)> {
    let end = buffer.windows(4).position(|at| at == b"\r\n\r\n")?;
    let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
    let mut lines = head.split("\r\n");
    let first = lines.next()?.to_owned();
    let headers: Vec<(String, String)> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(key, value)| (key.trim().to_ascii_lowercase(), value.trim().to_owned()))
        .collect();
    let length = headers
        .iter()
        .find(|(key, _)| key == "content-length")
        .map_or(0, |(_, value)| value.parse().unwrap_or(0));
    let whole = end + 4 + length;
    if buffer.len() < whole {
        return None;
    }
    let body = buffer[end + 4..whole].to_vec();
    buffer.drain(..whole);
    Some((first, headers, body))
}

/// Serves requests on a free loopback port; `handler` runs in the thread of the connection.
pub fn serve<H>(handler: H) -> SocketAddr
where
    H: Fn(&Request, Instant) -> Reply + Send + Sync + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            thread::spawn(move || serve_connection(stream, &*handler));
        }
    });
    address
}

fn serve_connection<H>(mut stream: TcpStream, handler: &H)
where
    H: Fn(&Request, Instant) -> Reply,
{
    let accepted = Instant::now();
    let _ = stream.set_nodelay(true);
    let mut buffer = Vec::new();
    let mut chunk = [0; 16 * 1024];
    loop {
        while let Some((first, headers, body)) = take_message(&mut buffer) {
            let mut words = first.split(' ');
            let method = words.next().unwrap_or_default().to_owned();
            let target = words.next().unwrap_or_default();
            let (path, query) = target.split_once('?').unwrap_or((target, ""));
            let request = Request {
                method,
                path: path.to_owned(),
                query: query.to_owned(),
                headers,
                body,
            };
            match handler(&request, accepted) {
                Reply::Answer(response) => {
                    let head = format!(
                        "HTTP/1.1 {} X\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
                        response.status,
                        response.body.len()
                    );
                    let mut bytes = head.into_bytes();
                    bytes.extend_from_slice(&response.body);
                    if stream.write_all(&bytes).is_err() {
                        return;
                    }
                }
                Reply::Silence => loop {
                    thread::sleep(Duration::from_secs(3_600));
                },
            }
        }
        match stream.read(&mut chunk) {
            Ok(count) if count > 0 => buffer.extend_from_slice(&chunk[..count]),
            _ => return,
        }
    }
}

/// Sends a request on a connection of its own; `None` if there was no complete response in time.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> Option<Response> {
    let deadline = Instant::now() + limit;
    let mut stream = TcpStream::connect_timeout(&address, limit).ok()?;
    let _ = stream.set_nodelay(true);
    let mut head = format!("{method} {path} HTTP/1.1\r\ncontent-type: application/json\r\n");
    for (key, value) in headers {
        head.push_str(&format!("{key}: {value}\r\n"));
    }
    if !headers
        .iter()
        .any(|(key, _)| key.eq_ignore_ascii_case("host"))
    {
        head.push_str(&format!("host: {address}\r\n"));
    }
    head.push_str(&format!("content-length: {}\r\n\r\n", body.len()));
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes).ok()?;
    let mut buffer = Vec::new();
    let mut chunk = [0; 16 * 1024];
    loop {
        if let Some((first, _, body)) = take_message(&mut buffer) {
            let status = first.split(' ').nth(1)?.parse().ok()?;
            return Some(Response { status, body });
        }
        let left = deadline.checked_duration_since(Instant::now())?;
        stream
            .set_read_timeout(Some(left.max(Duration::from_millis(1))))
            .ok()?;
        match stream.read(&mut chunk) {
            Ok(count) if count > 0 => buffer.extend_from_slice(&chunk[..count]),
            _ => return None,
        }
    }
}
