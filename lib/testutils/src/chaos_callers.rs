//! The callers of a run under faults: what they send, and what they hold against each answer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use eyre::Result;
use eyre::ensure;
use http::Response;
use serde_json::Value;
use tokio::time::sleep;

use crate::caller::Caller;
use crate::caller::Heard;
use crate::caller::error_of;
use crate::chaos::Shared;
use crate::deployment::KEY;
use crate::token_text;

// As often as a careful caller would send a booking again before it asks a person.
const BOOKING_TRIES: usize = 8;

// A broken stream may be resumed for longer than an entry takes to start again.
const STREAM_TRIES: usize = 20;

const PAUSE: Duration = Duration::from_millis(250);

// The lengths of answers in tokens: from shorter than any fault to longer than most.
const LENGTHS: std::ops::RangeInclusive<usize> = 1..=1_000;

/// What a caller was told of a booking.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Word {
    /// It was served.
    Served,
    /// An error, which says that it ran.
    Ran,
    /// An error, which says that it did not run.
    NotRun,
    /// An error, which says that it may have run.
    Unknown,
    /// No answer came.
    Broken,
}

/// A booking as its caller saw it. Its body is its own.
#[derive(Clone, Debug)]
pub(crate) struct Booking {
    pub(crate) body: String,
    pub(crate) keyed: bool,
    /// One word for each time it was sent.
    pub(crate) words: Vec<Word>,
    /// The last answer's text.
    pub(crate) answer: String,
}

impl Booking {
    /// Whether a sending before the last one got no answer, or was told that it may have run.
    pub(crate) fn was_open(&self) -> bool {
        let earlier = self
            .words
            .split_last()
            .map_or(&[][..], |(_, earlier)| earlier);
        earlier
            .iter()
            .any(|word| matches!(word, Word::Unknown | Word::Broken))
    }
}

struct ChaosCaller {
    shared: Arc<Shared>,
    entries: Vec<SocketAddr>,
    rng: fastrand::Rng,
    name: String,
    count: u64,
}

/// Sends requests of every kind, one after the other, until the run is over.
pub(crate) async fn call_until_over(
    shared: Arc<Shared>,
    entries: Vec<SocketAddr>,
    seed: u64,
    number: u64,
) {
    let mut caller = ChaosCaller {
        shared,
        entries,
        rng: fastrand::Rng::with_seed(seed.wrapping_mul(1_000).wrapping_add(number)),
        name: format!("{seed}-{number}"),
        count: 0,
    };
    while !caller.shared.over() {
        caller.count += 1;
        match caller.rng.u32(0..10) {
            0..4 => caller.stream().await,
            4 => caller.complete().await,
            5..8 => caller.book(true).await,
            8 => caller.book(false).await,
            _ => caller.read().await,
        }
        sleep(Duration::from_millis(caller.rng.u64(0..60))).await;
    }
}

impl ChaosCaller {
    fn any_entry(&mut self) -> Caller {
        let place = self.rng.usize(..self.entries.len());
        Caller::new(self.entries[place], KEY)
    }

    fn prompt(&mut self) -> (String, usize) {
        let tokens = self.rng.usize(LENGTHS);
        let prompt = format!("programme {}-{} len={tokens}", self.name, self.count);
        (prompt, tokens)
    }

    fn broken(&self, prompt: &str, text: &str) {
        self.shared.broken(&format!("{prompt:?}: {text}"));
    }

    async fn stream(&mut self) {
        let (prompt, tokens) = self.prompt();
        let mut heard = Heard::default();
        let mut resumed = false;
        for _ in 0..STREAM_TRIES {
            let part = self.part(&prompt, &heard.last_id).await;
            let Some(part) = part else {
                if heard.last_id.is_empty() {
                    return self.shared.end("stream not begun");
                }
                sleep(PAUSE).await;
                continue;
            };
            resumed |= !heard.last_id.is_empty();
            heard.text.push_str(&part.text);
            heard.done = part.done;
            if !part.last_id.is_empty() {
                heard.last_id = part.last_id;
            }
            if let Some(error) = &part.error {
                self.check_error(&prompt, error);
                heard.error = part.error;
            }
            self.check_stream(&prompt, tokens, &heard);
            if heard.done || heard.error.is_some() || heard.last_id.is_empty() {
                break;
            }
        }
        let end = match (heard.done, resumed) {
            (true, false) => "stream whole",
            (true, true) => "stream whole after it was resumed",
            (false, _) if heard.error.is_some() => "stream ended by an error",
            (false, _) => "stream given up",
        };
        self.shared.end(end);
    }

