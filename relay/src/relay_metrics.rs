//! Prometheus metrics of a relay.

use std::time::Duration;

use cicada_lib::body_end::Framing;
use cicada_lib::fleet::IdentityNews;
use cicada_lib::fleet_migration::GroupSize;
use cicada_lib::ids::Name;
use cicada_lib::migration::run_stops::Stopper;
use cicada_lib::rejections::Rejections;
use cicada_lib::rejections::Statement;
use cicada_lib::retry_share::RetryUsage;
use prometheus::GaugeVec;
use prometheus::Histogram;
use prometheus::HistogramOpts;
use prometheus::IntCounter;
use prometheus::IntCounterVec;
use prometheus::IntGauge;
use prometheus::IntGaugeVec;
use prometheus::Opts;
use prometheus::Registry;

/// The metrics of a relay. Each counter has one label: the outcome, the reason or a similar category.
#[derive(Clone, Debug)]
pub struct RelayMetrics {
    answers: IntCounterVec,
    body_ends: IntCounterVec,
    refusals: IntCounterVec,
    retries: IntCounterVec,
    sends: IntCounterVec,
    losses: IntCounterVec,
    crashes: IntCounterVec,
    crashed_requests: IntCounterVec,
    trials: IntCounterVec,
    delayed_suspect_news: IntCounter,
    retry_usage: GaugeVec,
    known_entries: IntGauge,
    unreadable_senders: IntGauge,
    unreadable_datagrams: IntCounter,
    moves: IntCounterVec,
    stops: IntCounterVec,
    migrations: IntCounterVec,
    runs_at_risk: IntCounter,
    prefill_groups: IntGaugeVec,
    overdue: IntCounterVec,
    load_probes: IntCounterVec,
    first_events: IntCounterVec,
    open_requests: IntGauge,
    limited_servers: IntGauge,
    loans: IntCounterVec,
    loan_shares: GaugeVec,
    held_bytes: IntGauge,
    leaving: IntCounterVec,
    identities: IntCounterVec,
    silent_watches: IntCounter,
    rejections: IntCounterVec,
    task_restarts: IntCounterVec,
    directory_calls: IntCounterVec,
    datagrams: IntCounterVec,
    datagram_bytes: IntCounterVec,
    rests: IntCounter,
    waits: IntCounterVec,
    first_response_time: Histogram,
    move_gap: Histogram,
    wait_time: Histogram,
}

// Histogram buckets in seconds, from one decoding step of an engine to far beyond what callers wait.
const BUCKETS: &[f64] = &[
    0.005, 0.01, 0.02, 0.05, 0.1, 0.18, 0.3, 0.5, 1.0, 1.8, 3.0, 6.0, 12.0, 40.0,
];

/// Time that a first event may take in addition to prefill: network latency and the decoding steps of running
/// requests.
const FIRST_EVENT_SLACK: Duration = Duration::from_millis(200);

