//! How long the streams of a relay take: the wait for the first event, and the time between two events.
//!
//! Load pattern: engines of one service differ in speed, slow down as they fill up, and are replaced. Streams last for
//! seconds or minutes, so that few of them end shortly before a relay is stopped, while many are open.
//!
//! Events are timed as they arrive from the engine, so that neither the caller's reading nor the output that it allows
//! counts. Open streams count like ended ones: their events so far, and how long they have been silent.

use std::collections::HashMap;
use std::time::Duration;

use slotmap::SlotMap;

use crate::ids::Name;
use crate::recent_max::Observed;
use crate::recent_max::RecentMax;
use crate::routing::ServerKey;
use crate::time::Time;

/// The fewest gaps from which a mean is taken. Over fewer, events that arrive together hide the gaps.
const MIN_GAPS: u32 = 4;

/// Time over which the gaps of a stream are averaged.
const WINDOW: Duration = Duration::from_secs(1);

/// Maximum number of engines that are remembered. Those without a recent observation make room.
const MAX_ENGINES: usize = 2_048;

slotmap::new_key_type! {
    /// Identifies an open stream.
    pub struct StreamKey;
}

/// A stream that is sent to an engine.
#[derive(Clone, Debug)]
pub struct SentStream {
    /// The caller's identifier, for logs.
    pub id: Name,
    /// Its service.
    pub service: Name,
    /// The engine.
    pub engine: ServerKey,
    /// Prompt length in tokens.
    pub prompt: u32,
    /// On what it was accepted while the relay drains; `None` if it was accepted before.
    pub accepted: Option<AcceptedStream>,
}

/// A stream that was accepted by a relay that drains.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AcceptedStream {
    /// What was left of the grace period.
    pub left: Duration,
    /// Whether the load balancer could still send requests.
    pub is_early: bool,
    /// How long the stream was taken to last; `None` if its time limit alone made it certain to end in time.
    pub expected: Option<Duration>,
    /// On what observations.
    pub evidence: StreamEvidence,
}

/// What is known of the time that a stream at an engine takes.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct StreamEvidence {
    /// The longest recent wait for a first event.
    pub first_event: Option<Observed<Duration>>,
    /// The longest recent mean time between two events at the engine.
    pub gap: Option<Observed<Duration>>,
    /// The longest recent time between two events at the engine.
    pub pause: Duration,
}

impl StreamEvidence {
    /// Adds what the engine's scout reports: the mean time between two events, and the time that few exceed.
    pub fn with_reported_gap(mut self, now: Time, mean: Duration, long: Duration) -> Self {
        if !mean.is_zero() {
            let reported = Observed {
                value: mean,
                at: now,
            };
            self.gap = Some(self.gap.map_or(reported, |gap| longer(gap, now, mean)));
            self.pause = self.pause.max(long);
        }
        self
    }

    /// Adds how long the engine is expected to prefill the prompts that it has.
    pub fn with_prefill_backlog(mut self, backlog: Duration) -> Self {
        if let Some(first) = &mut self.first_event {
            first.value = first.value.max(backlog);
        }
        self
    }
}

/// An open stream.
#[derive(Clone, Debug)]
pub struct OpenStream {
    /// What it is.
    pub sent: SentStream,
    /// When it was sent to an engine first.
    pub sent_at: Time,
    /// Events that have arrived.
    pub events: u64,
    // When the last of them arrived.
    last_event_at: Time,
    // Gaps since the last mean was taken, and when that was.
    gaps: u32,
    window_start: Time,
}

impl OpenStream {
    /// The mean gap in the present window if the next event arrived now; `None` if that says little yet.
    fn running_mean(&self, now: Time) -> Option<Duration> {
        let elapsed = now.since(self.window_start);
        let is_long = elapsed >= WINDOW || self.gaps >= MIN_GAPS;
        is_long.then(|| elapsed / (self.gaps + 1))
    }

    fn is_streaming(&self) -> bool {
        self.events > 0
    }
}

/// Waits for first events at a service.
#[derive(Clone, Copy, Debug, Default)]
struct ServiceWaits {
    waits: RecentMax<Duration>,
    prompts: RecentMax<u32>,
}

/// Gaps between events at an engine.
#[derive(Clone, Copy, Debug, Default)]
struct EngineGaps {
    means: RecentMax<Duration>,
    pauses: RecentMax<Duration>,
    // Time and number of gaps of ended streams from which no mean has been taken yet.
    rest: Duration,
    rest_gaps: u32,
}

/// The timings of a relay's streams.
#[derive(Debug, Default)]
pub struct StreamTimings {
    open: SlotMap<StreamKey, OpenStream>,
    services: HashMap<Name, ServiceWaits>,
    engines: HashMap<ServerKey, EngineGaps>,
}

impl StreamTimings {
    /// Records that a stream was sent.
    pub fn begin(&mut self, now: Time, sent: SentStream) -> StreamKey {
        self.open.insert(OpenStream {
            sent,
            sent_at: now,
            events: 0,
            last_event_at: now,
            gaps: 0,
            window_start: now,
        })
    }

    /// Records that the stream goes on at another engine.
    pub fn move_to(&mut self, key: StreamKey, engine: ServerKey) {
        if let Some(stream) = self.open.get_mut(key) {
            stream.sent.engine = engine;
            (stream.gaps, stream.window_start) = (0, stream.last_event_at);
        }
    }

