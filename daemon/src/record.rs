//! What an agent keeps of one request, and the readers of its stream.

use std::collections::HashMap;

use cicada_lib::backend::CallAnswer;
use cicada_lib::claims::ClaimTicket;
use cicada_lib::fingerprint::Fingerprint;
use cicada_lib::ids::Attempt;
use cicada_lib::ids::Name;
use cicada_lib::ids::RequestId;
use cicada_lib::outcome::Outcome;
use cicada_lib::scheduler::JobKey;
use cicada_lib::time::Time;
use cicada_lib::transcript::Transcript;
use cicada_lib::wire::StreamFrame;
use cicada_lib::wire::ToEntry;
use cicada_lib::wire::Work;
use slotmap::SlotMap;
use tokio::sync::mpsc;

slotmap::new_key_type! {
    /// A request in the agent's memory.
    pub(crate) struct RecordKey;

    /// A connection from an entry.
    pub(crate) struct ConnKey;
}

/// A workspace's key for a call that must run at most once.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) struct CallKey {
    /// The workspace; two workspaces may use the same text.
    pub(crate) workspace: Name,
    /// The key's text.
    pub(crate) text: String,
}

/// Where a request stands.
#[derive(Debug)]
pub(crate) enum Stage {
    /// The store is asked whether its key is free. Nothing runs yet.
    Claiming,
    /// It waits; only the scheduler can start it.
    Queued(JobKey),
    /// It was handed to the backend server.
    Running(JobKey),
    /// It waits until the engine runs nothing else.
    Suspected,
    /// It runs alone, and the scheduler does not know it.
    Alone,
    /// It was taken over from an agent process that is gone; the scheduler does not know it.
    Adopted,
    /// It is over.
    Ended(Outcome),
}

/// Who reads a stream.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Reader {
    /// The connection.
    pub(crate) conn: ConnKey,
    /// The stream's number on it.
    pub(crate) stream: u32,
    /// The index of the next token to send.
    pub(crate) next: u32,
    /// Tokens that may be sent before more credit comes.
    pub(crate) credit: u32,
}

impl Reader {
    /// A reader that wants tokens from `next` on.
    pub(crate) fn new(conn: ConnKey, stream: u32, next: u32, credit: u32) -> Self {
        Reader {
            conn,
            stream,
            next,
            credit,
        }
    }

    /// Whether it reads on this stream.
    pub(crate) fn is(&self, conn: ConnKey, stream: u32) -> bool {
        self.conn == conn && self.stream == stream
    }
}

/// One request.
pub(crate) struct Record {
    /// The request.
    pub(crate) request: RequestId,
    /// The latest try that came here.
    pub(crate) attempt: Attempt,
    /// The workspace that is charged.
    pub(crate) workspace: Name,
    /// The caller's key for a call that must run at most once.
    pub(crate) call_key: Option<CallKey>,
    /// The right to run such a call; held from the claim to the end.
    pub(crate) ticket: Option<ClaimTicket>,
    /// Other requests that came with the same key and read this record.
    pub(crate) aliases: Vec<RequestId>,
    /// What tells a generation from others; `None` for calls and where the prompt is not known.
    pub(crate) fingerprint: Option<Fingerprint>,
    /// The work; taken when it starts.
    pub(crate) work: Option<Work>,
    /// When the caller no longer wants the answer.
    pub(crate) deadline: Time,
    /// Tokens that the workspace got elsewhere.
    pub(crate) elsewhere: u64,
    /// Where it stands.
    pub(crate) stage: Stage,
    /// The tokens; `None` until the generation starts, and for plain calls.
    pub(crate) transcript: Option<Transcript>,
    /// The answer of a plain call.
    pub(crate) answer: Option<CallAnswer>,
    /// How often it was displaced.
    pub(crate) preemptions: u32,
    /// Who reads it.
    pub(crate) readers: Vec<Reader>,
    /// Since when nobody reads it; `None` while somebody does.
    pub(crate) unread: Option<Time>,
    /// When it ended.
    pub(crate) ended: Option<Time>,
    /// When it came.
    pub(crate) arrived: Time,
}

impl Record {
    /// Whether the backend server has it.
    pub(crate) fn is_running(&self) -> bool {
        matches!(
            self.stage,
            Stage::Running(_) | Stage::Alone | Stage::Adopted
        )
    }

    /// Whether it is over.
    pub(crate) fn is_ended(&self) -> bool {
        matches!(self.stage, Stage::Ended(_))
    }

    /// Notes since when nobody reads it.
    pub(crate) fn note_unread(&mut self, now: Time) {
        if self.readers.is_empty() && self.unread.is_none() {
            self.unread = Some(now);
        }
    }

    /// Whether it may be ended when nobody wants it any more. A call that a plain service runs is
    /// left to end by itself: it cannot be taken back, and its outcome must be known.
    pub(crate) fn is_cancellable(&self) -> bool {
        let running_call = matches!(self.stage, Stage::Running(_)) && self.transcript.is_none();
        !running_call && !self.is_ended()
    }

    /// Whether it is over and every reader has had all of it.
    pub(crate) fn is_read(&self) -> bool {
        self.is_ended() && self.readers.is_empty()
    }
}

struct Conn {
    tx: mpsc::UnboundedSender<ToEntry>,
    // The streams that have not had their end.
    streams: HashMap<u32, RecordKey>,
}