impl RelayMetrics {
    /// Creates and registers the metrics.
    pub fn new(registry: &Registry) -> prometheus::Result<Self> {
        let metrics = RelayMetrics {
            answers: counter("relay_answers_total", "Answers by outcome", "outcome")?,
            body_ends: IntCounterVec::new(
                Opts::new(
                    "relay_body_ends_total",
                    "Ends of the bodies of backend servers' answers, by what delimits the body",
                ),
                &["framing", "end"],
            )?,
            refusals: counter("relay_refusals_total", "Own refusals by reason", "reason")?,
            retries: counter("relay_retries_total", "Further sends by reason", "reason")?,
            sends: counter(
                "relay_sends_total",
                "Requests sent to backend servers, by whether they had been sent before",
                "kind",
            )?,
            losses: counter(
                "relay_losses_total",
                "Requests whose connection was lost at a backend server, by what its port did then",
                "port",
            )?,
            crashes: counter(
                "relay_crashes_total",
                "Requests under which a backend server crashed, by how they ran",
                "exposure",
            )?,
            crashed_requests: counter(
                "relay_crashed_requests_total",
                "Requests under which a backend server crashed, by whether another crash under the same request was known",
                "request",
            )?,
            trials: counter(
                "relay_trials_total",
                "Trials of suspected poison requests that this relay asked for, by outcome",
                "outcome",
            )?,
            delayed_suspect_news: IntCounter::new(
                "relay_delayed_suspect_news_total",
                "Times that news of suspects had to wait since the budget for it was used up",
            )?,
            retry_usage: GaugeVec::new(
                Opts::new(
                    "relay_retry_share",
                    "Retries that a service's limit allows this entry now, and those that can be saved up",
                ),
                &["service", "part"],
            )?,
            unreadable_senders: IntGauge::new(
                "relay_unreadable_senders",
                "Other processes whose messages could not be read lately, as they run another version",
            )?,
            unreadable_datagrams: IntCounter::new(
                "relay_unreadable_datagrams_total",
                "Datagrams of other processes that could not be read",
            )?,
            known_entries: IntGauge::new(
                "relay_known_entries",
                "Entries that share limits, this one included",
            )?,
            moves: counter("relay_moves_total", "Moves of runs by outcome", "outcome")?,
            stops: IntCounterVec::new(
                Opts::new(
                    "relay_run_stops_total",
                    "Stops of runs for a move, by who asks for them and what became of them",
                ),
                &["by", "outcome"],
            )?,
            migrations: IntCounterVec::new(
                Opts::new(
                    "relay_migrations_total",
                    "Moves of runs whose engines stay, by reason and outcome",
                ),
                &["reason", "outcome"],
            )?,
            runs_at_risk: IntCounter::new(
                "relay_runs_at_risk_total",
                "Runs that would probably exceed the longest gap of their route at their engine",
            )?,
            prefill_groups: IntGaugeVec::new(
                Opts::new(
                    "relay_prefill_group_engines",
                    "Engines that prefill new prompts, by zone and service; zero without a group",
                ),
                &["zone", "service"],
            )?,
            overdue: counter(
                "relay_overdue_total",
                "Connections closed as overdue",
                "what",
            )?,
            load_probes: counter(
                "relay_load_asks_total",
                "Questions to scouts before a choice, by how many of those asked answered",
                "answered",
            )?,
            first_events: counter(
                "relay_starts_total",
                "First events, by what the engine was taken to have to read",
                "came",
            )?,
            open_requests: IntGauge::new("relay_open_requests", "Requests that are open")?,
            limited_servers: IntGauge::new(
                "relay_limited_servers",
                "Backend servers that name a limit in their answers",
            )?,
            loans: counter(
                "relay_loans_total",
                "Loans of shares in servers' request limits, by what this relay did or was told",
                "event",
            )?,
            loan_shares: GaugeVec::new(
                Opts::new(
                    "relay_loan_shares",
                    "Equal shares in servers' request limits that this relay has lent, and those that it has borrowed",
                ),
                &["service", "part"],
            )?,
            held_bytes: IntGauge::new(
                "relay_held_bytes",
                "Bytes of request bodies, answers and events that are held for callers",
            )?,
            identities: counter(
                "relay_identities_total",
                "Identifiers of engines that scouts reported: known, in place of a former incarnation, or of a server whose service only the list can tell",
                "news",
            )?,
            leaving: counter(
                "relay_leaving_total",
                "Backend servers that this relay learned to be leaving, but for the directory's list",
                "source",
            )?,
            directory_calls: IntCounterVec::new(
                Opts::new(
                    "relay_directory_calls_total",
                    "Calls to the directory; a list of several pages counts as one",
                ),
                &["call", "outcome"],
            )?,
            datagrams: counter(
                "relay_datagrams_total",
                "Datagrams sent to other processes",
                "kind",
            )?,
            datagram_bytes: counter(
                "relay_datagram_bytes_total",
                "Bytes of these, without headers",
                "kind",
            )?,
            task_restarts: counter(
                "relay_task_restarts_total",
                "Restarts of long-lived tasks that panicked",
                "task",
            )?,
            rejections: counter(
                "relay_rejected_statements_total",
                "Entries, reports and figures in heads that were rejected as unreadable or out of bounds",
                "kind",
            )?,
            silent_watches: IntCounter::new(
                "relay_silent_watches_total",
                "Watches on the configuration that were given up because they were not answered after their wait",
            )?,
            rests: IntCounter::new(
                "relay_rests_total",
                "Refusals by backend servers that asked this relay for rest",
            )?,
            waits: counter(
                "relay_waits_total",
                "Streams that waited for capacity, or were refused that, by what became of them",
                "outcome",
            )?,
            first_response_time: histogram(
                "relay_first_seconds",
                "Time to the first event or the answer",
            )?,
            move_gap: histogram("relay_move_gap_seconds", "Pause of a stream by a move")?,
            wait_time: histogram(
                "relay_wait_seconds",
                "Time that streams waited for capacity, however their wait ended",
            )?,
        };
        registry.register(Box::new(metrics.answers.clone()))?;
        registry.register(Box::new(metrics.body_ends.clone()))?;
        registry.register(Box::new(metrics.refusals.clone()))?;
        registry.register(Box::new(metrics.retries.clone()))?;
        registry.register(Box::new(metrics.sends.clone()))?;
        registry.register(Box::new(metrics.losses.clone()))?;
        registry.register(Box::new(metrics.crashes.clone()))?;
        registry.register(Box::new(metrics.crashed_requests.clone()))?;
        registry.register(Box::new(metrics.trials.clone()))?;
        registry.register(Box::new(metrics.delayed_suspect_news.clone()))?;
        registry.register(Box::new(metrics.retry_usage.clone()))?;
        registry.register(Box::new(metrics.known_entries.clone()))?;
        registry.register(Box::new(metrics.unreadable_senders.clone()))?;
        registry.register(Box::new(metrics.unreadable_datagrams.clone()))?;
        registry.register(Box::new(metrics.moves.clone()))?;
        registry.register(Box::new(metrics.stops.clone()))?;
        registry.register(Box::new(metrics.migrations.clone()))?;
        registry.register(Box::new(metrics.runs_at_risk.clone()))?;
        registry.register(Box::new(metrics.prefill_groups.clone()))?;
        registry.register(Box::new(metrics.overdue.clone()))?;
        registry.register(Box::new(metrics.load_probes.clone()))?;
        registry.register(Box::new(metrics.first_events.clone()))?;
        registry.register(Box::new(metrics.leaving.clone()))?;
        registry.register(Box::new(metrics.identities.clone()))?;
        registry.register(Box::new(metrics.silent_watches.clone()))?;
        registry.register(Box::new(metrics.rejections.clone()))?;
        registry.register(Box::new(metrics.task_restarts.clone()))?;
        registry.register(Box::new(metrics.directory_calls.clone()))?;
        registry.register(Box::new(metrics.datagrams.clone()))?;
        registry.register(Box::new(metrics.datagram_bytes.clone()))?;
        registry.register(Box::new(metrics.rests.clone()))?;
        registry.register(Box::new(metrics.open_requests.clone()))?;
        registry.register(Box::new(metrics.limited_servers.clone()))?;
        registry.register(Box::new(metrics.loans.clone()))?;
        registry.register(Box::new(metrics.loan_shares.clone()))?;
        registry.register(Box::new(metrics.held_bytes.clone()))?;
        registry.register(Box::new(metrics.first_response_time.clone()))?;
        registry.register(Box::new(metrics.move_gap.clone()))?;
        registry.register(Box::new(metrics.waits.clone()))?;
        registry.register(Box::new(metrics.wait_time.clone()))?;
        Ok(metrics)
    }

