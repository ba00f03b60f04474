//! Who is there, as one process knows it: the platform's list, what processes say of themselves, and
//! what others say of them.
//!
//! The list lags by seconds, so a leaving process would go on to get new work from everyone who
//! trusts the list alone. Words and direct evidence go above it; of several the worst counts for new
//! work. Everything is O(1) per word; `Roster::views` is O(n).

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::copy_type;
use crate::gossip::Life;
use crate::gossip::MemberId;
use crate::gossip::Said;
use crate::gossip::Word;
use crate::ids::Name;
use crate::platform::HostRecord;
use crate::platform::HostRole;
use crate::time::Time;
use crate::value_type;

// A suspect has this long to object. Its objection travels as fast as a draining word, under 2 s.
const OBJECTION: Duration = Duration::from_secs(3);

// A silent link is believed until the peer is heard, and without any sign for this long: in an
// availability zone of 140 each is pinged by each other one about every three minutes.
const LINK_MEMORY: Duration = Duration::from_secs(180);

// A member that the list no longer names goes once it was not heard of for this long.
const FORGET: Duration = Duration::from_secs(30);

copy_type! {
    /// What a process makes of a member.
    pub enum MemberState {
        /// It takes new work.
        Ready,
        /// It takes no new work and finishes what it has.
        Draining,
        /// Others reach it and this process does not: send no new work over this link.
        Unreachable,
        /// Nobody who was asked reached it, and it has not objected yet.
        Suspect,
        /// It is about to end, or has ended.
        Leaving,
        /// It was suspected and has not objected in time.
        Lost,
    }
}

