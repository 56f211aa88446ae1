//! A TCP relay that stops passing bytes in one or both directions.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Interval at which a thread looks whether the relay was cut, healed or ended.
const LOOK: Duration = Duration::from_millis(5);

const BUFFER_BYTES: usize = 64 * 1024;

/// Directions in which nothing passes; connections stay open and bytes are kept back, as by a
/// network that loses every packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cut {
    /// Everything passes.
    Nothing,
    /// Nothing passes to the process behind the relay.
    Inwards,
    /// Nothing passes from the process behind the relay.
    Outwards,
    /// Nothing passes.
    Both,
}

#[derive(Default)]
struct Shared {
    upstream: Mutex<Option<SocketAddr>>,
    inwards_cut: AtomicBool,
    outwards_cut: AtomicBool,
    ended: AtomicBool,
}

/// A relay in front of one process.
pub struct Relay {
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl Relay {
    /// Starts a relay that refuses connections until it knows its process.
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        listener.set_nonblocking(true).expect("the listener exists");
        let address = listener.local_addr().expect("the listener is bound");
        let shared = Arc::new(Shared::default());
        let accepting = Arc::clone(&shared);
        thread::spawn(move || accept(&listener, &accepting));
        Self { address, shared }
    }

    /// Names the process behind the relay.
    pub fn lead_to(&self, upstream: SocketAddr) {
        *self.shared.upstream.lock().expect("no thread panicked") = Some(upstream);
    }

    /// Cuts or heals directions.
    pub fn cut(&self, cut: Cut) {
        let inwards = matches!(cut, Cut::Inwards | Cut::Both);
        let outwards = matches!(cut, Cut::Outwards | Cut::Both);
        self.shared.inwards_cut.store(inwards, Ordering::SeqCst);
        self.shared.outwards_cut.store(outwards, Ordering::SeqCst);
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.shared.ended.store(true, Ordering::SeqCst);
    }
}

fn accept(listener: &TcpListener, shared: &Arc<Shared>) {
    while !shared.ended.load(Ordering::SeqCst) {
        match listener.accept() {
            Ok((stream, _)) => connect(stream, shared),
            Err(_) => thread::sleep(LOOK),
        }
    }
}

fn connect(client: TcpStream, shared: &Arc<Shared>) {
    let upstream = *shared.upstream.lock().expect("no thread panicked");
    let Some(server) = upstream.and_then(|address| TcpStream::connect(address).ok()) else {
        return;
    };
    let _ = client.set_nonblocking(false);
    let (Ok(client_copy), Ok(server_copy)) = (client.try_clone(), server.try_clone()) else {
        return;
    };
    let inwards = Arc::clone(shared);
    thread::spawn(move || pass(client, server, &inwards, |shared| &shared.inwards_cut));
    let outwards = Arc::clone(shared);
    thread::spawn(move || {
        pass(server_copy, client_copy, &outwards, |shared| {
            &shared.outwards_cut
        });
    });
}

fn pass(mut from: TcpStream, mut to: TcpStream, shared: &Shared, cut: fn(&Shared) -> &AtomicBool) {
    let _ = to.set_nodelay(true);
    let _ = from.set_read_timeout(Some(Duration::from_millis(50)));
    let mut buffer = vec![0; BUFFER_BYTES];
    while !shared.ended.load(Ordering::SeqCst) {
        let count = match from.read(&mut buffer) {
            Ok(0) => break,
            Ok(count) => count,
            Err(error) if is_timeout(&error) => continue,
            Err(_) => break,
        };
        while cut(shared).load(Ordering::SeqCst) && !shared.ended.load(Ordering::SeqCst) {
            thread::sleep(LOOK);
        }
        if to.write_all(&buffer[..count]).is_err() {
            break;
        }
    }
    // The end of a connection does not pass a cut either.
    while cut(shared).load(Ordering::SeqCst) && !shared.ended.load(Ordering::SeqCst) {
        thread::sleep(LOOK);
    }
    let _ = to.shutdown(Shutdown::Write);
}

fn is_timeout(error: &std::io::Error) -> bool {
    use std::io::ErrorKind::{TimedOut, WouldBlock};
    matches!(error.kind(), TimedOut | WouldBlock)
}
