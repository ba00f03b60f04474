//! A TCP proxy that delays, stalls, silences, cuts and refuses, changed at run time.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::http_server::ACCEPT_PAUSE;
use crate::http_server::BACKLOG;
use crate::http_server::bind;

/// The faults of one direction.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct FlowFaults {
    /// Milliseconds that each byte is under way.
    pub delay: u64,
    /// The most milliseconds that are added at random; order is kept.
    pub jitter: u64,
    /// Nothing passes; what comes meanwhile is kept and passes later.
    pub stalled: bool,
}

/// The faults of a link.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct LinkFaults {
    /// Towards the target.
    pub forward: FlowFaults,
    /// Towards the client.
    pub backward: FlowFaults,
    /// New connections are refused.
    pub refuse: bool,
    /// New connections are accepted, and nothing ever passes on them.
    pub hole: bool,
}

#[derive(Clone, Copy, Debug)]
enum Direction {
    Forward,
    Backward,
}

impl Direction {
    fn of(self, faults: &LinkFaults) -> &FlowFaults {
        match self {
            Direction::Forward => &faults.forward,
            Direction::Backward => &faults.backward,
        }
    }
}

struct Shared {
    target: SocketAddr,
    faults: watch::Sender<LinkFaults>,
    // Grows when the open connections are silenced. A connection keeps the number that it was
    // opened under, and is silent once the number is larger.
    silenced: watch::Sender<u64>,
    connections: Mutex<JoinSet<()>>,
    rng: Mutex<fastrand::Rng>,
}

/// A running proxy before one address.
pub struct FaultProxy {
    addr: SocketAddr,
    // Bound and never listening: keeps the port while connections are refused.
    _reserved: TcpSocket,
    shared: Arc<Shared>,
    // `None` while connections are refused.
    accepting: tokio::sync::Mutex<Option<JoinHandle<()>>>,
}

impl FaultProxy {
    /// Starts a proxy from `listen` to `target` on the current runtime; `seed` seeds the jitter.
    pub fn start(listen: SocketAddr, target: SocketAddr, seed: u64) -> io::Result<Arc<Self>> {
        let reserved = bind(listen)?;
        let addr = reserved.local_addr()?;
        let shared = Arc::new(Shared {
            target,
            faults: watch::Sender::new(LinkFaults::default()),
            silenced: watch::Sender::new(0),
            connections: Mutex::new(JoinSet::new()),
            rng: Mutex::new(fastrand::Rng::with_seed(seed)),
        });
        let accepting = spawn_accept(addr, &shared)?;
        Ok(Arc::new(FaultProxy {
            addr,
            _reserved: reserved,
            shared,
            accepting: tokio::sync::Mutex::new(Some(accepting)),
        }))
    }

    /// Where it listens.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Where it connects to.
    pub fn target(&self) -> SocketAddr {
        self.shared.target
    }

    /// The faults in force.
    pub fn faults(&self) -> LinkFaults {
        self.shared.faults.borrow().clone()
    }

    /// Puts other faults in force; they are when this returns.
    pub async fn set(&self, faults: LinkFaults) -> io::Result<()> {
        let refuse = faults.refuse;
        self.shared.faults.send_replace(faults);
        let mut accepting = self.accepting.lock().await;
        match (refuse, accepting.take()) {
            (true, Some(task)) => {
                task.abort();
                let _ = task.await;
            }
            (false, None) => *accepting = Some(spawn_accept(self.addr, &self.shared)?),
            (_, task) => *accepting = task,
        }
        Ok(())
    }

    /// Silences the open connections for good: they stay open, and nothing passes on them any more.
    /// New connections work.
    pub fn silence(&self) {
        self.shared.silenced.send_modify(|number| *number += 1);
    }

    /// Closes the open connections; they are closed when this returns.
    pub async fn cut(&self) {
        let mut connections = std::mem::take(&mut *self.shared.connections());
        connections.shutdown().await;
    }

    /// The number of open connections.
    pub fn open(&self) -> usize {
        let mut connections = self.shared.connections();
        reap(&mut connections);
        connections.len()
    }
}

impl Drop for FaultProxy {
    fn drop(&mut self) {
        if let Some(task) = self.accepting.get_mut().take() {
            task.abort();
        }
        self.shared.connections().abort_all();
    }
}

