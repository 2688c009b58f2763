//! A link between proxies and the controller that can be stalled or cut: bytes pass through it, wait in
//! it, or find it closed.

use crate::world::lock;
use dahliapoint_fibers::{TcpStream, dial, listen, sleep, spawn};
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr};
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, Mutex, Weak};
use std::time::Duration;

/// How a link is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    Open = 0,
    /// What comes waits; nobody is told.
    Stalled = 1,
    /// Connections break, new ones are closed.
    Cut = 2,
}

pub struct Relay {
    pub address: SocketAddr,
    to: SocketAddr,
    mode: AtomicU8,
    /// Connections, to be broken by a cut.
    open: Mutex<Vec<Weak<std::net::TcpStream>>>,
}

impl Relay {
    /// Starts a relay to an address, for as long as the process lives.
    ///
    /// # Errors
    /// When no port can be had.
    pub fn start(to: SocketAddr) -> io::Result<Arc<Relay>> {
        let listener = listen(SocketAddr::from(([127, 0, 0, 1], 0)))?;
        let relay = Arc::new(Relay {
            address: listener.local_addr()?,
            to,
            mode: AtomicU8::new(Mode::Open as u8),
            open: Mutex::default(),
        });
        let own = relay.clone();
        spawn(move || {
            for socket in listener.incoming() {
                match socket {
                    Ok(socket) => {
                        let relay = own.clone();
                        spawn(move || relay.join(socket));
                    }
                    Err(_) => sleep(Duration::from_millis(20)),
                }
            }
        });
        Ok(relay)
    }

    pub fn set(&self, mode: Mode) {
        self.mode.store(mode as u8, Ordering::SeqCst);
        if mode == Mode::Cut {
            let open = std::mem::take(&mut *lock(&self.open));
            for socket in open.iter().filter_map(Weak::upgrade) {
                let _ = socket.shutdown(Shutdown::Both);
            }
        }
    }

    fn is(&self, mode: Mode) -> bool {
        self.mode.load(Ordering::SeqCst) == mode as u8
    }

    fn join(self: Arc<Self>, near: TcpStream) {
        if self.is(Mode::Cut) {
            return;
        }
        let Ok(far) = dial(self.to, Duration::from_secs(2)) else {
            return;
        };
        let _ = (near.set_nodelay(true), far.set_nodelay(true));
        let hands = (near.inner().try_clone(), far.inner().try_clone());
        let ((Ok(near_hand), Ok(far_hand)), Ok(near_too), Ok(far_too)) =
            (hands, near.try_clone(), far.try_clone())
        else {
            return;
        };
        let hands = [Arc::new(near_hand), Arc::new(far_hand)];
        {
            let mut open = lock(&self.open);
            open.retain(|s| s.strong_count() > 0);
            open.extend(hands.iter().map(Arc::downgrade));
        }
        let back = self.clone();
        let ends = hands.clone();
        spawn(move || back.pump(far_too, near_too, &ends));
        self.pump(near, far, &hands);
    }

    fn pump(&self, mut from: TcpStream, mut to: TcpStream, ends: &[Arc<std::net::TcpStream>; 2]) {
        let mut chunk = vec![0; 8192];
        while let Ok(n) = from.read(&mut chunk) {
            while self.is(Mode::Stalled) {
                sleep(Duration::from_millis(20));
            }
            if n == 0 || to.write_all(&chunk[..n]).is_err() {
                break;
            }
        }
        for end in ends {
            let _ = end.shutdown(Shutdown::Both);
        }
    }
}