    /// One connection's part of a stream; `None` where it was not opened.
    async fn part(&mut self, prompt: &str, last_id: &str) -> Option<Heard> {
        let caller = self.any_entry();
        let opened = match last_id {
            "" => caller.stream(prompt).await,
            last_id => caller.resume(prompt, last_id).await,
        };
        let mut stream = opened.ok()?;
        if stream.status.is_success() {
            let mut part = Heard::default();
            let events = self.events();
            stream.hear_some(&mut part, events).await;
            return Some(part);
        }
        let answer = stream.whole().await.ok()?;
        self.check_refusal(prompt, &answer);
        None
    }

    /// How many events a caller listens to before it leaves by itself, to go on at another entry.
    fn events(&mut self) -> usize {
        match self.rng.u32(0..3) {
            0 => self.rng.usize(1..100),
            _ => usize::MAX,
        }
    }

    fn check_stream(&self, prompt: &str, tokens: usize, heard: &Heard) {
        match heard.check(prompt) {
            Err(error) => self.broken(prompt, &format!("{error}")),
            Ok(found) if heard.done && found != tokens => {
                self.broken(prompt, &format!("{found} tokens, and [DONE]"));
            }
            Ok(found) if found > tokens => self.broken(prompt, &format!("{found} tokens")),
            Ok(_) => (),
        }
    }

    async fn complete(&mut self) {
        let (prompt, tokens) = self.prompt();
        let Ok(answer) = self.any_entry().complete(&prompt).await else {
            return self.shared.end("completion without an answer");
        };
        if !answer.status().is_success() {
            self.check_refusal(&prompt, &answer);
            return self.shared.end("completion refused");
        }
        if let Err(error) = check_whole(&prompt, tokens, answer.body()) {
            self.broken(&prompt, &format!("{error}"));
        }
        self.shared.end("completion whole");
    }

    async fn book(&mut self, keyed: bool) {
        let id = format!("{}-{}", self.name, self.count);
        let mut booking = Booking {
            body: format!("{{\"id\":\"{id}\"}}"),
            keyed,
            words: Vec::new(),
            answer: String::new(),
        };
        let tries = if keyed { BOOKING_TRIES } else { 1 };
        for _ in 0..tries {
            let word = self.book_once(&id, &mut booking).await;
            booking.words.push(word.clone());
            if matches!(word, Word::Served | Word::Ran) || self.shared.over() {
                break;
            }
            if keyed {
                sleep(PAUSE).await;
            }
        }
        let kind = if keyed { "keyed" } else { "unkeyed" };
        let last = booking.words.last();
        self.shared.end(&format!("{kind} booking, last {last:?}"));
        self.shared.book(booking);
    }

    async fn book_once(&mut self, id: &str, booking: &mut Booking) -> Word {
        let key = [("idempotency-key", id)];
        let headers: &[_] = if booking.keyed { &key } else { &[] };
        let path = "/services/booking/book";
        let caller = self.any_entry();
        let answer = caller.send("POST", path, headers, &booking.body).await;
        let Ok(answer) = answer else {
            return Word::Broken;
        };
        booking.answer = String::from_utf8_lossy(answer.body()).to_string();
        if answer.status().is_success() {
            return Word::Served;
        }
        match self.check_refusal(id, &answer).as_deref() {
            Some("no") => Word::NotRun,
            Some("yes") => Word::Ran,
            _ => Word::Unknown,
        }
    }

    async fn read(&mut self) {
        let caller = self.any_entry();
        let path = "/services/booking/fonts";
        let Ok(answer) = caller.send("GET", path, &[], "").await else {
            return self.shared.end("read without an answer");
        };
        if answer.status().is_success() {
            return self.shared.end("read served");
        }
        self.check_refusal("a read", &answer);
        self.shared.end("read refused");
    }

    /// What a refusal says of `ran`.
    fn check_refusal(&self, request: &str, answer: &Response<Bytes>) -> Option<String> {
        match error_of(answer) {
            Ok(error) => self.check_error(request, &error),
            Err(error) => {
                let status = answer.status();
                let text = format!("status {status} without an error: {error}");
                self.broken(request, &text);
                None
            }
        }
    }

    fn check_error(&self, request: &str, error: &Value) -> Option<String> {
        let ran = error["ran"].as_str();
        let known = matches!(ran, Some("no" | "yes" | "unknown"));
        if !known || error["code"].as_str().is_none_or(str::is_empty) {
            self.broken(request, &format!("an error without code or ran: {error}"));
        }
        ran.map(str::to_string)
    }
}

fn check_whole(prompt: &str, tokens: usize, body: &[u8]) -> Result<()> {
    let body: Value = serde_json::from_slice(body)?;
    let text = body["choices"][0]["text"].as_str().unwrap_or_default();
    let found = token_text::check_text(prompt, text)?;
    ensure!(found == tokens, "{found} tokens in a whole answer");
    Ok(())
}
