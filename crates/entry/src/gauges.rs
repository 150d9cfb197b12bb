//! The controller that shows the queues as metrics, so that one that grows
//! unseen by callers is seen by operators.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use tokio::time::sleep;

use crate::app::App;

const EVERY: Duration = Duration::from_secs(5);
/// A queue whose oldest request has waited for this long is logged.
const LONG_WAIT_MS: u64 = 2_000;

/// Runs until the process ends.
pub(crate) async fn run(app: Arc<App>) {
    loop {
        sleep(EVERY).await;
        let metrics = &app.board.metrics;
        for (target, state) in app.gates.state(Instant::now()) {
            for (customer, &waiting) in &state.waiting_by_customer {
                let oldest_ms = state.oldest_waiting_ms.get(customer).copied().unwrap_or(0);
                metrics.gauge("waiting", customer, waiting as u64);
                metrics.gauge("oldest_waiting_ms", customer, oldest_ms);
                if oldest_ms >= LONG_WAIT_MS {
                    let (customer, target) = (customer.as_str(), format!("{target:?}"));
                    log::warn!(event = "queue_grows", step = "admit", customer, target, waiting, oldest_ms; "requests wait");
                }
            }
        }
    }
}