    pub(crate) fn count_answer(&self, outcome: &str) {
        self.answers.with_label_values(&[outcome]).inc();
    }

    /// Counts the end of an answer's body.
    pub(crate) fn count_body_end(&self, framing: Framing, end: &str) {
        let labels = [framing.as_str(), end];
        self.body_ends.with_label_values(&labels).inc();
    }

    pub(crate) fn count_refusal(&self, reason: &str) {
        self.refusals.with_label_values(&[reason]).inc();
    }

    pub(crate) fn count_retry(&self, reason: &str) {
        self.retries.with_label_values(&[reason]).inc();
    }

    /// Counts a request that is sent to a backend server: `first`, `repeat`, or `moved` if its run continues from memory.
    pub(crate) fn count_send(&self, kind: &str) {
        self.sends.with_label_values(&[kind]).inc();
    }

    /// Counts a request whose connection was lost: `refuses` if the server's process has ended.
    pub(crate) fn count_loss(&self, port: &str) {
        self.losses.with_label_values(&[port]).inc();
    }

    /// Counts a request under which a server crashed.
    pub(crate) fn count_crash(&self, exposure: &str) {
        self.crashes.with_label_values(&[exposure]).inc();
    }

    /// Counts a request under which a server crashed, by whether it had crashed one before.
    pub(crate) fn count_crashed_request(&self, is_known: bool) {
        let request = if is_known { "known" } else { "new" };
        self.crashed_requests.with_label_values(&[request]).inc();
    }

