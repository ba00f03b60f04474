//! Supervision of a scout.

use cicada_lib::task_restarts::TaskRestarts;
use tokio::time::sleep;

use crate::scout::Scout;
use crate::supervision::panic_message;
use crate::supervision::run_task;

impl Scout {
    /// Polls the engine and serves subscribers until the process ends. After a panic it goes on with what it knows.
    pub async fn run(mut self) {
        let mut restarts = TaskRestarts::new();
        while let Err(panic) = run_task(self.serve()).await {
            let pause = restarts.record_panic(self.clock.now());
            let panic = panic_message(&*panic);
            tracing::error!(panic, "scout: panicked; it goes on");
            sleep(pause).await;
        }
    }
}
