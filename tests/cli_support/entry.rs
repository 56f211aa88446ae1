//! A stand-in of an entry that gives scripted replies.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;

use serde_json::Value;

/// A scripted reply.
#[derive(Debug, Clone)]
pub enum Reply {
    /// Closes the connection after the request has arrived.
    Close,
    /// Answers with a status and a body.
    Answer(u16, &'static str),
}

/// A received request.
#[derive(Debug, Clone)]
pub struct ReceivedRequest {
    pub line: String,
    pub authorization: String,
    pub body: Value,
}

impl ReceivedRequest {
    /// Returns an integer field of the body.
    #[track_caller]
    pub fn number(&self, field: &str) -> u64 {
        self.body[field].as_u64().expect("a whole number")
    }
}

/// Answers one request with each reply, in order, on a connection of its own.
pub struct ScriptedEntry {
    pub address: SocketAddr,
    requests: Receiver<ReceivedRequest>,
}

impl ScriptedEntry {
    pub fn start(replies: Vec<Reply>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let (sender, requests) = channel();
        thread::spawn(move || serve(&listener, replies, &sender));
        Self { address, requests }
    }

    /// Returns the requests received so far.
    pub fn requests(self) -> Vec<ReceivedRequest> {
        self.requests.try_iter().collect()
    }
}

fn serve(listener: &TcpListener, replies: Vec<Reply>, requests: &Sender<ReceivedRequest>) {
    for reply in replies {
        let (mut stream, _) = listener.accept().expect("a connection");
        let request = read_request(&mut stream);
        requests.send(request).expect("the test waits");
        if let Reply::Answer(status, body) = reply {
            let length = body.len();
            let response = format!(
                "HTTP/1.1 {status} Scripted\r\nContent-Length: {length}\r\n\
                 Connection: close\r\n\r\n{body}"
            );
            stream.write_all(response.as_bytes()).expect("a reader");
        }
    }
}

fn read_request(stream: &mut TcpStream) -> ReceivedRequest {
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    reader.read_line(&mut line).expect("a request line");
    let (mut length, mut authorization) = (0, String::new());
    loop {
        let mut header = String::new();
        reader.read_line(&mut header).expect("a header");
        let Some((name, value)) = header.trim().split_once(": ") else {
            break;
        };
        match name.to_ascii_lowercase().as_str() {
            "content-length" => length = value.parse().expect("a length"),
            "authorization" => value.clone_into(&mut authorization),
            _ => {}
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).expect("a body");
    ReceivedRequest {
        line: line.trim().to_owned(),
        authorization,
        body: serde_json::from_slice(&body).unwrap_or(Value::Null),
    }
}
