//! When a caller that was turned away may come back.
//!
//! Load pattern: all hosts lose power at once and are back within two seconds, and some hundred callers
//! ask meanwhile. Told to come back at once they find no engine a second time, and most of them ask
//! twice at most; told the same time they come back together; told too late a time their first event
//! misses its objective, though engines have been idle for a second.
//!
//! So the time follows from why the caller was turned away, and is spread over as much again and more.

use std::time::Duration;

use crate::copy_type;

/// An engine that is full has a place again when one of its runs ends: one in some hundred ms.
const FULL: (Duration, Duration) = (Duration::from_millis(150), Duration::from_millis(500));

/// Engines that could not be reached are replaced, or named anew by their scouts, within a second of
/// their return. Objectives for the first event are 1.5 s and more: the latest that come back can still
/// be in time.
const UNREACHED: (Duration, Duration) = (Duration::from_millis(500), Duration::from_millis(1_400));

/// Spread of callers whom the limits of servers have turned away, beyond the time that they wait.
const LIMITED: Duration = Duration::from_millis(200);

/// A caller heeds a time of up to a third of what it has left.
const PART: u32 = 3;

copy_type! {
    /// Why a caller was turned away.
    pub enum TurnedAway {
        /// An engine was asked and is full.
        Full,
        /// No engine could be reached.
        Unreached,
        /// The servers name limits, and this entry has sent its share; the next one may be sent after so long.
        Limited(Duration),
        /// No server may have the request until an operator changes that.
        NotAllowed,
    }
}

/// How long a caller that has `left` until its deadline is asked to stay away; `spread` is between 0 and
/// 1, and another one for each caller.
pub fn pause(why: TurnedAway, left: Duration, spread: f64) -> Duration {
    let (least, most) = match why {
        TurnedAway::Full => FULL,
        TurnedAway::Unreached => UNREACHED,
        TurnedAway::Limited(wait) => (wait, wait * 2 + LIMITED),
        TurnedAway::NotAllowed => return left / PART,
    };
    let pause = least + (most - least).mul_f64(spread.clamp(0.0, 1.0));
    pause.min(left / PART)
}
