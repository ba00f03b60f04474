//! An entry's connection to one agent, shared by many streams.
//!
//! A connection that went silent while new ones work would hold its streams for ever: the kernel
//! still takes bytes, and no error comes. So both sides are heard at least once a heartbeat, and a
//! link that has heard nothing for the limit closes itself. Its streams see the end of their
//! channel, and go on by index over a new link.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use cicada_lib::crash_mark::CrashMark;
use cicada_lib::handshake;
use cicada_lib::handshake::Peer;
use cicada_lib::handshake::PeerKey;
use cicada_lib::ids::Name;
use cicada_lib::load::LoadSummary;
use cicada_lib::wire::Attach;
use cicada_lib::wire::MAX_FRAME;
use cicada_lib::wire::StreamFrame;
use cicada_lib::wire::Submit;
use cicada_lib::wire::ToAgent;
use cicada_lib::wire::ToEntry;
use cicada_lib::wire::WireError;
use tokio::io::AsyncWriteExt;
use tokio::io::BufReader;
use tokio::io::BufWriter;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::mpsc;

/// The result of opening a link or a stream on it.
pub(crate) type Result<T> = std::result::Result<T, WireError>;

/// Where a link hands the load that its agent tells.
pub(crate) trait LoadSink: Send + Sync {
    /// Takes a report of the named agent.
    fn report(&self, agent: &Name, load: LoadSummary);

    /// Takes evidence on requests that end engines.
    fn marks(&self, marks: &[CrashMark]);
}

/// The figures and the identity with which links are opened.
#[derive(Clone)]
pub(crate) struct LinkSettings {
    /// This host.
    pub(crate) name: Name,
    /// The system's key.
    pub(crate) key: PeerKey,
    /// Time between heartbeats.
    pub(crate) heartbeat: Duration,
    /// Longest silence. More than two heartbeats.
    pub(crate) silent: Duration,
    /// Longest time to connect and to exchange hellos.
    pub(crate) connect_time: Duration,
    /// Tokens that an agent may send ahead of the caller.
    pub(crate) credit: u32,
}

/// Frames that wait to be written before senders are held back.
const WRITE_QUEUE: usize = 1_024;

/// Frames of a stream besides its tokens: accepted, answer, end, and some room.
const EXTRA_FRAMES: usize = 16;

/// A link without a stream closes after this many heartbeats, so that idle pairs of processes cost
/// nothing at the target of 370 entries before 1,000 agents.
const IDLE_BEATS: u32 = 60;

type Streams = Mutex<HashMap<u32, mpsc::Sender<StreamFrame>>>;

/// A connection to an agent that has proved itself.
pub(crate) struct Link {
    peer: Peer,
    credit: u32,
    frames: mpsc::Sender<ToAgent>,
    // Stream numbers are never used twice on a link: a late frame of an ended stream finds nobody.
    next: AtomicU32,
    streams: Arc<Streams>,
}

impl Link {
    /// Connects, proves the key both ways, and starts the link's task on the current runtime.
    pub(crate) async fn open(
        address: SocketAddr,
        settings: &LinkSettings,
        sink: Arc<dyn LoadSink>,
    ) -> Result<Arc<Link>> {
        let connecting = connect(address, settings);
        let (stream, peer) = tokio::time::timeout(settings.connect_time, connecting)
            .await
            .map_err(|_| WireError::Slow)??;
        let (reader, writer) = stream.into_split();
        let (frames, queue) = mpsc::channel(WRITE_QUEUE);
        let streams = Arc::new(Streams::default());
        let link = Arc::new(Link {
            peer: peer.clone(),
            credit: settings.credit,
            frames,
            next: AtomicU32::new(1),
            streams: streams.clone(),
        });
        let heartbeat = settings.heartbeat;
        let silent = settings.silent;
        tokio::spawn(async move {
            tokio::select! {
                end = read_frames(reader, &streams, &peer.name, sink, silent) => {
                    tracing::info!(agent = %peer.name, end, "link: closed");
                }
                () = write_frames(writer, queue, heartbeat, &streams) => {}
            }
            // Dropping the senders tells every stream that the link is gone.
            lock(&streams).clear();
        });
        Ok(link)
    }

    /// Differs at each start of the agent's process.
    pub(crate) fn incarnation(&self) -> u64 {
        self.peer.incarnation
    }

    /// Whether frames can still be sent.
    pub(crate) fn is_alive(&self) -> bool {
        !self.frames.is_closed()
    }

    /// Passes on evidence. A link whose queue is full loses it; evidence is sent again in full when a
    /// link is opened.
    pub(crate) fn tell(&self, marks: &[CrashMark]) {
        let _ = self.frames.try_send(ToAgent::Marks(marks.to_vec()));
    }

    /// Hands a request to the agent. An error means that nothing was sent.
    pub(crate) async fn submit(self: &Arc<Self>, mut submit: Submit) -> Option<LinkStream> {
        submit.credit = self.credit;
        self.start(|stream| ToAgent::Submit(stream, Box::new(submit)))
            .await
    }

    /// Asks for a request's stream. `None` means that the link is gone.
    pub(crate) async fn attach(self: &Arc<Self>, mut attach: Attach) -> Option<LinkStream> {
        attach.credit = self.credit;
        self.start(|stream| ToAgent::Attach(stream, attach)).await
    }

