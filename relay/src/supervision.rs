//! Supervision of the tasks that follow the deployment's state.
//!
//! A task that panics is started again and reads its state anew. While one panics again and again, this relay is not
//! ready: what it knows grows old.

use std::any::Any;
use std::collections::BTreeMap;
use std::future::Future;
use std::panic::AssertUnwindSafe;
use std::sync::Arc;
use std::time::Duration;

use cicada_lib::copy_type;
use cicada_lib::task_restarts::TaskRestarts;
use futures_util::FutureExt;
use tokio::sync::mpsc;
use tokio::time::sleep;

use crate::lock::lock;
use crate::moved_runs::MoveQuery;
use crate::peer_net::PeerNet;
use crate::prefill_groups;
use crate::relay::QueueReceivers;
use crate::relay::Relay;

copy_type! {
    /// A long-lived task of a relay.
    pub(crate) enum RelayTask {
        ConfigWatch,
        ServerWatch,
        EvacuationWatch,
        RelayList,
        PeerPulls,
        PeerMessages,
        PrefillGroups,
    }
}

impl RelayTask {
    /// The name of the task, for logs and counters.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            RelayTask::ConfigWatch => "config_watch",
            RelayTask::ServerWatch => "server_watch",
            RelayTask::EvacuationWatch => "evacuation_watch",
            RelayTask::RelayList => "relay_list",
            RelayTask::PeerPulls => "peer_pulls",
            RelayTask::PeerMessages => "peer_messages",
            RelayTask::PrefillGroups => "prefill_groups",
        }
    }
}

/// The outcome of a task: an error if it panicked.
pub(crate) type TaskEnd = Result<(), Box<dyn Any + Send>>;

/// The restarts of each task that has panicked.
pub(crate) type RestartedTasks = BTreeMap<RelayTask, TaskRestarts>;

/// Runs a task to its end or its panic.
pub(crate) async fn run_task(task: impl Future<Output = ()>) -> TaskEnd {
    // What a task shares with others is behind locks that ignore poisoning.
    AssertUnwindSafe(task).catch_unwind().await
}

/// Exchanges datagrams until the process ends. After a panic it goes on with what is queued.
pub(crate) async fn run_peers(
    mut peers: PeerNet,
    mut move_queries: mpsc::Receiver<MoveQuery>,
    mut pending: QueueReceivers,
) {
    let relay = peers.relay.clone();
    loop {
        let end = run_task(peers.run(&mut move_queries, &mut pending)).await;
        let Some(pause) = relay.record_task_end(RelayTask::PeerMessages, end) else {
            return;
        };
        sleep(pause).await;
    }
}

/// Derives the prefill groups until the process ends.
pub(crate) async fn run_prefill_groups(relay: Arc<Relay>) {
    let groups = || prefill_groups::run(relay.clone());
    relay.supervise(RelayTask::PrefillGroups, groups).await;
}

/// The text of a panic.
pub(crate) fn panic_message(panic: &(dyn Any + Send)) -> &str {
    let text = panic.downcast_ref::<&str>().copied();
    let owned = || panic.downcast_ref::<String>().map(String::as_str);
    text.or_else(owned).unwrap_or("unknown")
}

impl Relay {
    /// Runs a task, and again after each panic, until it ends by itself.
    pub(crate) async fn supervise<T: Future<Output = ()>>(
        &self,
        task: RelayTask,
        start: impl Fn() -> T,
    ) {
        while let Some(pause) = self.record_task_end(task, run_task(start()).await) {
            sleep(pause).await;
        }
    }

    /// Records the end of a task; returns the pause after which it is to be started again, if it panicked.
    pub(crate) fn record_task_end(&self, task: RelayTask, end: TaskEnd) -> Option<Duration> {
        let panic = end.err()?;
        let now = self.now();
        let mut tasks = lock(&self.restarted_tasks);
        let restarts = tasks.entry(task).or_default();
        let pause = restarts.record_panic(now);
        let is_failing = restarts.is_failing(now);
        drop(tasks);
        if task == RelayTask::ServerWatch {
            // Another relay of the region watches in the meantime.
            self.set_watching_directory(false);
        }
        self.metrics().count_task_restart(task.as_str());
        let (task, panic) = (task.as_str(), panic_message(&*panic));
        tracing::error!(
            task,
            panic,
            is_failing,
            "process: a task panicked; it is started again"
        );
        Some(pause)
    }

    /// Whether no task that follows the deployment's state keeps failing. Without prefill groups prompts are placed worse,
    /// but nothing that is known grows old.
    pub(crate) fn is_following(&self) -> bool {
        let now = self.now();
        let tasks = lock(&self.restarted_tasks);
        let mut following = tasks
            .iter()
            .filter(|(task, _)| **task != RelayTask::PrefillGroups);
        following.all(|(_, restarts)| !restarts.is_failing(now))
    }

    /// The tasks that panic again and again.
    pub fn failing_tasks(&self) -> Vec<&'static str> {
        let now = self.now();
        let tasks = lock(&self.restarted_tasks);
        let failing = tasks
            .iter()
            .filter(|(_, restarts)| restarts.is_failing(now));
        failing.map(|(task, _)| task.as_str()).collect()
    }
}
