//! One process's view of the members, merged from three sources: the platform's list of hosts, what
//! processes report of themselves, and what others report of them.
//!
//! The list lags by seconds, so a process that trusted it alone would keep sending new work to a
//! leaving process. Gossiped updates and direct contact therefore take precedence over the list;
//! where sources differ, the worst state decides whether a member gets new work. Each update is
//! applied in O(1); `Roster::views` is O(n).

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::copy_type;
use crate::gossip::MemberId;
use crate::gossip::MemberUpdate;
use crate::gossip::ReportedState;
use crate::gossip::StateVersion;
use crate::ids::Name;
use crate::platform::HostRecord;
use crate::platform::HostRole;
use crate::time::Time;
use crate::value_type;

// How long a suspect has to refute the suspicion before it counts as lost. A refutation spreads as
// fast as an update on draining, in less than 2 s.
const REFUTATION_TIMEOUT: Duration = Duration::from_secs(3);

// How long a link counts as down unless the peer is heard from directly. In an availability zone of
// 140 processes, each pings each other one about every three minutes.
const LINK_DOWN_TIMEOUT: Duration = Duration::from_secs(180);

// A member that the platform's list no longer names is removed after this long without news of it.
const UNLISTED_RETENTION: Duration = Duration::from_secs(30);

copy_type! {
    /// State of a member, as one process sees it.
    pub enum MemberState {
        /// Accepts new work.
        Ready,
        /// Accepts no new work and finishes the work it has.
        Draining,
        /// Other processes reach it and this one does not, so no new work is sent over this link.
        Unreachable,
        /// No process that was asked reached it, and it has not refuted the suspicion yet.
        Suspect,
        /// Is about to exit, or has exited.
        Leaving,
        /// Was suspected and did not refute the suspicion in time.
        Lost,
    }
}

value_type! {
    /// Identity, location and role of a process.
    pub struct Member {
        /// Name of the host.
        pub name: Name,
        /// Role of the process.
        pub role: HostRole,
        /// Address at which it is reached, over TCP and UDP.
        pub address: SocketAddr,
        /// Service of its backend server; empty for an entry.
        pub service: Name,
        /// Region of the host.
        pub region: Name,
        /// Availability zone of the host.
        pub zone: Name,
    }

    /// A member and its state.
    pub struct MemberView {
        /// Identity, location and role.
        pub member: Member,
        /// State as this process sees it.
        pub state: MemberState,
    }
}

impl From<&HostRecord> for Member {
    fn from(host: &HostRecord) -> Self {
        Member {
            name: host.name.clone(),
            role: host.role.clone(),
            address: host.address,
            service: host.service.clone(),
            region: host.region.clone(),
            zone: host.zone.clone(),
        }
    }
}

/// Network distance of a member from this process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Distance {
    Zone,
    Region,
    Far,
}

pub(crate) struct Entry {
    // `None` for a member known from gossip that the platform's list does not name yet.
    pub(crate) member: Option<Member>,
    pub(crate) version: StateVersion,
    reported: ReportedState,
    state_since: Time,
    last_heard: Option<Time>,
    link_down_at: Option<Time>,
    listed: bool,
    listed_leaving: bool,
    // Incarnation known when the list marked the member as leaving; zero if none was known.
    leaving_incarnation: u64,
}

impl Entry {
    fn new(now: Time) -> Self {
        Entry {
            member: None,
            version: StateVersion::default(),
            reported: ReportedState::Ready,
            state_since: now,
            last_heard: None,
            link_down_at: None,
            listed: false,
            listed_leaving: false,
            leaving_incarnation: 0,
        }
    }

    fn is_leaving_by_list(&self) -> bool {
        // The list may still refer to a predecessor of the same name.
        let replaced =
            self.leaving_incarnation > 0 && self.version.incarnation > self.leaving_incarnation;
        self.listed_leaving && !replaced
    }

    /// Whether a datagram came from the member itself after `since`.
    pub(crate) fn heard_since(&self, since: Time) -> bool {
        self.last_heard.is_some_and(|at| at > since)
    }