impl Shared {
    fn connections(&self) -> MutexGuard<'_, JoinSet<()>> {
        self.connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn delay(&self, direction: Direction) -> Duration {
        let faults = self.faults.borrow();
        let flow = direction.of(&faults);
        let mut rng = self.rng.lock().unwrap_or_else(PoisonError::into_inner);
        Duration::from_millis(flow.delay + rng.u64(0..=flow.jitter))
    }
}

fn reap(connections: &mut JoinSet<()>) {
    while connections.try_join_next().is_some() {}
}

fn spawn_accept(addr: SocketAddr, shared: &Arc<Shared>) -> io::Result<JoinHandle<()>> {
    let listener = bind(addr)?.listen(BACKLOG)?;
    Ok(tokio::spawn(accept(listener, shared.clone())))
}

async fn accept(listener: TcpListener, shared: Arc<Shared>) {
    loop {
        let Ok((client, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let hole = shared.faults.borrow().hole;
        let connection = carry(client, shared.clone(), hole);
        let mut connections = shared.connections();
        reap(&mut connections);
        connections.spawn(connection);
    }
}

async fn carry(client: TcpStream, shared: Arc<Shared>, hole: bool) {
    let silenced = *shared.silenced.borrow();
    if hole {
        let _open = client;
        return std::future::pending().await;
    }
    // A client of a dead target sees its connection closed, as through a balancer.
    let Ok(target) = TcpStream::connect(shared.target).await else {
        return;
    };
    let _ = client.set_nodelay(true);
    let _ = target.set_nodelay(true);
    let (client_read, client_write) = client.into_split();
    let (target_read, target_write) = target.into_split();
    let forward = Flow {
        shared: shared.clone(),
        direction: Direction::Forward,
        silenced,
    };
    let backward = Flow {
        shared,
        direction: Direction::Backward,
        silenced,
    };
    let forward = forward.run(client_read, target_write);
    let backward = backward.run(target_read, client_write);
    // An error in one direction, such as a reset, ends both.
    let _ = tokio::try_join!(forward, backward);
}

/// One direction of one connection.
struct Flow {
    shared: Arc<Shared>,
    direction: Direction,
    silenced: u64,
}

/// Bytes under way.
struct Parcel {
    due: Instant,
    // Empty at the end of the direction.
    bytes: Vec<u8>,
}

// The parcels under way in one direction; more wait in the kernel.
const UNDER_WAY: usize = 256;
const CHUNK: usize = 16 * 1024;

impl Flow {
    async fn run(self, read: OwnedReadHalf, write: OwnedWriteHalf) -> io::Result<()> {
        let (sender, receiver) = mpsc::channel(UNDER_WAY);
        tokio::try_join!(self.take(read, sender), self.give(write, receiver))?;
        Ok(())
    }

    async fn take(&self, mut read: OwnedReadHalf, sender: mpsc::Sender<Parcel>) -> io::Result<()> {
        let mut buffer = vec![0; CHUNK];
        let mut last = Instant::now();
        loop {
            let count = match read.read(&mut buffer).await {
                Ok(count) => count,
                Err(error) => {
                    // The news of a reset passes no sooner than bytes would.
                    self.passable().await;
                    return Err(error);
                }
            };
            last = last.max(Instant::now() + self.shared.delay(self.direction));
            let parcel = Parcel {
                due: last,
                bytes: buffer[..count].to_vec(),
            };
            if sender.send(parcel).await.is_err() || count == 0 {
                return Ok(());
            }
        }
    }

    async fn give(
        &self,
        mut write: OwnedWriteHalf,
        mut receiver: mpsc::Receiver<Parcel>,
    ) -> io::Result<()> {
        while let Some(parcel) = receiver.recv().await {
            tokio::time::sleep_until(parcel.due).await;
            self.passable().await;
            if parcel.bytes.is_empty() {
                return write.shutdown().await;
            }
            write.write_all(&parcel.bytes).await?;
        }
        Ok(())
    }

    /// Waits until the direction is not stalled. For good on a silenced connection, which keeps both
    /// its ends open: neither learns anything any more.
    async fn passable(&self) {
        let mut faults = self.shared.faults.subscribe();
        let direction = self.direction;
        let _ = faults
            .wait_for(|faults| !direction.of(faults).stalled)
            .await;
        if *self.shared.silenced.borrow() > self.silenced {
            std::future::pending::<()>().await;
        }
    }
}