value_type! {
    /// Where a process is and what it does.
    pub struct Member {
        /// The host's name.
        pub name: Name,
        /// The role.
        pub role: HostRole,
        /// Where it is reached, over TCP and UDP.
        pub address: SocketAddr,
        /// The service of its backend server; empty for an entry.
        pub service: Name,
        /// The region.
        pub region: Name,
        /// The availability zone.
        pub zone: Name,
    }

    /// A member and its state.
    pub struct MemberView {
        /// Where it is and what it does.
        pub member: Member,
        /// What this process makes of it.
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

/// How far away a member is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Distance {
    Zone,
    Region,
    Far,
}

pub(crate) struct Entry {
    // `None` for one that was heard of and is not in the list yet.
    pub(crate) member: Option<Member>,
    pub(crate) life: Life,
    said: Said,
    since: Time,
    heard: Option<Time>,
    link_silent: Option<Time>,
    listed: bool,
    list_leaving: bool,
    // The incarnation that the list's leaving applies to; zero where none was known.
    leaving_life: u64,
}

impl Entry {
    fn new(now: Time) -> Self {
        Entry {
            member: None,
            life: Life::default(),
            said: Said::Ready,
            since: now,
            heard: None,
            link_silent: None,
            listed: false,
            list_leaving: false,
            leaving_life: 0,
        }
    }

    fn is_leaving_by_list(&self) -> bool {
        // The list may still mean a predecessor of the same name.
        let replaced = self.leaving_life > 0 && self.life.incarnation > self.leaving_life;
        self.list_leaving && !replaced
    }

    /// Whether the member itself was heard since then.
    pub(crate) fn heard_since(&self, since: Time) -> bool {
        self.heard.is_some_and(|at| at > since)
    }

    /// What to make of the member.
    pub(crate) fn state(&self, now: Time) -> MemberState {
        // Whoever was heard itself after it was suspected lives, also before its objection arrives.
        let suspect = self.said == Said::Suspect && self.heard.is_none_or(|at| at <= self.since);
        if self.said == Said::Leaving {
            MemberState::Leaving
        } else if suspect && now >= self.since + OBJECTION {
            MemberState::Lost
        } else if suspect {
            MemberState::Suspect
        } else if self.link_silent.is_some_and(|at| now < at + LINK_MEMORY) {
            MemberState::Unreachable
        } else if self.said == Said::Draining || self.is_leaving_by_list() {
            MemberState::Draining
        } else {
            MemberState::Ready
        }
    }

    /// The word that stands, if it is other than ready.
    fn word(&self, id: MemberId) -> Option<Word> {
        (self.said != Said::Ready).then_some(Word {
            id,
            life: self.life,
            said: self.said,
        })
    }
}

/// The members known to one process, itself excluded.
pub(crate) struct Roster {
    me: Member,
    entries: HashMap<MemberId, Entry>,
    zone: Vec<MemberId>,
    region: Vec<MemberId>,
    far: Vec<MemberId>,
    // Those that are not ready, for newcomers; may hold some that are ready again.
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

    /// The members at a distance, in no order.
    pub(crate) fn group(&self, distance: Distance) -> &[MemberId] {
        match distance {
            Distance::Zone => &self.zone,
            Distance::Region => &self.region,
            Distance::Far => &self.far,
        }
    }

    /// Takes in the platform's list.
    pub(crate) fn hosts(&mut self, now: Time, hosts: &[HostRecord]) {
        for entry in self.entries.values_mut() {
            entry.listed = false;
        }
        for host in hosts.iter().filter(|host| host.name != self.me.name) {
            let id = MemberId::new(&host.name);
            let entry = self.entries.entry(id).or_insert_with(|| Entry::new(now));
            entry.listed = true;
            entry.member = Some(host.into());
            if host.leaving && !entry.list_leaving {
                entry.leaving_life = entry.life.incarnation;
            }
            entry.list_leaving = host.leaving;
        }
        self.entries.retain(|_, entry| {
            let last = entry.heard.unwrap_or(entry.since).max(entry.since);
            entry.listed || now < last + FORGET
        });
        self.regroup();
    }

    /// Takes in a word. Returns whether it is news.
    pub(crate) fn hear(&mut self, now: Time, word: Word) -> bool {
        let entry = self
            .entries
            .entry(word.id)
            .or_insert_with(|| Entry::new(now));
        let newer = word.life > entry.life;
        let worse = word.life == entry.life && word.said > entry.said;
        if !newer && !worse {
            return false;
        }
        let changed = entry.said != word.said;
        let restarted = word.life.incarnation != entry.life.incarnation;
        entry.life = word.life;
        entry.said = word.said;
        entry.since = now;
        if restarted {
            entry.link_silent = None;
        }
        if word.said != Said::Ready {
            self.unready.insert(word.id);
        }
        changed
    }

    /// The newer word that this process holds, where `word` is out of date.
    pub(crate) fn correction(&self, word: Word) -> Option<Word> {
        let entry = self.entries.get(&word.id)?;
        (word.life < entry.life).then_some(Word {
            id: word.id,
            life: entry.life,
            said: entry.said,
        })
    }

    /// Takes in that a datagram came from a member itself. Returns whether its word is news.
    pub(crate) fn hear_directly(&mut self, now: Time, word: Word) -> bool {
        let news = self.hear(now, word);
        if let Some(entry) = self.entries.get_mut(&word.id)
            && word.life.incarnation >= entry.life.incarnation
        {
            entry.heard = Some(now.max(entry.since + Duration::from_micros(1)));
            entry.link_silent = None;
        }
        news
    }

    /// Takes in that others reach a member and this process does not.
    pub(crate) fn link_is_silent(&mut self, now: Time, id: MemberId) {
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.link_silent = Some(now);
            self.unready.insert(id);
        }
    }

    /// The word that stands against a member.
    pub(crate) fn word_on(&self, id: MemberId) -> Option<Word> {
        self.entries.get(&id)?.word(id)
    }

    /// Up to `most` words on members that are not ready, at random.
    pub(crate) fn unready(&mut self, most: usize, rng: &mut fastrand::Rng) -> Vec<Word> {
        let entries = &self.entries;
        let stands = |id: &MemberId| {
            let entry = entries.get(id);
            entry.is_some_and(|e| e.said != Said::Ready || e.link_silent.is_some())
        };
        self.unready.retain(stands);
        let start = MemberId::random(rng);
        let ids = self
            .unready
            .range(start..)
            .chain(self.unready.range(..start));
        ids.filter_map(|id| self.word_on(*id)).take(most).collect()
    }

    /// Whether a member may be chosen as a peer for gossip.
    pub(crate) fn is_peer(&self, now: Time, id: MemberId) -> bool {
        let state = self.get(id).map(|entry| entry.state(now));
        matches!(
            state,
            Some(MemberState::Ready | MemberState::Draining | MemberState::Unreachable)
        )
    }

    /// The members that were suspected, or not reached, and have not been heard since.
    pub(crate) fn missing(&self, now: Time) -> impl Iterator<Item = MemberId> {
        self.unready.iter().copied().filter(move |id| {
            let state = self.get(*id).map(|entry| entry.state(now));
            matches!(
                state,
                Some(MemberState::Suspect | MemberState::Lost | MemberState::Unreachable)
            )
        })
    }

    /// The members in the availability zone of `id` that are taken to be there.
    pub(crate) fn neighbours(&self, now: Time, id: MemberId) -> Vec<MemberId> {
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

    /// All members with their states.
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
        // The order of a hash map differs from run to run, and picks depend on it.
        self.zone.sort_unstable();
        self.region.sort_unstable();
        self.far.sort_unstable();
    }
}