    /// State of the member, from all evidence so far.
    pub(crate) fn state(&self, now: Time) -> MemberState {
        // A member that was heard from after it was suspected is alive, even before its refutation
        // arrives.
        let suspect = self.reported == ReportedState::Suspect
            && self.last_heard.is_none_or(|at| at <= self.state_since);
        if self.reported == ReportedState::Leaving {
            MemberState::Leaving
        } else if suspect && now >= self.state_since + REFUTATION_TIMEOUT {
            MemberState::Lost
        } else if suspect {
            MemberState::Suspect
        } else if self
            .link_down_at
            .is_some_and(|at| now < at + LINK_DOWN_TIMEOUT)
        {
            MemberState::Unreachable
        } else if self.reported == ReportedState::Draining || self.is_leaving_by_list() {
            MemberState::Draining
        } else {
            MemberState::Ready
        }
    }

    /// Returns the current update on the member, unless it reports it as ready.
    fn update(&self, id: MemberId) -> Option<MemberUpdate> {
        (self.reported != ReportedState::Ready).then_some(MemberUpdate {
            id,
            version: self.version,
            reported: self.reported,
        })
    }
}

/// The members known to one process, excluding itself.
pub(crate) struct Roster {
    me: Member,
    entries: HashMap<MemberId, Entry>,
    zone: Vec<MemberId>,
    region: Vec<MemberId>,
    far: Vec<MemberId>,
    // Members that are not ready, from which samples for pings and their answers are taken. May
    // hold members that have become ready again.
    unready: BTreeSet<MemberId>,
}

impl Roster {
    pub(crate) fn new(me: Member) -> Self {
        Roster {
            me,
            entries: HashMap::new(),
            zone: Vec::new(),
            region: Vec::new(),
            far: Vec::new(),
            unready: BTreeSet::new(),
        }
    }

    pub(crate) fn get(&self, id: MemberId) -> Option<&Entry> {
        self.entries.get(&id)
    }

    pub(crate) fn address(&self, id: MemberId) -> Option<SocketAddr> {
        Some(self.entries.get(&id)?.member.as_ref()?.address)
    }

    /// Members at a distance, ordered by identifier.
    pub(crate) fn group(&self, distance: Distance) -> &[MemberId] {
        match distance {
            Distance::Zone => &self.zone,
            Distance::Region => &self.region,
            Distance::Far => &self.far,
        }
    }

    /// Applies a new version of the platform's list of hosts.
    pub(crate) fn update_hosts(&mut self, now: Time, hosts: &[HostRecord]) {
        for entry in self.entries.values_mut() {
            entry.listed = false;
        }
        for host in hosts.iter().filter(|host| host.name != self.me.name) {
            let id = MemberId::new(&host.name);
            let entry = self.entries.entry(id).or_insert_with(|| Entry::new(now));
            entry.listed = true;
            entry.member = Some(host.into());
            if host.leaving && !entry.listed_leaving {
                entry.leaving_incarnation = entry.version.incarnation;
            }
            entry.listed_leaving = host.leaving;
        }
        self.entries.retain(|_, entry| {
            let last = entry
                .last_heard
                .unwrap_or(entry.state_since)
                .max(entry.state_since);
            entry.listed || now < last + UNLISTED_RETENTION
        });
        self.regroup();
    }

    /// Applies an update. Returns whether it changed the reported state.
    pub(crate) fn apply(&mut self, now: Time, update: MemberUpdate) -> bool {
        let entry = self
            .entries
            .entry(update.id)
            .or_insert_with(|| Entry::new(now));
        let newer = update.version > entry.version;
        let worse = update.version == entry.version && update.reported > entry.reported;
        if !newer && !worse {
            return false;
        }
        let changed = entry.reported != update.reported;
        let restarted = update.version.incarnation != entry.version.incarnation;
        entry.version = update.version;
        entry.reported = update.reported;
        entry.state_since = now;
        if restarted {
            entry.link_down_at = None;
        }
        if update.reported != ReportedState::Ready {
            self.unready.insert(update.id);
        }
        changed
    }

