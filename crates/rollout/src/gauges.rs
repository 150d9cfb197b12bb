//! The controller that shows the keepers as metrics, and says when a trainer
//! stands still: at night nobody else would notice.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;

use crate::app::App;

const EVERY: Duration = Duration::from_secs(5);
/// A trainer that has waited for its lot for this long is logged.
const LONG_WAIT_MS: u64 = 60_000;

/// Runs until the process ends.
pub(crate) async fn run(app: Arc<App>) {
    loop {
        sleep(EVERY).await;
        let metrics = &app.board.metrics;
        for keeper in app.keepers.state() {
            let (customer, trainer) = (keeper.customer.as_str(), keeper.trainer.as_str());
            metrics.gauge("samples_kept", customer, keeper.done);
            metrics.gauge("samples_running", customer, keeper.running as u64);
            metrics.gauge("trainer_wait_ms", customer, keeper.waits_ms);
            if keeper.waits_ms >= LONG_WAIT_MS {
                let (waits_ms, running) = (keeper.waits_ms, keeper.running);
                log::warn!(event = "trainer_waits", step = "pull", customer, trainer, waits_ms, running; "a trainer waits for its lot");
            }
        }
    }
}