    /// Counts a trial that this relay asked for.
    pub(crate) fn count_trial(&self, outcome: &str) {
        self.trials.with_label_values(&[outcome]).inc();
    }

    /// Counts news of suspects that has to wait.
    pub(crate) fn count_delayed_suspect_news(&self) {
        self.delayed_suspect_news.inc();
    }

    /// Sets the state of a service's retry share.
    pub(crate) fn set_retry_usage(&self, service: &Name, usage: &RetryUsage) {
        let set = |part, value| {
            let gauge = self
                .retry_usage
                .with_label_values(&[service.as_str(), part]);
            gauge.set(value);
        };
        set("capacity", usage.capacity);
        set("level", usage.level);
    }

    /// Sets the number of processes whose messages cannot be read.
    pub(crate) fn set_unreadable_senders(&self, senders: usize) {
        self.unreadable_senders.set(senders as i64);
    }

    /// Counts a datagram that cannot be read.
    pub(crate) fn count_unreadable_datagram(&self) {
        self.unreadable_datagrams.inc();
    }

    /// Sets the number of entries that share limits.
    pub(crate) fn set_known_entries(&self, entries: usize) {
        self.known_entries.set(entries as i64);
    }

    pub(crate) fn count_move(&self, outcome: &str) {
        self.moves.with_label_values(&[outcome]).inc();
    }

    /// Counts a stop of a run that was asked for, or what became of it.
    pub(crate) fn count_stop(&self, by: Stopper, outcome: &str) {
        self.stops.with_label_values(&[by.as_str(), outcome]).inc();
    }

    /// Counts a move of a run whose engine stays, or why there was none.
    pub(crate) fn count_migration(&self, reason: &str, outcome: &str) {
        self.migrations.with_label_values(&[reason, outcome]).inc();
    }

    /// Counts a run that was found at risk.
    pub(crate) fn count_run_at_risk(&self) {
        self.runs_at_risk.inc();
    }

    /// Sets the sizes of the prefill groups.
    pub(crate) fn set_prefill_groups(&self, sizes: &[GroupSize]) {
        self.prefill_groups.reset();
        for size in sizes {
            let labels = [size.zone.as_str(), size.service.as_str()];
            let gauge = self.prefill_groups.with_label_values(&labels);
            gauge.set(size.members as i64);
        }
    }

    pub(crate) fn count_overdue(&self, what: &str) {
        self.overdue.with_label_values(&[what]).inc();
    }

    /// Counts a round of load probes by whether none, some or all of the `sent` probes were answered in time.
    pub(crate) fn count_load_probes(&self, sent: usize, answered: usize) {
        let label = match answered {
            0 => "none",
            answered if answered < sent => "some",
            _ => "all",
        };
        self.load_probes.with_label_values(&[label]).inc();
    }

