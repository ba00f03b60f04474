//! Sends and receives the datagrams of [`crate::membership`] over UDP.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use tokio::net::UdpSocket;
use tokio::time::MissedTickBehavior;

use crate::gossip::IP_UDP_HEADER_BYTES;
use crate::gossip::MAX_DATAGRAM;
use crate::gossip::Message;
use crate::membership::Datagram;
use crate::membership::Membership;
use crate::membership::TICK;
use crate::time::Clock;

/// Counters of datagrams and their bytes, including the headers of IP and UDP.
#[derive(Debug, Default)]
pub struct GossipCounts {
    /// Datagrams sent.
    pub sent: AtomicU64,
    /// Bytes sent.
    pub sent_bytes: AtomicU64,
    /// Datagrams received and decoded.
    pub received: AtomicU64,
    /// Bytes received, including those of dropped datagrams.
    pub received_bytes: AtomicU64,
    /// Datagrams dropped because the tag or the encoding is invalid.
    pub dropped: AtomicU64,
    /// Datagrams that the socket failed to send.
    pub unsent: AtomicU64,
}

/// Runs a [`Membership`] over a UDP socket.
#[derive(Clone)]
pub struct GossipNet {
    socket: Arc<UdpSocket>,
    key: [u8; 32],
    membership: Arc<Mutex<Membership>>,
    clock: Clock,
    counts: Arc<GossipCounts>,
}

impl GossipNet {
    /// Binds the socket. All processes of the system share `key`.
    pub async fn bind(
        address: SocketAddr,
        key: [u8; 32],
        membership: Membership,
        clock: Clock,
    ) -> io::Result<Self> {
        let socket = UdpSocket::bind(address).await?;
        Ok(GossipNet {
            socket: Arc::new(socket),
            key,
            membership: Arc::new(Mutex::new(membership)),
            clock,
            counts: Arc::default(),
        })
    }

    /// Address that the socket is bound to.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Counters of this socket.
    pub fn counts(&self) -> &GossipCounts {
        &self.counts
    }

    /// Locks the membership. Hold the guard only briefly.
    pub fn membership(&self) -> MutexGuard<'_, Membership> {
        // Nothing panics while it holds the lock.
        self.membership
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends and receives until the future is dropped.
    pub async fn run(&self) {
        let mut rng = fastrand::Rng::new();
        let mut ticks = tokio::time::interval(TICK);
        // After a pause a single tick suffices; ticks that were missed need not be made up for.
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut buffer = [0; MAX_DATAGRAM + 1];
        loop {
            let out = tokio::select! {
                _ = ticks.tick() => {
                    let now = self.clock.now();
                    self.membership().tick(now, &mut rng)
                }
                received = self.socket.recv_from(&mut buffer) => match received {
                    Ok((length, from)) => self.receive(from, &buffer[..length], &mut rng),
                    // ICMP "port unreachable" from one peer's host; other peers are not affected.
                    Err(_) => Vec::new(),
                },
            };
            for datagram in out {
                self.send(&datagram).await;
            }
        }
    }

    /// Sends pending updates at once, for example before the process exits.
    pub async fn flush(&self) {
        let now = self.clock.now();
        let out = self.membership().tick(now, &mut fastrand::Rng::new());
        for datagram in out {
            self.send(&datagram).await;
        }
    }

    fn receive(&self, from: SocketAddr, bytes: &[u8], rng: &mut fastrand::Rng) -> Vec<Datagram> {
        let counts = &self.counts;
        let size = (bytes.len() + IP_UDP_HEADER_BYTES) as u64;
        counts.received_bytes.fetch_add(size, Ordering::Relaxed);
        let Ok(message) = Message::open(bytes, &self.key) else {
            counts.dropped.fetch_add(1, Ordering::Relaxed);
            return Vec::new();
        };
        counts.received.fetch_add(1, Ordering::Relaxed);
        let now = self.clock.now();
        self.membership().receive(now, from, message, rng)
    }

    async fn send(&self, datagram: &Datagram) {
        let bytes = datagram.message.seal(&self.key);
        let size = (bytes.len() + IP_UDP_HEADER_BYTES) as u64;
        // Later datagrams make up for one that is lost or refused.
        if self.socket.send_to(&bytes, datagram.to).await.is_err() {
            self.counts.unsent.fetch_add(1, Ordering::Relaxed);
            return;
        }
        self.counts.sent.fetch_add(1, Ordering::Relaxed);
        self.counts.sent_bytes.fetch_add(size, Ordering::Relaxed);
    }
}
