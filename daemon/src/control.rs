//! The control thread: the one thread that owns control state.
//!
//! Its controllers are level-triggered: each compares what is with what should be and mends the
//! difference, so that a missed event costs time and nothing else. They publish immutable snapshots;
//! traffic threads read those and never wait for this thread.

use std::future::Future;
use std::pin::Pin;

use eyre::Context;

/// What a controller does for as long as the process lives.
pub(crate) type Running = Pin<Box<dyn Future<Output = ()>>>;

/// Keeps one part of the control state as it should be.
pub(crate) trait Controller: Send {
    /// Begins its work, on the control thread.
    fn run(self: Box<Self>) -> Running;
}

/// Starts the control thread with its controllers.
pub(crate) fn start(controllers: Vec<Box<dyn Controller>>) -> eyre::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .wrap_err("control: the runtime could not be started")?;
    std::thread::Builder::new()
        .name("control".into())
        .spawn(move || {
            let local = tokio::task::LocalSet::new();
            local.block_on(&runtime, async move {
                let tasks: Vec<_> = controllers
                    .into_iter()
                    .map(|controller| tokio::task::spawn_local(controller.run()))
                    .collect();
                for task in tasks {
                    if let Err(err) = task.await {
                        tracing::error!(%err, "control: a controller ended");
                    }
                }
            });
        })
        .wrap_err("control: a thread could not be started")?;
    Ok(())
}
