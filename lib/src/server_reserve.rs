//! Which services have a server to spare for the trial of a suspect.
//!
//! Load pattern: copies of a poison request crash most servers of a small service at the same moment, and callers send it
//! again at once. Without a reserve its next trial takes the last server, and nobody is served until one has restarted.
//!
//! Once two servers have crashed under a request, its trial needs a second server that runs, unless the service has one
//! server only. Most requests in flight at a single crash are sound, and may be tried at the last server; where the crash
//! leaves few, they wait until news of others at the same moment would have arrived. The number of a service's servers is
//! the largest of the last minute, since the directory drops servers that crashed while they restart.

use std::collections::HashMap;
use std::time::Duration;

use crate::copy_type;
use crate::crash_mark::CrashId;
use crate::fingerprint::Fingerprint;
use crate::suspects::Suspects;
use crate::time::Time;

/// How long a server still belongs to its service after it was listed last, at least.
const SIZE_MEMORY: Duration = Duration::from_secs(60);

/// Time after a crash from which a server that is listed unchanged counts as running again. Few restarts take longer.
const MAX_RESTART: Duration = Duration::from_secs(30);

/// Time after a crash until all entries know of others that copies of the same moment caused: their run, a check of the
/// server's port and a message between regions.
const NEWS_TIME: Duration = Duration::from_millis(300);

/// Crashes under a request from which it is kept from the last server: one may have another cause.
const MIN_CRASHES: usize = 2;

/// Share of a service's servers with which trials need not wait for news of further crashes.
const AMPLE_SHARE: f64 = 0.75;

copy_type! {
    /// A server that takes work, as the directory lists it.
    pub struct ListedServer {
        /// The identifier of the next crash of this incarnation.
        pub crash: CrashId,
        /// When it last answered this entry, if it ever did.
        pub answered_at: Option<Time>,
        /// Whether this entry reached it when it tried last.
        pub is_reachable: bool,
    }
}

/// The servers of each service.
#[derive(Debug, Default)]
pub(crate) struct ServerReserve {
    set_at: Option<Time>,
    services: HashMap<Fingerprint, ServiceServers>,
}

#[derive(Debug, Default)]
struct ServiceServers {
    listed: Vec<ListedServer>,
    // The largest number listed since `period_from`, and in the period before it.
    most: usize,
    most_before: usize,
    period_from: Time,
}

impl ServerReserve {
    /// Sets the servers that are listed. A service that is not named has none at the moment.
    pub(crate) fn set_listed(
        &mut self,
        now: Time,
        mut listed: HashMap<Fingerprint, Vec<ListedServer>>,
    ) {
        self.set_at = Some(now);
        for (service, servers) in &mut self.services {
            servers.set_listed(now, listed.remove(service).unwrap_or_default());
        }
        for (service, new) in listed {
            let servers = self.services.entry(service).or_default();
            servers.set_listed(now, new);
        }
        self.services.retain(|_, servers| servers.size() > 0);
    }

    /// Time since the servers were set.
    pub(crate) fn age(&self, now: Time) -> Option<Duration> {
        self.set_at.map(|at| now.since(at))
    }

    /// Whether a request of the service may be tried beside other trials, of so many in all: a server is left for other
    /// requests, or `crashes` under the request are too few to fear for it. Unknown services have one.
    pub(crate) fn allows_trial(
        &self,
        now: Time,
        service: Fingerprint,
        trials: usize,
        crashes: usize,
        suspects: &Suspects,
    ) -> bool {
        let Some(servers) = self.services.get(&service) else {
            return true;
        };
        let running = servers.running(now, suspects);
        let leaves_one = running > trials || crashes < MIN_CRASHES;
        let is_ample = running as f64 >= servers.size() as f64 * AMPLE_SHARE;
        let is_safe = leaves_one && (is_ample || servers.is_news_complete(now, suspects));
        servers.size() <= 1 || is_safe
    }
}

impl ServiceServers {
    fn set_listed(&mut self, now: Time, listed: Vec<ListedServer>) {
        if now.since(self.period_from) >= SIZE_MEMORY {
            self.most_before = std::mem::take(&mut self.most);
            self.period_from = now;
        }
        self.most = self.most.max(listed.len());
        self.listed = listed;
    }

    /// The number of servers that run.
    fn running(&self, now: Time, suspects: &Suspects) -> usize {
        let listed = self.listed.iter();
        let running = listed.filter(|server| server.is_running(now, suspects));
        running.count()
    }

    /// Whether no server crashed so recently that the crash of another one may not be known yet.
    fn is_news_complete(&self, now: Time, suspects: &Suspects) -> bool {
        let crashes = self.listed.iter();
        let crashes = crashes.filter_map(|server| suspects.latest_crash(server.crash));
        let latest = crashes.max();
        latest.is_none_or(|at| now.since(at) >= NEWS_TIME)
    }

    fn size(&self) -> usize {
        self.most.max(self.most_before)
    }
}

impl ListedServer {
    fn is_running(&self, now: Time, suspects: &Suspects) -> bool {
        if !self.is_reachable {
            return false;
        }
        let Some(crashed_at) = suspects.latest_crash(self.crash) else {
            return true;
        };
        let has_answered = self.answered_at.is_some_and(|at| at > crashed_at);
        has_answered || now.since(crashed_at) >= MAX_RESTART
    }
}
