//! The controller that exports the admission queues as metrics, so that
//! operators see a queue grow even while callers notice nothing.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use tokio::time::sleep;

use crate::app::App;

const INTERVAL: Duration = Duration::from_secs(5);
/// A queue whose oldest request has waited for this long is logged.
const LONG_WAIT_MS: u64 = 2_000;

/// Reports the queues until the process ends.
pub(crate) async fn run(app: Arc<App>) {
    loop {
        sleep(INTERVAL).await;
        let metrics = &app.node.metrics;
        for (target, state) in app.admission.state(Instant::now()) {
            for (customer, &waiting) in &state.waiting_by_customer {
                let oldest_ms = state.oldest_waiting_ms.get(customer).copied().unwrap_or(0);
                metrics.gauge("waiting", customer, waiting as u64);
                metrics.gauge("oldest_waiting_ms", customer, oldest_ms);
                if oldest_ms >= LONG_WAIT_MS {
                    let (customer, target) = (customer.as_str(), format!("{target:?}"));
                    log::warn!(event = "queue_grows", step = "admit", customer, target, waiting, oldest_ms; "requests have waited too long for admission");
                }
            }
        }
    }
}