    /// Records events that arrived together: how many the stream has brought by now.
    pub fn record_events(&mut self, now: Time, key: StreamKey, events: u64) {
        let Some(stream) = self.open.get_mut(key) else {
            return;
        };
        let new = events.saturating_sub(stream.events);
        if new == 0 {
            return;
        }
        let is_first = !stream.is_streaming();
        stream.events = events;
        let silent = now.since(std::mem::replace(&mut stream.last_event_at, now));
        if is_first {
            stream.window_start = now;
            let (wait, prompt) = (now.since(stream.sent_at), stream.sent.prompt);
            let service = self.services.entry(stream.sent.service.clone());
            let service = service.or_default();
            service.waits.record(now, wait);
            service.prompts.record(now, prompt);
            return;
        }
        stream.gaps += u32::try_from(new).unwrap_or(u32::MAX);
        let engine = stream.sent.engine;
        let elapsed = now.since(stream.window_start);
        let mean = (elapsed >= WINDOW).then(|| elapsed / stream.gaps);
        if mean.is_some() {
            (stream.gaps, stream.window_start) = (0, now);
        }
        let gaps = self.engine(now, engine);
        gaps.pauses.record(now, silent);
        if let Some(mean) = mean {
            gaps.means.record(now, mean);
        }
    }

    /// Records that the stream has ended, whichever way.
    pub fn end(&mut self, now: Time, key: StreamKey) {
        let Some(stream) = self.open.remove(key) else {
            return;
        };
        if !stream.is_streaming() {
            // It says how long a wait is at least, but not how long one is.
            if let Some(service) = self.services.get_mut(&stream.sent.service) {
                service.waits.record(now, now.since(stream.sent_at));
            }
            return;
        }
        if stream.gaps == 0 {
            return;
        }
        let gaps = self.engine(now, stream.sent.engine);
        gaps.rest += stream.last_event_at.since(stream.window_start);
        gaps.rest_gaps += stream.gaps;
        if gaps.rest_gaps >= MIN_GAPS {
            gaps.means.record(now, gaps.rest / gaps.rest_gaps);
            (gaps.rest, gaps.rest_gaps) = (Duration::ZERO, 0);
        }
    }

    /// The streams that are open.
    pub fn open_streams(&self) -> impl Iterator<Item = &OpenStream> {
        self.open.values()
    }

    /// What is known of a stream with a prompt of so many tokens at an engine.
    pub fn evidence(
        &mut self,
        now: Time,
        service: &Name,
        engine: ServerKey,
        prompt: u32,
    ) -> StreamEvidence {
        StreamEvidence {
            first_event: self.first_event(now, service, prompt),
            gap: self.gap(now, engine),
            pause: self.pause(now, engine),
        }
    }

    /// Longer prompts than the longest recent one take longer by as much.
    fn first_event(
        &mut self,
        now: Time,
        service: &Name,
        prompt: u32,
    ) -> Option<Observed<Duration>> {
        let waits = self.services.get_mut(service)?;
        let longest_prompt = waits.prompts.longest(now)?.max(1);
        let mut observed = waits.waits.observed(now)?;
        if prompt > longest_prompt {
            observed.value = observed
                .value
                .mul_f64(f64::from(prompt) / f64::from(longest_prompt));
        }
        let open = self.open.values().filter(|stream| !stream.is_streaming());
        let waiting = open.filter(|stream| stream.sent.service == *service);
        Some(waiting.fold(observed, |longest, stream| {
            longer(longest, now, now.since(stream.sent_at))
        }))
    }

    fn gap(&mut self, now: Time, engine: ServerKey) -> Option<Observed<Duration>> {
        let observed = self.engines.get_mut(&engine)?.means.observed(now)?;
        let running = self.streaming_at(engine);
        let means = running.filter_map(|stream| stream.running_mean(now));
        Some(means.fold(observed, |longest, mean| longer(longest, now, mean)))
    }

    fn pause(&mut self, now: Time, engine: ServerKey) -> Duration {
        let engine_gaps = self.engines.get_mut(&engine);
        let observed = engine_gaps.and_then(|gaps| gaps.pauses.longest(now));
        let silences = self.streaming_at(engine);
        let silences = silences.map(|stream| now.since(stream.last_event_at));
        silences.fold(observed.unwrap_or_default(), Duration::max)
    }

    fn streaming_at(&self, engine: ServerKey) -> impl Iterator<Item = &OpenStream> {
        let streaming = self.open.values().filter(|stream| stream.is_streaming());
        streaming.filter(move |stream| stream.sent.engine == engine)
    }

    fn engine(&mut self, now: Time, engine: ServerKey) -> &mut EngineGaps {
        if self.engines.len() >= MAX_ENGINES && !self.engines.contains_key(&engine) {
            self.engines
                .retain(|_, gaps| gaps.pauses.longest(now).is_some());
        }
        self.engines.entry(engine).or_default()
    }
}

/// The longer one of what was observed before, and of what is observed now.
fn longer(before: Observed<Duration>, now: Time, value: Duration) -> Observed<Duration> {
    match before.value >= value {
        true => before,
        false => Observed { value, at: now },
    }
}
