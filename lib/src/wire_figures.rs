//! Bounds of the figures that servers, other processes and writers of the directory state.
//!
//! Load pattern: one writer states a figure out of any proportion, such as a time of 1e300 ms or four billion waiting
//! requests. Arithmetic with it overflows, or memory is reserved for it, and what reads it ends.
//!
//! Each figure is therefore compared with its bound where it is read, and the whole statement is rejected if one of its
//! figures is out of bounds: the others were probably written by the same mistake. The bounds lie far beyond what any
//! deployment needs, and sums and products of figures within them fit into 64 bits.

use std::time::Duration;

use thiserror::Error;

use crate::dialect::EngineReport;
use crate::site::ServerChange;
use crate::site::ServerChanges;
use crate::site::ServerListing;
use crate::site::ServerRecord;
use crate::site::SiteConfig;

/// The longest time. Its milliseconds fit into the 32 bits that datagrams have for them.
pub const MAX_TIME: Duration = Duration::from_secs(30 * 24 * 3_600);

/// The largest number of requests that wait, or run, at one server. Forecasts reserve memory for each of them.
pub const MAX_REQUESTS: u32 = 65_536;

/// The largest number of requests that a server runs concurrently.
pub const MAX_SLOTS: u32 = 1_000_000;

/// The largest number of tokens, or of events, of one request or in the memory of one engine.
pub const MAX_TOKENS: u64 = 1 << 36;

/// The largest sum of the tokens of several requests.
pub const MAX_TOKEN_SUM: u64 = 1 << 56;

/// The largest memory of one token in bytes.
pub const MAX_TOKEN_BYTES: u64 = 1 << 26;

/// The largest rate per second, bandwidth in megabits per second, or weight.
pub const MAX_RATE: f64 = 1e9;

/// The largest number of bytes of a request's head or body.
pub const MAX_BYTES: u64 = 1 << 40;

/// The largest version of a configuration: no later one could follow the largest integer.
pub const MAX_VERSION: u64 = 1 << 53;

/// A figure outside its bounds.
#[derive(Clone, Debug, Error, PartialEq)]
#[error("{field} is {value:e}, outside 0 to {max:e}; correct it where it is written")]
pub struct FigureError {
    field: &'static str,
    value: f64,
    max: f64,
}

impl FigureError {
    /// The name of the figure.
    pub fn field(&self) -> &'static str {
        self.field
    }
}

/// The result of checking a figure.
pub type Result<T> = std::result::Result<T, FigureError>;

/// Checks a whole number.
pub fn at_most(field: &'static str, value: impl Into<u64>, max: impl Into<u64>) -> Result<()> {
    let (value, max) = (value.into(), max.into());
    match value <= max {
        true => Ok(()),
        false => Err(FigureError {
            field,
            value: value as f64,
            max: max as f64,
        }),
    }
}

/// Checks a number that may have a fraction.
pub fn amount(field: &'static str, value: f64, max: f64) -> Result<f64> {
    match (0.0..=max).contains(&value) {
        true => Ok(value),
        false => Err(FigureError { field, value, max }),
    }
}

/// Checks a number that may be written with a fraction, and returns it without.
pub fn whole(field: &'static str, value: f64, max: u64) -> Result<u64> {
    Ok(amount(field, value, max as f64)? as u64)
}

/// Checks a time in milliseconds. A negative one is over, and counts as zero.
pub fn millis(field: &'static str, ms: f64) -> Result<Duration> {
    let size = amount(field, ms.abs(), MAX_TIME.as_secs_f64() * 1_000.0)?;
    match ms < 0.0 {
        true => Ok(Duration::ZERO),
        false => Ok(Duration::from_secs_f64(size / 1_000.0)),
    }
}

/// Checks a time in seconds, like [`millis`].
pub fn seconds(field: &'static str, seconds: f64) -> Result<Duration> {
    millis(field, seconds * 1_000.0)
}

fn time(field: &'static str, time: Duration) -> Result<()> {
    amount(field, time.as_secs_f64(), MAX_TIME.as_secs_f64()).map(|_| ())
}

/// A statement whose figures have bounds.
pub trait CheckFigures {
    /// Compares each figure with its bound.
    fn check_figures(&self) -> Result<()>;
}

impl CheckFigures for ServerRecord {
    fn check_figures(&self) -> Result<()> {
        at_most("slots", self.slots, MAX_SLOTS)?;
        time("cold", self.cold)
    }
}

impl CheckFigures for ServerListing {
    fn check_figures(&self) -> Result<()> {
        self.servers
            .iter()
            .try_for_each(ServerRecord::check_figures)
    }
}

impl CheckFigures for ServerChanges {
    fn check_figures(&self) -> Result<()> {
        self.changes.iter().try_for_each(|change| match change {
            ServerChange::Put(record) => record.check_figures(),
            ServerChange::Gone(_) => Ok(()),
        })
    }
}

impl CheckFigures for SiteConfig {
    fn check_figures(&self) -> Result<()> {
        at_most("version", self.version, MAX_VERSION)?;
        for route in &self.routes {
            time("timeout", route.timeout)?;
            time("objective", route.objective)?;
            time("event gap", route.event_gap)?;
        }
        for service in self.services.values() {
            time("cold period", service.cold.period)?;
            amount("cold rate", service.cold.rate, MAX_RATE)?;
            if let Some(engine) = &service.engine {
                at_most("slots", engine.slots, MAX_SLOTS)?;
                at_most("capacity", engine.capacity, MAX_TOKENS)?;
                at_most("bytes per token", engine.bytes_per_token, MAX_TOKEN_BYTES)?;
                amount("link bandwidth", engine.link_mbps, MAX_RATE)?;
                at_most("tokens per event", engine.tokens_per_event, MAX_REQUESTS)?;
            }
        }
        let limits = &self.limits;
        at_most("header bytes", limits.max_header_bytes as u64, MAX_BYTES)?;
        at_most("body bytes", limits.max_body_bytes as u64, MAX_BYTES)?;
        time("header timeout", limits.header_timeout)?;
        time("idle timeout", limits.idle_timeout)
    }
}

impl CheckFigures for EngineReport {
    fn check_figures(&self) -> Result<()> {
        at_most("queued", self.queued, MAX_REQUESTS)?;
        at_most("active", self.running, MAX_REQUESTS)?;
        at_most("reading", self.reading, 2 * MAX_REQUESTS)?;
        at_most("used", self.used, MAX_TOKENS)?;
        at_most("capacity", self.capacity, MAX_TOKENS)?;
        at_most("runs", self.runs.len() as u64, MAX_REQUESTS)?;
        for run in &self.runs {
            at_most("tokens of a run", run.tokens, MAX_TOKENS)?;
            at_most("events of a run", run.events, MAX_TOKENS)?;
        }
        self.leaves.map_or(Ok(()), |leaves| time("leaves", leaves))
    }
}