/// The open connections from entries.
#[derive(Default)]
pub(crate) struct Conns {
    conns: SlotMap<ConnKey, Conn>,
}

impl Conns {
    /// Adds a connection. Its channel needs no bound of its own: credit bounds the tokens of each
    /// stream, and [`MAX_STREAMS`] the streams.
    pub(crate) fn add(&mut self, tx: mpsc::UnboundedSender<ToEntry>) -> ConnKey {
        let streams = HashMap::new();
        self.conns.insert(Conn { tx, streams })
    }

    /// Removes a connection, and returns the records that it was reading.
    pub(crate) fn remove(&mut self, conn: ConnKey) -> Vec<RecordKey> {
        self.conns
            .remove(conn)
            .map(|conn| conn.streams.into_values().collect())
            .unwrap_or_default()
    }

    /// Notes which record a stream reads; false where the connection has too many streams.
    pub(crate) fn open(&mut self, conn: ConnKey, stream: u32, record: RecordKey) -> bool {
        let Some(conn) = self.conns.get_mut(conn) else {
            return true;
        };
        if conn.streams.len() >= MAX_STREAMS {
            return false;
        }
        conn.streams.insert(stream, record);
        true
    }

    /// Whether the connection may have one more stream.
    pub(crate) fn has_room(&self, conn: ConnKey) -> bool {
        let conn = self.conns.get(conn);
        conn.is_none_or(|conn| conn.streams.len() < MAX_STREAMS)
    }

    /// The record that a stream reads.
    pub(crate) fn reading(&self, conn: ConnKey, stream: u32) -> Option<RecordKey> {
        self.conns.get(conn)?.streams.get(&stream).copied()
    }

    /// Forgets a stream, and returns the record that it was reading.
    pub(crate) fn release(&mut self, conn: ConnKey, stream: u32) -> Option<RecordKey> {
        self.conns.get_mut(conn)?.streams.remove(&stream)
    }

    /// Sends a frame of a stream, and forgets the stream with its last one. A connection that is
    /// gone loses the frame; its reader attaches anew.
    pub(crate) fn send(&mut self, conn: ConnKey, stream: u32, frame: StreamFrame) {
        if matches!(frame, StreamFrame::End { .. }) {
            self.release(conn, stream);
        }
        self.send_frame(conn, ToEntry::Stream(stream, frame));
    }

    /// Sends a frame.
    pub(crate) fn send_frame(&self, conn: ConnKey, frame: ToEntry) {
        if let Some(conn) = self.conns.get(conn) {
            let _ = conn.tx.send(frame);
        }
    }

    /// Sends a frame on every connection.
    pub(crate) fn broadcast(&self, frame: &ToEntry) {
        for conn in self.conns.values() {
            let _ = conn.tx.send(frame.clone());
        }
    }
}

/// The most streams that one connection may have open.
pub(crate) const MAX_STREAMS: usize = 16_384;

/// The requests that an agent remembers.
#[derive(Default)]
pub(crate) struct Records {
    records: SlotMap<RecordKey, Record>,
    by_request: HashMap<RequestId, RecordKey>,
    // Keyed calls that run, wait, or have an answer.
    by_key: HashMap<CallKey, RecordKey>,
}

impl Records {
    /// Adds a record.
    pub(crate) fn add(&mut self, record: Record) -> RecordKey {
        let request = record.request;
        let call_key = record.call_key.clone();
        let key = self.records.insert(record);
        self.by_request.insert(request, key);
        if let Some(call_key) = call_key {
            self.by_key.insert(call_key, key);
        }
        key
    }

    /// Finds a keyed call.
    pub(crate) fn find_keyed(&self, call_key: &CallKey) -> Option<RecordKey> {
        self.by_key.get(call_key).copied()
    }

    /// Lets another request read a record.
    pub(crate) fn alias(&mut self, request: RequestId, key: RecordKey) {
        if let Some(record) = self.records.get_mut(key) {
            record.aliases.push(request);
            self.by_request.insert(request, key);
        }
    }

    /// Lets later requests with the record's key find it no more.
    pub(crate) fn forget_key(&mut self, key: RecordKey) {
        let call_key = self
            .records
            .get(key)
            .and_then(|record| record.call_key.as_ref());
        if let Some(call_key) = call_key
            && self.by_key.get(call_key) == Some(&key)
        {
            self.by_key.remove(call_key);
        }
    }

    /// Finds a request.
    pub(crate) fn find(&self, request: RequestId) -> Option<RecordKey> {
        self.by_request.get(&request).copied()
    }

    /// A record.
    pub(crate) fn at(&self, key: RecordKey) -> Option<&Record> {
        self.records.get(key)
    }

    /// A record, to change it.
    pub(crate) fn at_mut(&mut self, key: RecordKey) -> Option<&mut Record> {
        self.records.get_mut(key)
    }

    /// Forgets a record.
    pub(crate) fn remove(&mut self, key: RecordKey) -> Option<Record> {
        self.forget_key(key);
        let record = self.records.remove(key)?;
        self.by_request.remove(&record.request);
        for alias in &record.aliases {
            self.by_request.remove(alias);
        }
        Some(record)
    }

    /// Every record.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (RecordKey, &Record)> {
        self.records.iter()
    }

    /// How many there are.
    pub(crate) fn len(&self) -> usize {
        self.records.len()
    }
}