    /// Returns the newer update that this process holds if `update` is outdated.
    pub(crate) fn correction(&self, update: MemberUpdate) -> Option<MemberUpdate> {
        let entry = self.entries.get(&update.id)?;
        (update.version < entry.version).then_some(MemberUpdate {
            id: update.id,
            version: entry.version,
            reported: entry.reported,
        })
    }

    /// Applies what a datagram's sender reports of itself. Returns whether it changed the reported
    /// state.
    pub(crate) fn apply_direct(&mut self, now: Time, update: MemberUpdate) -> bool {
        let changed = self.apply(now, update);
        if let Some(entry) = self.entries.get_mut(&update.id)
            && update.version.incarnation >= entry.version.incarnation
        {
            entry.last_heard = Some(now.max(entry.state_since + Duration::from_micros(1)));
            entry.link_down_at = None;
        }
        changed
    }

    /// Records that this process cannot reach a member directly.
    pub(crate) fn mark_link_down(&mut self, now: Time, id: MemberId) {
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.link_down_at = Some(now);
            self.unready.insert(id);
        }
    }

    /// Returns the current update on a member, unless it reports it as ready.
    pub(crate) fn update_for(&self, id: MemberId) -> Option<MemberUpdate> {
        self.entries.get(&id)?.update(id)
    }

    /// Returns up to `most` updates on members that are not ready, starting at a random one.
    pub(crate) fn sample_unready(
        &mut self,
        most: usize,
        rng: &mut fastrand::Rng,
    ) -> Vec<MemberUpdate> {
        let entries = &self.entries;
        let stands = |id: &MemberId| {
            let entry = entries.get(id);
            entry.is_some_and(|e| e.reported != ReportedState::Ready || e.link_down_at.is_some())
        };
        self.unready.retain(stands);
        let start = MemberId::random(rng);
        let ids = self
            .unready
            .range(start..)
            .chain(self.unready.range(..start));
        ids.filter_map(|id| self.update_for(*id))
            .take(most)
            .collect()
    }

    /// Whether a member can be chosen as a peer for gossip.
    pub(crate) fn is_peer(&self, now: Time, id: MemberId) -> bool {
        let state = self.get(id).map(|entry| entry.state(now));
        matches!(
            state,
            Some(MemberState::Ready | MemberState::Draining | MemberState::Unreachable)
        )
    }

    /// Members that are suspected, lost or unreachable and have not been heard from since.
    pub(crate) fn unreached(&self, now: Time) -> impl Iterator<Item = MemberId> {
        self.unready.iter().copied().filter(move |id| {
            let state = self.get(*id).map(|entry| entry.state(now));
            matches!(
                state,
                Some(MemberState::Suspect | MemberState::Lost | MemberState::Unreachable)
            )
        })
    }

    /// Members in the availability zone of `id` that can be chosen as peers.
    pub(crate) fn zone_peers(&self, now: Time, id: MemberId) -> Vec<MemberId> {
        let zone = |id: &MemberId| {
            let member = self.entries.get(id)?.member.as_ref()?;
            Some((&member.region, &member.zone))
        };
        let wanted = zone(&id);
        let groups = [&self.zone, &self.region, &self.far];
        let all = groups.into_iter().flatten().copied();
        all.filter(|other| zone(other) == wanted && self.is_peer(now, *other))
            .collect()
    }

    /// Returns all members whose host record is known, with their states.
    pub(crate) fn views(&self, now: Time) -> Vec<MemberView> {
        let known = self.entries.values();
        let known = known.filter_map(|entry| Some((entry, entry.member.clone()?)));
        known
            .map(|(entry, member)| MemberView {
                member,
                state: entry.state(now),
            })
            .collect()
    }

    fn regroup(&mut self) {
        self.zone.clear();
        self.region.clear();
        self.far.clear();
        for (id, entry) in &self.entries {
            let Some(member) = &entry.member else {
                continue;
            };
            let same_region = member.region == self.me.region;
            if same_region && member.zone == self.me.zone {
                self.zone.push(*id);
            } else if same_region {
                self.region.push(*id);
            } else {
                self.far.push(*id);
            }
        }
        // The iteration order of a hash map differs between runs, and random choices depend on it.
        self.zone.sort_unstable();
        self.region.sort_unstable();
        self.far.sort_unstable();
    }
}