    /// Counts a first event by whether it took much longer than the `expected` time for prefill.
    pub(crate) fn count_first_event(&self, expected: Duration, took: Duration) {
        let label = match took > expected * 2 + FIRST_EVENT_SLACK {
            true => "much_later",
            false => "as_expected",
        };
        self.first_events.with_label_values(&[label]).inc();
    }

    pub(crate) fn observe_first_response(&self, time: Duration) {
        self.first_response_time.observe(time.as_secs_f64());
    }

    pub(crate) fn observe_move_gap(&self, time: Duration) {
        self.move_gap.observe(time.as_secs_f64());
    }

    /// Counts what became of a stream that was to wait for capacity.
    pub(crate) fn count_wait(&self, outcome: &str) {
        self.waits.with_label_values(&[outcome]).inc();
    }

    pub(crate) fn observe_wait(&self, time: Duration) {
        self.wait_time.observe(time.as_secs_f64());
    }

    /// Counts a watch on the configuration that was given up as silent.
    pub(crate) fn count_silent_watch(&self) {
        self.silent_watches.inc();
    }

    /// Counts an identifier that a scout reported of its engine.
    pub(crate) fn count_identity(&self, news: IdentityNews) {
        self.identities.with_label_values(&[news.as_str()]).inc();
    }

    /// Counts a server that is leaving by the source that told so first.
    pub(crate) fn count_leaving(&self, source: &str) {
        self.leaving.with_label_values(&[source]).inc();
    }

    /// Counts a call to the directory by its kind and outcome.
    pub(crate) fn count_directory_call(&self, call: &str, outcome: &str) {
        self.directory_calls
            .with_label_values(&[call, outcome])
            .inc();
    }

    /// Counts a restart of a long-lived task.
    pub(crate) fn count_task_restart(&self, task: &str) {
        self.task_restarts.with_label_values(&[task]).inc();
    }

    /// Sets the number of statements that were rejected since the start.
    pub fn set_rejections(&self, rejections: &Rejections) {
        for statement in Statement::ALL {
            let counter = self.rejections.with_label_values(&[statement.as_str()]);
            counter.inc_by(rejections.count(statement).saturating_sub(counter.get()));
        }
    }

    /// Counts datagrams of a kind that were sent, and their bytes.
    pub(crate) fn count_datagrams(&self, kind: &str, datagrams: usize, bytes: usize) {
        let (count, sum) = (datagrams as u64, (datagrams * bytes) as u64);
        self.datagrams.with_label_values(&[kind]).inc_by(count);
        self.datagram_bytes.with_label_values(&[kind]).inc_by(sum);
    }

    /// Counts a refusal that asks for rest.
    pub(crate) fn count_rest(&self) {
        self.rests.inc();
    }

    /// Sets the number of backend servers that announce a limit.
    pub(crate) fn set_limited_servers(&self, servers: usize) {
        self.limited_servers.set(servers as i64);
    }

    /// Counts a message about loans: `asked`, `borrowed`, `refused` or `ignored` at a borrower, `lent` or `denied` at a
    /// lender.
    pub(crate) fn count_loan(&self, event: &str) {
        self.loans.with_label_values(&[event]).inc();
    }

    /// Sets the equal shares of a service that are lent and borrowed.
    pub(crate) fn set_loan_shares(&self, service: &Name, lent: f64, borrowed: f64) {
        for (part, value) in [("lent", lent), ("borrowed", borrowed)] {
            let labels = [service.as_str(), part];
            self.loan_shares.with_label_values(&labels).set(value);
        }
    }

    /// Sets the bytes that are held for callers.
    pub fn set_held_bytes(&self, bytes: usize) {
        self.held_bytes.set(bytes as i64);
    }

    /// The gauge of open requests.
    pub fn open_requests(&self) -> &IntGauge {
        &self.open_requests
    }
}

fn counter(name: &str, help: &str, label: &str) -> prometheus::Result<IntCounterVec> {
    IntCounterVec::new(Opts::new(name, help), &[label])
}

fn histogram(name: &str, help: &str) -> prometheus::Result<Histogram> {
    Histogram::with_opts(HistogramOpts::new(name, help).buckets(BUCKETS.to_vec()))
}
