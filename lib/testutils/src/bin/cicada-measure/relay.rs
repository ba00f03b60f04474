//! A TCP relay that counts the bytes that pass.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use eyre::Result;
use tokio::io::AsyncRead;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWrite;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

/// A relay before one address, for as long as the runtime lives.
pub(crate) struct Relay {
    /// Where it listens.
    pub(crate) addr: SocketAddr,
    bytes: Arc<AtomicU64>,
}

impl Relay {
    /// Starts a relay to `target`, on any free port.
    pub(crate) async fn start(target: SocketAddr) -> Result<Self> {
        Relay::start_at(SocketAddr::from(([127, 0, 0, 1], 0)), target).await
    }

    /// Starts a relay from `listen` to `target`.
    pub(crate) async fn start_at(listen: SocketAddr, target: SocketAddr) -> Result<Self> {
        let listener = TcpListener::bind(listen).await?;
        let addr = listener.local_addr()?;
        let bytes = Arc::new(AtomicU64::new(0));
        let count = bytes.clone();
        tokio::spawn(async move {
            while let Ok((near, _)) = listener.accept().await {
                tokio::spawn(join(near, target, count.clone()));
            }
        });
        Ok(Relay { addr, bytes })
    }

    /// Bytes that passed so far, both ways, without the headers of IP and TCP.
    pub(crate) fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }
}

async fn join(near: TcpStream, target: SocketAddr, bytes: Arc<AtomicU64>) {
    let Ok(far) = TcpStream::connect(target).await else {
        return;
    };
    let _ = near.set_nodelay(true);
    let _ = far.set_nodelay(true);
    let (near_reader, near_writer) = near.into_split();
    let (far_reader, far_writer) = far.into_split();
    tokio::join!(
        copy(near_reader, far_writer, &bytes),
        copy(far_reader, near_writer, &bytes)
    );
}

async fn copy(
    mut from: impl AsyncRead + Unpin,
    mut to: impl AsyncWrite + Unpin,
    bytes: &AtomicU64,
) {
    let mut buffer = vec![0; 16 * 1024];
    while let Ok(count) = from.read(&mut buffer).await {
        if count == 0 || to.write_all(&buffer[..count]).await.is_err() {
            break;
        }
        bytes.fetch_add(count as u64, Ordering::Relaxed);
    }
    let _ = to.shutdown().await;
}
