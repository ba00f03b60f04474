//! How an entry asks for trials of suspects, holds them, and grants them where it is the arbiter.
//!
//! Load pattern: as in [`crate::quarantine`], of which this is the exchange with other entries. Answers and ends of trials
//! carry what their sender knows of the suspects, so that a trial rests on the evidence of both.

use std::net::SocketAddr;
use std::time::Duration;

use crate::crash_mark::CrashMark;
use crate::crash_mark::Verdict;
use crate::fingerprint::Fingerprint;
use crate::peer_messages::TrialMessage;
use crate::quarantine::Quarantine;
use crate::suspect_trials::TRIAL_LEASE;
use crate::suspect_trials::TrialEnd;
use crate::suspect_trials::TrialReply;
use crate::suspect_trials::TrialRequest;
use crate::time::Time;

/// Maximum number of marks in a message about a trial. They fit into a datagram.
const MAX_TRIAL_MARKS: usize = 16;

/// Maximum number of messages about trials that wait to be sent.
const MAX_OUTGOING: usize = 1_024;

/// How often a request for a trial is passed on to an entry that is taken for the arbiter.
const MAX_HOPS: u8 = 2;

impl Quarantine {
    /// Ends a trial, or gives up the request for one. `is_unresolved` says that the copy was sent and nothing shows what
    /// became of it.
    pub fn end_trial(&mut self, now: Time, trial: u64, is_unresolved: bool) {
        let Some(request) = self.own.end(trial) else {
            return;
        };
        let end = TrialEnd {
            trial,
            service: request.service,
            marks: self.marks_of(now, &request.suspects),
            suspects: request.suspects,
            is_unresolved,
        };
        let arbiter = self.route.arbiter(now, request.service);
        self.send(now, arbiter, TrialMessage::End(end));
    }

    /// Asks for trials, renews them and grants them, as far as it is due.
    pub fn advance_trials(&mut self, now: Time) {
        self.lost.remove_old(now);
        for request in self.own.take_due(now) {
            let arbiter = self.route.arbiter(now, request.service);
            self.route.record_asked(now, arbiter);
            self.send(now, arbiter, TrialMessage::Request(request));
        }
        self.grant(now);
    }

    fn grant(&mut self, now: Time) {
        let (reserve, suspects) = (&self.reserve, &self.suspects);
        let allows = |request: &TrialRequest, trials| {
            let crashes = suspects.most_crashes(now, &request.suspects);
            reserve.allows_trial(now, request.service, trials, crashes, suspects)
        };
        for request in self.arbiter.take_grants(now, allows) {
            self.reply(now, &request, true);
        }
    }

    /// The messages about trials that are to be sent.
    pub fn take_outgoing(&mut self) -> Vec<(SocketAddr, TrialMessage)> {
        std::mem::take(&mut self.outgoing)
    }

    /// Takes in a message about a trial.
    pub fn handle(&mut self, now: Time, message: TrialMessage) {
        match message {
            TrialMessage::Request(request) => self.handle_request(now, request),
            TrialMessage::Reply(reply) => self.handle_reply(now, reply),
            TrialMessage::End(end) => self.handle_end(now, end),
        }
    }

    fn handle_request(&mut self, now: Time, request: TrialRequest) {
        let arbiter = self.route.arbiter(now, request.service);
        if arbiter != self.route.own() {
            // The arbiter answers the entry itself.
            if request.hops < MAX_HOPS {
                self.route.record_asked(now, arbiter);
                let hops = request.hops + 1;
                let request = TrialRequest { hops, ..request };
                self.send(now, arbiter, TrialMessage::Request(request));
            }
            return;
        }
        let is_paused = self.arbiter.paused_for(now, &request.suspects).is_some();
        if is_paused || self.check(now, &request.suspects).is_err() {
            self.arbiter.end(request.service, request.trial);
            self.reply(now, &request, false);
            return;
        }
        if self.is_cleared(now, &request.suspects) {
            self.arbiter.end(request.service, request.trial);
            self.reply(now, &request, true);
            return;
        }
        if self.route.may_grant_at(request.service) > now {
            self.reply(now, &request, false);
            return;
        }
        let granted = self.arbiter.ask(now, &request);
        self.reply(now, &request, granted);
        self.grant(now);
    }

    fn reply(&mut self, now: Time, request: &TrialRequest, granted: bool) {
        let marks = match self.check(now, &request.suspects) {
            Err(_) => self.marks_of(now, &request.suspects),
            Ok(()) => {
                let cleared = request.suspects.iter().copied();
                let cleared = cleared.filter(|suspect| self.is_cleared(now, &[*suspect]));
                self.marks_of(now, &cleared.collect::<Vec<Fingerprint>>())
            }
        };
        let paused = self.arbiter.paused_for(now, &request.suspects);
        let reply = TrialReply {
            trial: request.trial,
            service: request.service,
            granted,
            paused: paused.map(|pause| pause.as_millis() as u32),
            marks,
        };
        self.send(now, request.entry, TrialMessage::Reply(reply));
    }

    /// Whether servers crashed under these suspects, but not by their fault.
    fn is_cleared(&self, now: Time, suspects: &[Fingerprint]) -> bool {
        self.verdict(now, suspects) == Verdict::Allow && !self.marks_of(now, suspects).is_empty()
    }

    fn handle_reply(&mut self, now: Time, reply: TrialReply) {
        self.suspects.merge(now, &reply.marks);
        if let Some(pause) = reply.paused {
            let pause = Duration::from_millis(pause.into());
            self.own.set_paused(now, reply.trial, pause);
        }
        let is_wanted = self.own.answered(reply.trial, reply.granted);
        if reply.granted && !is_wanted {
            // Given up while the answer was on its way, and its end may have been lost.
            let end = TrialEnd {
                trial: reply.trial,
                service: reply.service,
                suspects: Vec::new(),
                marks: Vec::new(),
                is_unresolved: false,
            };
            let arbiter = self.route.arbiter(now, reply.service);
            self.send(now, arbiter, TrialMessage::End(end));
        }
    }

    fn handle_end(&mut self, now: Time, end: TrialEnd) {
        self.suspects.merge(now, &end.marks);
        let mut suspects = end.suspects.iter();
        if suspects.any(|s| self.suspects.crashed_on_trial_within(now, *s, TRIAL_LEASE)) {
            self.arbiter.record_crash(now, end.service);
        }
        if end.is_unresolved {
            self.arbiter.record_unresolved(now, &end.suspects);
        } else if self.is_cleared(now, &end.suspects) {
            self.arbiter.record_success(&end.suspects);
        }
        self.arbiter.end(end.service, end.trial);
        self.grant(now);
    }

    /// Sends a message, or takes it in if it is for this entry.
    fn send(&mut self, now: Time, to: SocketAddr, message: TrialMessage) {
        if to == self.route.own() {
            self.handle(now, message);
        } else if self.outgoing.len() < MAX_OUTGOING {
            self.outgoing.push((to, message));
        }
    }

    /// The latest marks of suspects, as many of each as a message has room for.
    fn marks_of(&self, now: Time, suspects: &[Fingerprint]) -> Vec<CrashMark> {
        let each = (MAX_TRIAL_MARKS / suspects.len().max(1)).max(1);
        let marks = suspects.iter();
        let marks = marks.flat_map(|suspect| self.suspects.marks_of(now, *suspect, each));
        marks.take(MAX_TRIAL_MARKS).collect()
    }
}
