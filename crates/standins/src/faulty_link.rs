//! A TCP relay between proxies and the controller that can be stalled or cut.

use crate::run_state::lock;
use dahliapoint_fibers::{TcpStream, dial, listen, sleep, spawn};
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr};
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, Mutex, Weak};
use std::time::Duration;

/// What a link does with connections and bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkState {
    /// Forwards bytes in both directions.
    Open = 0,
    /// Holds back bytes; connections stay open.
    Stalled = 1,
    /// Closes all connections, also new ones.
    Cut = 2,
}

/// A link that forwards connections on `address` to one target.
pub struct FaultyLink {
    /// The address that proxies dial.
    pub address: SocketAddr,
    target: SocketAddr,
    state: AtomicU8,
    /// Sockets of the current connections, which a cut shuts down.
    connections: Mutex<Vec<Weak<std::net::TcpStream>>>,
}

impl FaultyLink {
    /// Starts forwarding to an address; it runs until the process ends.
    ///
    /// # Errors
    /// If no port can be bound.
    pub fn start(to: SocketAddr) -> io::Result<Arc<FaultyLink>> {
        let listener = listen(SocketAddr::from(([127, 0, 0, 1], 0)))?;
        let relay = Arc::new(FaultyLink {
            address: listener.local_addr()?,
            target: to,
            state: AtomicU8::new(LinkState::Open as u8),
            connections: Mutex::default(),
        });
        let own = relay.clone();
        spawn(move || {
            for socket in listener.incoming() {
                match socket {
                    Ok(socket) => {
                        let relay = own.clone();
                        spawn(move || relay.forward(socket));
                    }
                    Err(_) => sleep(Duration::from_millis(20)),
                }
            }
        });
        Ok(relay)
    }

    /// Changes the state; a cut shuts down the current connections.
    pub fn set(&self, state: LinkState) {
        self.state.store(state as u8, Ordering::SeqCst);
        if state == LinkState::Cut {
            let connections = std::mem::take(&mut *lock(&self.connections));
            for socket in connections.iter().filter_map(Weak::upgrade) {
                let _ = socket.shutdown(Shutdown::Both);
            }
        }
    }

    fn is(&self, state: LinkState) -> bool {
        self.state.load(Ordering::SeqCst) == state as u8
    }

    /// Forwards one connection in both directions until either side ends.
    fn forward(self: Arc<Self>, near: TcpStream) {
        if self.is(LinkState::Cut) {
            return;
        }
        let Ok(far) = dial(self.target, Duration::from_secs(2)) else {
            return;
        };
        let _ = (near.set_nodelay(true), far.set_nodelay(true));
        let clones = (near.inner().try_clone(), far.inner().try_clone());
        let ((Ok(near_socket), Ok(far_socket)), Ok(near_writer), Ok(far_reader)) =
            (clones, near.try_clone(), far.try_clone())
        else {
            return;
        };
        let sockets = [Arc::new(near_socket), Arc::new(far_socket)];
        {
            let mut connections = lock(&self.connections);
            connections.retain(|s| s.strong_count() > 0);
            connections.extend(sockets.iter().map(Arc::downgrade));
        }
        let backward = self.clone();
        let to_close = sockets.clone();
        spawn(move || backward.copy(far_reader, near_writer, &to_close));
        self.copy(near, far, &sockets);
    }

    /// Copies bytes one way; at the end shuts down both sockets.
    fn copy(
        &self,
        mut from: TcpStream,
        mut to: TcpStream,
        sockets: &[Arc<std::net::TcpStream>; 2],
    ) {
        let mut chunk = vec![0; 8192];
        while let Ok(n) = from.read(&mut chunk) {
            while self.is(LinkState::Stalled) {
                sleep(Duration::from_millis(20));
            }
            if n == 0 || to.write_all(&chunk[..n]).is_err() {
                break;
            }
        }
        for socket in sockets {
            let _ = socket.shutdown(Shutdown::Both);
        }
    }
}
