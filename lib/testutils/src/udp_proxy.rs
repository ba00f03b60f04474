//! Carries datagrams to one address, so that a fault proxy stands before a whole process: its TCP
//! connections pass [`crate::proxy`], its datagrams pass here.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use tokio::net::UdpSocket;
use tokio::task::JoinHandle;

// Larger than any datagram between processes of the system.
const LARGEST: usize = 2_048;

/// A running proxy of datagrams; ends when dropped.
pub struct UdpProxy {
    blocked: Arc<AtomicBool>,
    task: JoinHandle<()>,
}

impl UdpProxy {
    /// Starts a proxy from `listen` to `target` on the current runtime.
    pub fn start(listen: SocketAddr, target: SocketAddr) -> io::Result<Self> {
        let socket = std::net::UdpSocket::bind(listen)?;
        socket.set_nonblocking(true)?;
        let socket = Arc::new(UdpSocket::from_std(socket)?);
        let blocked = Arc::new(AtomicBool::new(false));
        let task = tokio::spawn(carry(socket, target, blocked.clone()));
        Ok(UdpProxy { blocked, task })
    }

    /// Drops every datagram, or none.
    pub fn block(&self, blocked: bool) {
        self.blocked.store(blocked, Ordering::Relaxed);
    }
}

impl Drop for UdpProxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn carry(socket: Arc<UdpSocket>, target: SocketAddr, blocked: Arc<AtomicBool>) {
    // A way back for each client, as an address translator keeps it.
    let mut ways: HashMap<SocketAddr, Arc<UdpSocket>> = HashMap::new();
    let mut buffer = [0; LARGEST];
    loop {
        let Ok((length, from)) = socket.recv_from(&mut buffer).await else {
            continue;
        };
        if blocked.load(Ordering::Relaxed) {
            continue;
        }
        let way = match ways.get(&from) {
            Some(way) => way.clone(),
            None => match open_way(socket.clone(), from, target, blocked.clone()).await {
                Ok(way) => {
                    ways.insert(from, way.clone());
                    way
                }
                Err(_) => continue,
            },
        };
        // A datagram that cannot be sent is lost, as on any network.
        let _ = way.send(&buffer[..length]).await;
    }
}

async fn open_way(
    socket: Arc<UdpSocket>,
    client: SocketAddr,
    target: SocketAddr,
    blocked: Arc<AtomicBool>,
) -> io::Result<Arc<UdpSocket>> {
    let way = Arc::new(UdpSocket::bind(("127.0.0.1", 0)).await?);
    way.connect(target).await?;
    let back = Arc::downgrade(&way);
    tokio::spawn(async move {
        let mut buffer = [0; LARGEST];
        while let Some(way) = back.upgrade() {
            let Ok(length) = way.recv(&mut buffer).await else {
                continue;
            };
            if !blocked.load(Ordering::Relaxed) {
                let _ = socket.send_to(&buffer[..length], client).await;
            }
        }
    });
    Ok(way)
}
