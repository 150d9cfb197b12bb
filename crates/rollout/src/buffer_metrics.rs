//! The controller that exports the sample buffers as metrics and logs trainers
//! that wait too long, which could go unnoticed overnight.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;

use crate::app::App;

const INTERVAL: Duration = Duration::from_secs(5);
/// A trainer that has waited for its lot for this long is logged.
const LONG_WAIT_MS: u64 = 60_000;

/// Reports the buffers until the process ends.
pub(crate) async fn run(app: Arc<App>) {
    loop {
        sleep(INTERVAL).await;
        let metrics = &app.node.metrics;
        for buffer in app.buffers.state() {
            let (customer, trainer) = (buffer.customer.as_str(), buffer.trainer.as_str());
            metrics.gauge("samples_kept", customer, buffer.finished);
            metrics.gauge("samples_running", customer, buffer.running as u64);
            metrics.gauge("trainer_wait_ms", customer, buffer.wait_ms);
            if buffer.wait_ms >= LONG_WAIT_MS {
                let (wait_ms, running) = (buffer.wait_ms, buffer.running);
                log::warn!(event = "trainer_waits", step = "pull", customer, trainer, waits_ms = wait_ms, running; "a trainer has waited too long for its lot");
            }
        }
    }
}
