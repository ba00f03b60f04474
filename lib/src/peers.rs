//! Chooses the members that datagrams are sent to.

use crate::gossip::MemberId;
use crate::roster::Distance;
use crate::roster::Roster;
use crate::time::Time;

/// Decides which member to ping next.
#[derive(Default)]
pub(crate) struct PingSchedule {
    // Members of this process's availability zone not yet pinged in the current round, shuffled.
    order: Vec<MemberId>,
}

impl PingSchedule {
    /// Returns the next member to ping.
    ///
    /// Pings the members of this process's availability zone in a shuffled round robin, so that none
    /// stays unpinged for long. One ping in five or so goes to another zone or region, because a zone
    /// may have no process left that pings its members.
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
    /// Returns a random peer at the wanted distance, or at another one if it finds none there.
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