    async fn start(self: &Arc<Self>, frame: impl FnOnce(u32) -> ToAgent) -> Option<LinkStream> {
        let permit = self.frames.reserve().await.ok()?;
        let id = self.next.fetch_add(1, Ordering::Relaxed);
        let (tx, rx) = mpsc::channel(self.credit as usize + EXTRA_FRAMES);
        lock(&self.streams).insert(id, tx);
        permit.send(frame(id));
        Some(LinkStream {
            link: self.clone(),
            id,
            rx,
            returned: 0,
            release: Release::Detach,
        })
    }
}

/// What the agent is told when the reader of a stream goes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Release {
    /// The stream may be asked for again.
    Detach,
    /// The request is not wanted any more.
    Cancel,
    /// The stream is over; nothing need be said.
    Nothing,
}

/// One request's frames.
pub(crate) struct LinkStream {
    link: Arc<Link>,
    id: u32,
    rx: mpsc::Receiver<StreamFrame>,
    // Tokens read since credit was last given back; below half the link's credit.
    returned: u32,
    release: Release,
}

impl LinkStream {
    /// The next frame; `None` once the link is gone.
    pub(crate) async fn recv(&mut self) -> Option<StreamFrame> {
        let frame = self.rx.recv().await;
        if matches!(
            frame,
            None | Some(StreamFrame::End { .. } | StreamFrame::NoTrace)
        ) {
            self.release = Release::Nothing;
        }
        frame
    }

    /// Says that the caller has taken so many tokens.
    pub(crate) fn taken(&mut self, tokens: u32) {
        self.returned += tokens;
        if self.returned < self.link.credit / 2 {
            return;
        }
        let credit = ToAgent::Credit(self.id, self.returned);
        if self.link.frames.try_send(credit).is_ok() {
            self.returned = 0;
        }
    }

    /// Sets what the agent is told when this is dropped before its end.
    pub(crate) fn on_drop(&mut self, release: Release) {
        if self.release != Release::Nothing {
            self.release = release;
        }
    }

    /// The incarnation of the agent at the other end.
    pub(crate) fn incarnation(&self) -> u64 {
        self.link.incarnation()
    }
}

impl Drop for LinkStream {
    fn drop(&mut self) {
        lock(&self.link.streams).remove(&self.id);
        let frame = match self.release {
            Release::Detach => ToAgent::Detach(self.id),
            Release::Cancel => ToAgent::Cancel(self.id),
            Release::Nothing => return,
        };
        // A full queue loses this; the agent then ends the stream when its linger time is over.
        let _ = self.link.frames.try_send(frame);
    }
}

fn lock(streams: &Streams) -> std::sync::MutexGuard<'_, HashMap<u32, mpsc::Sender<StreamFrame>>> {
    streams
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner())
}

/// Connects and proves the key both ways. Without a limit of time.
pub(crate) async fn connect(
    address: SocketAddr,
    settings: &LinkSettings,
) -> Result<(TcpStream, Peer)> {
    let mut stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let peer = handshake::connect(&mut stream, &settings.key, &settings.name).await?;
    Ok((stream, peer))
}

/// Reads until the link fails or is silent, and says why it ended.
async fn read_frames(
    reader: OwnedReadHalf,
    streams: &Streams,
    agent: &Name,
    sink: Arc<dyn LoadSink>,
    silent: Duration,
) -> String {
    let mut reader = BufReader::new(reader);
    loop {
        match handshake::read_within(&mut reader, MAX_FRAME, silent).await {
            Ok(ToEntry::Pong(_, load) | ToEntry::Load(load)) => sink.report(agent, load),
            Ok(ToEntry::Marks(marks)) => sink.marks(&marks),
            Ok(ToEntry::Stream(id, frame)) => deliver(streams, id, frame),
            Err(err) => return err.to_string(),
        }
    }
}

fn deliver(streams: &Streams, id: u32, frame: StreamFrame) {
    let mut streams = lock(streams);
    let Some(tx) = streams.get(&id) else {
        return;
    };
    // Credit bounds what an agent may send. One that sends more is faulty: its stream is cut and
    // goes on by index, so that memory stays bounded.
    if tx.try_send(frame).is_err() {
        streams.remove(&id);
    }
}

async fn write_frames(
    writer: OwnedWriteHalf,
    mut queue: mpsc::Receiver<ToAgent>,
    heartbeat: Duration,
    streams: &Streams,
) {
    let mut writer = BufWriter::new(writer);
    let mut beats = tokio::time::interval(heartbeat);
    let mut number = 0;
    let mut idle = 0;
    loop {
        let frame = tokio::select! {
            frame = queue.recv() => frame,
            _ = beats.tick() => {
                number += 1;
                idle = if lock(streams).is_empty() { idle + 1 } else { 0 };
                if idle > IDLE_BEATS {
                    return;
                }
                Some(ToAgent::Ping(number))
            }
        };
        let Some(frame) = frame else { return };
        if handshake::write(&mut writer, &frame).await.is_err() {
            return;
        }
        if queue.is_empty() && writer.flush().await.is_err() {
            return;
        }
    }
}
