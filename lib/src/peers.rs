//! Which members datagrams go to.

use crate::gossip::MemberId;
use crate::roster::Distance;
use crate::roster::Roster;
use crate::time::Time;

/// Whom to ping next.
#[derive(Default)]
pub(crate) struct Turns {
    // Members of the own availability zone that are yet to be pinged in this round.
    order: Vec<MemberId>,
}

impl Turns {
    /// Each member of the availability zone in turn, so that none goes unpinged for long; now and then
    /// one elsewhere, for zones in which nobody is left to ping the others.
    pub(crate) fn next(
        &mut self,
        now: Time,
        roster: &Roster,
        rng: &mut fastrand::Rng,
    ) -> Option<MemberId> {
        match rng.u8(..20) {
            0 => return roster.pick(now, Distance::Far, rng),
            1..4 => return roster.pick(now, Distance::Region, rng),
            _ => {}
        }
        if self.order.is_empty() {
            self.order = roster.group(Distance::Zone).to_vec();
            rng.shuffle(&mut self.order);
        }
        while let Some(id) = self.order.pop() {
            if roster.is_peer(now, id) {
                return Some(id);
            }
        }
        roster.pick(now, Distance::Region, rng)
    }
}

impl Roster {
    /// A random peer at the distance, or at another one where there is none.
    pub(crate) fn pick(
        &self,
        now: Time,
        wanted: Distance,
        rng: &mut fastrand::Rng,
    ) -> Option<MemberId> {
        let others = [Distance::Zone, Distance::Region, Distance::Far];
        for distance in std::iter::once(wanted).chain(others) {
            let group = self.group(distance);
            for _ in 0..4 {
                match rng.choice(group) {
                    Some(id) if self.is_peer(now, *id) => return Some(*id),
                    _ => {}
                }
            }
        }
        None
    }
}
