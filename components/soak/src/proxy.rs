//! A loopback TCP proxy that delays, pauses and closes connections.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use monoio::io::{AsyncReadRent, AsyncWriteRentExt, Splitable};
use monoio::net::{TcpListener, TcpStream};
use monoio::time::sleep;
use web::StopSignal;

const BUFFER_BYTES: usize = 16 * 1_024;

/// Interval at which a paused connection checks whether it may continue.
const PAUSE_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// A proxy whose faults apply to all of its connections; clones share the faults.
#[derive(Debug, Clone, Default)]
pub(crate) struct Proxy {
    /// Whether data from the client to the server is held back.
    pub(crate) is_forward_paused: Rc<Cell<bool>>,
    /// Whether data from the server to the client is held back.
    pub(crate) is_return_paused: Rc<Cell<bool>>,
    /// Delay of each chunk of data, in both directions.
    pub(crate) delay_ms: Rc<Cell<u64>>,
    /// Closes the connections opened since the last call of `close_connections`.
    close_signal: Rc<RefCell<StopSignal>>,
}

impl Proxy {
    /// Starts the proxy in front of a server; returns the address of the proxy.
    pub(crate) fn start(&self, server_address: SocketAddr) -> io::Result<SocketAddr> {
        let listener = web::bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
        let address = listener.local_addr()?;
        monoio::spawn(self.clone().accept(listener, server_address));
        Ok(address)
    }

    /// Closes every open connection.
    pub(crate) fn close_connections(&self) {
        let old = self.close_signal.replace(StopSignal::new());
        old.stop();
    }

    async fn accept(self, listener: TcpListener, server_address: SocketAddr) {
        while let Ok((stream, _)) = listener.accept().await {
            monoio::spawn(self.clone().serve_connection(stream, server_address));
        }
    }

    async fn serve_connection(self, client: TcpStream, server_address: SocketAddr) {
        let stop = self.close_signal.borrow().clone();
        let Ok(server) = TcpStream::connect_addr(server_address).await else {
            return;
        };
        // Sends small frames without delay by Nagle's algorithm.
        let _ = client.set_nodelay(true);
        let _ = server.set_nodelay(true);
        let (client_in, client_out) = client.into_split();
        let (server_in, server_out) = server.into_split();
        let forward_data = copy_data(
            client_in,
            server_out,
            self.is_forward_paused,
            Rc::clone(&self.delay_ms),
        );
        let return_data = copy_data(server_in, client_out, self.is_return_paused, self.delay_ms);
        monoio::select! {
            () = stop.stopped() => {}
            () = forward_data => {}
            () = return_data => {}
        }
    }
}

async fn copy_data(
    mut from: impl AsyncReadRent,
    mut to: impl AsyncWriteRentExt,
    is_paused: Rc<Cell<bool>>,
    delay_ms: Rc<Cell<u64>>,
) {
    let mut buffer = Vec::with_capacity(BUFFER_BYTES);
    loop {
        let (read, returned) = from.read(buffer).await;
        if !matches!(read, Ok(count) if count > 0) {
            return;
        }
        sleep(Duration::from_millis(delay_ms.get())).await;
        while is_paused.get() {
            sleep(PAUSE_CHECK_INTERVAL).await;
        }
        let (written, mut returned) = to.write_all(returned).await;
        if written.is_err() {
            return;
        }
        returned.clear();
        buffer = returned;
    }
}
