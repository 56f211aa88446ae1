//! A loopback proxy that delays, cuts, silences and resets connections.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use monoio::io::{AsyncReadRent, AsyncWriteRentExt, Splitable};
use monoio::net::{TcpListener, TcpStream};
use monoio::time::sleep;
use web::Stop;

const BUFFER_BYTES: usize = 16 * 1_024;

/// Interval at which a held connection looks whether it may go on.
const HELD_LOOK: Duration = Duration::from_millis(5);

/// What the proxy does to its connections; clones share the switches.
#[derive(Debug, Clone, Default)]
pub(crate) struct Proxy {
    pub(crate) holds_forward: Rc<Cell<bool>>,
    pub(crate) holds_back: Rc<Cell<bool>>,
    pub(crate) delay_ms: Rc<Cell<u64>>,
    resets: Rc<RefCell<Stop>>,
}

impl Proxy {
    /// Starts a proxy in front of `target`; returns its address.
    pub(crate) fn start(&self, target: SocketAddr) -> io::Result<SocketAddr> {
        let listener = web::bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
        let address = listener.local_addr()?;
        monoio::spawn(self.clone().accept(listener, target));
        Ok(address)
    }

    /// Resets every open connection.
    pub(crate) fn reset(&self) {
        let old = self.resets.replace(Stop::new());
        old.stop();
    }

    async fn accept(self, listener: TcpListener, target: SocketAddr) {
        while let Ok((stream, _)) = listener.accept().await {
            monoio::spawn(self.clone().forward(stream, target));
        }
    }

    async fn forward(self, client: TcpStream, target: SocketAddr) {
        let stop = self.resets.borrow().clone();
        let Ok(server) = TcpStream::connect_addr(target).await else {
            return;
        };
        // Small frames must not wait for each other.
        let _ = client.set_nodelay(true);
        let _ = server.set_nodelay(true);
        let (client_in, client_out) = client.into_split();
        let (server_in, server_out) = server.into_split();
        let forward = copy(
            client_in,
            server_out,
            self.holds_forward,
            Rc::clone(&self.delay_ms),
        );
        let back = copy(server_in, client_out, self.holds_back, self.delay_ms);
        monoio::select! {
            () = stop.stopped() => {}
            () = forward => {}
            () = back => {}
        }
    }
}

async fn copy(
    mut from: impl AsyncReadRent,
    mut to: impl AsyncWriteRentExt,
    holds: Rc<Cell<bool>>,
    delay_ms: Rc<Cell<u64>>,
) {
    let mut buffer = Vec::with_capacity(BUFFER_BYTES);
    loop {
        let (read, returned) = from.read(buffer).await;
        if !matches!(read, Ok(count) if count > 0) {
            return;
        }
        sleep(Duration::from_millis(delay_ms.get())).await;
        while holds.get() {
            sleep(HELD_LOOK).await;
        }
        let (written, mut returned) = to.write_all(returned).await;
        if written.is_err() {
            return;
        }
        returned.clear();
        buffer = returned;
    }
}
