//! Takes connections from other processes: those of entries are joined to an agent's desk, and
//! questions are answered.

use std::sync::Arc;
use std::time::Duration;

use cicada_lib::handshake;
use cicada_lib::handshake::PeerKey;
use cicada_lib::ids::Name;
use cicada_lib::wire::MAX_FRAME;
use cicada_lib::wire::Result;
use cicada_lib::wire::ToAgent;
use cicada_lib::wire::ToEntry;
use cicada_lib::wire::WireError;
use tokio::io::AsyncWriteExt;
use tokio::io::BufReader;
use tokio::io::BufWriter;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::desk::DeskEvent;
use crate::mark_spread::MarkSink;
use crate::peer_ask;
use crate::record::ConnKey;
use crate::status::Process;

/// Who this process is towards those that connect.
#[derive(Clone)]
pub(crate) struct ServerIdentity {
    /// This host.
    pub(crate) name: Name,
    /// The system's key.
    pub(crate) key: PeerKey,
    /// Differs at each start.
    pub(crate) incarnation: u64,
    /// Longest silence of a connection.
    pub(crate) silent: Duration,
    /// Longest time for the exchange of hellos.
    pub(crate) connect_time: Duration,
}

/// Pause after a failed accept, as when file descriptors run out: without it the loop would spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Takes connections for as long as the process lives.
pub(crate) async fn serve(
    listener: TcpListener,
    identity: ServerIdentity,
    process: Arc<Process>,
    sink: Arc<dyn MarkSink>,
    desk: Option<mpsc::Sender<DeskEvent>>,
) {
    loop {
        match listener.accept().await {
            Ok((stream, address)) => {
                let identity = identity.clone();
                let process = process.clone();
                let sink = sink.clone();
                let desk = desk.clone();
                tokio::spawn(async move {
                    if let Err(err) = converse(stream, identity, &process, sink, desk).await {
                        tracing::info!(%address, %err, "link: closed");
                    }
                });
            }
            Err(err) => {
                tracing::warn!(%err, "link: a connection could not be taken");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn converse(
    mut stream: TcpStream,
    identity: ServerIdentity,
    process: &Process,
    sink: Arc<dyn MarkSink>,
    desk: Option<mpsc::Sender<DeskEvent>>,
) -> Result<()> {
    stream.set_nodelay(true)?;
    let exchange = handshake::accept(
        &mut stream,
        &identity.key,
        &identity.name,
        identity.incarnation,
    );
    let peer = tokio::time::timeout(identity.connect_time, exchange)
        .await
        .map_err(|_| WireError::Slow)??;
    let first: ToAgent = handshake::read_within(&mut stream, MAX_FRAME, identity.silent).await?;
    if let ToAgent::Ask(ask) = &first {
        return handshake::write(&mut stream, &peer_ask::answer(process, sink.as_ref(), ask)).await;
    }
    let Some(desk) = desk else {
        return Err(WireError::Foreign);
    };
    let (tx, rx) = mpsc::unbounded_channel();
    let (reply, opened) = oneshot::channel();
    let _ = desk.send(DeskEvent::Opened(tx, reply)).await;
    let Ok(conn) = opened.await else {
        return Ok(());
    };
    tracing::debug!(entry = %peer.name, "link: opened");
    let _ = desk.send(DeskEvent::Frame(conn, first)).await;
    let (reader, writer) = stream.into_split();
    let end = tokio::select! {
        end = read_frames(reader, conn, &desk, identity.silent) => end,
        end = write_frames(writer, rx) => end,
    };
    let _ = desk.send(DeskEvent::Closed(conn)).await;
    end
}

async fn read_frames(
    reader: OwnedReadHalf,
    conn: ConnKey,
    desk: &mpsc::Sender<DeskEvent>,
    silent: Duration,
) -> Result<()> {
    let mut reader = BufReader::new(reader);
    loop {
        let frame: ToAgent = handshake::read_within(&mut reader, MAX_FRAME, silent).await?;
        if desk.send(DeskEvent::Frame(conn, frame)).await.is_err() {
            return Ok(());
        }
    }
}

async fn write_frames(
    writer: OwnedWriteHalf,
    mut frames: mpsc::UnboundedReceiver<ToEntry>,
) -> Result<()> {
    let mut writer = BufWriter::new(writer);
    while let Some(frame) = frames.recv().await {
        handshake::write(&mut writer, &frame).await?;
        if frames.is_empty() {
            writer.flush().await?;
        }
    }
    Ok(())
}
