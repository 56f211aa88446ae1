//! A TCP relay that simulates a network cut in one or both directions, or a slow link.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Interval at which a thread checks whether the relay was cut, healed or stopped.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

const BUFFER_BYTES: usize = 16 * 1024;

/// Directions that are cut. Connections stay open and bytes are held back until the cut is healed,
/// as with TCP over a network that drops every packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cut {
    /// No direction is cut.
    Nothing,
    /// No bytes reach the process behind the relay.
    Inwards,
    /// No bytes come from the process behind the relay.
    Outwards,
    /// Both directions are cut.
    Both,
}

#[derive(Default)]
struct Shared {
    upstream: Mutex<Option<SocketAddr>>,
    is_inwards_cut: AtomicBool,
    is_outwards_cut: AtomicBool,
    is_stopped: AtomicBool,
    /// Rate of the link in each direction, in bytes per second; 0 if it is not limited.
    rate_bytes_per_s: AtomicU64,
    /// When the bytes that were passed on have crossed the link.
    inwards_busy_until: Mutex<Option<Instant>>,
    outwards_busy_until: Mutex<Option<Instant>>,
}

/// Direction of the bytes on a connection.
#[derive(Clone, Copy)]
enum Direction {
    Inwards,
    Outwards,
}

impl Shared {
    fn is_cut(&self, direction: Direction) -> bool {
        let is_cut = match direction {
            Direction::Inwards => &self.is_inwards_cut,
            Direction::Outwards => &self.is_outwards_cut,
        };
        is_cut.load(Ordering::SeqCst)
    }

    /// Waits until a link of the set rate, which all connections share, has carried the bytes.
    fn carry(&self, direction: Direction, count: usize) {
        let rate = self.rate_bytes_per_s.load(Ordering::SeqCst);
        if rate == 0 {
            return;
        }
        let busy_until = match direction {
            Direction::Inwards => &self.inwards_busy_until,
            Direction::Outwards => &self.outwards_busy_until,
        };
        let carried_at = {
            let mut busy_until = busy_until.lock().expect("no thread panicked");
            let now = Instant::now();
            let begin = busy_until.map_or(now, |busy_until| busy_until.max(now));
            let duration = Duration::from_secs_f64(count as f64 / rate as f64);
            *busy_until.insert(begin + duration)
        };
        thread::sleep(carried_at.saturating_duration_since(Instant::now()));
    }
}

/// A relay in front of one process.
pub struct Relay {
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl Relay {
    /// Starts a relay that closes connections until [`Relay::set_upstream`] is called.
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        listener.set_nonblocking(true).expect("the listener exists");
        let address = listener.local_addr().expect("the listener is bound");
        let shared = Arc::new(Shared::default());
        let accepting = Arc::clone(&shared);
        thread::spawn(move || accept(&listener, &accepting));
        Self { address, shared }
    }

    /// Sets the address of the process behind the relay.
    pub fn set_upstream(&self, upstream: SocketAddr) {
        *self.shared.upstream.lock().expect("no thread panicked") = Some(upstream);
    }

    /// Cuts the given directions and heals the others.
    pub fn cut(&self, cut: Cut) {
        let inwards = matches!(cut, Cut::Inwards | Cut::Both);
        let outwards = matches!(cut, Cut::Outwards | Cut::Both);
        self.shared.is_inwards_cut.store(inwards, Ordering::SeqCst);
        self.shared
            .is_outwards_cut
            .store(outwards, Ordering::SeqCst);
    }

    /// Limits the bytes per second in each direction, over all connections.
    pub fn limit_rate(&self, bytes_per_s: u64) {
        let rate = &self.shared.rate_bytes_per_s;
        rate.store(bytes_per_s, Ordering::SeqCst);
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.shared.is_stopped.store(true, Ordering::SeqCst);
    }
}

fn accept(listener: &TcpListener, shared: &Arc<Shared>) {
    while !shared.is_stopped.load(Ordering::SeqCst) {
        match listener.accept() {
            Ok((stream, _)) => connect(stream, shared),
            Err(_) => thread::sleep(POLL_INTERVAL),
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
    thread::spawn(move || forward(client, server, &inwards, Direction::Inwards));
    let outwards = Arc::clone(shared);
    thread::spawn(move || forward(server_copy, client_copy, &outwards, Direction::Outwards));
}

fn forward(mut from: TcpStream, mut to: TcpStream, shared: &Shared, direction: Direction) {
    let _ = to.set_nodelay(true);
    let _ = from.set_read_timeout(Some(Duration::from_millis(50)));
    let mut buffer = vec![0; BUFFER_BYTES];
    while !shared.is_stopped.load(Ordering::SeqCst) {
        let count = match from.read(&mut buffer) {
            Ok(0) => break,
            Ok(count) => count,
            Err(error) if is_timeout(&error) => continue,
            Err(_) => break,
        };
        while shared.is_cut(direction) && !shared.is_stopped.load(Ordering::SeqCst) {
            thread::sleep(POLL_INTERVAL);
        }
        shared.carry(direction, count);
        if to.write_all(&buffer[..count]).is_err() {
            break;
        }
    }
    // The end of a connection is held back by a cut, too.
    while shared.is_cut(direction) && !shared.is_stopped.load(Ordering::SeqCst) {
        thread::sleep(POLL_INTERVAL);
    }
    let _ = to.shutdown(Shutdown::Write);
}

fn is_timeout(error: &std::io::Error) -> bool {
    use std::io::ErrorKind::{TimedOut, WouldBlock};
    matches!(error.kind(), TimedOut | WouldBlock)
}
