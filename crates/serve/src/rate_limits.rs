//! The rate limit controller: targets that state how many requests a second
//! they accept from all hosts together.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use cassia_ids::TargetId;

use crate::app::App;

/// How often the requests sent to limited targets are logged.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Runs until the process ends.
pub(crate) async fn run(app: Arc<App>) {
    let mut logged: HashMap<TargetId, u64> = HashMap::new();
    loop {
        log_limited(&app, &mut logged);
        tokio::time::sleep(LOG_INTERVAL).await;
    }
}

/// Logs how many requests each limited target got from this process since the
/// last call. Lines of single attempts may be left out under load.
fn log_limited(app: &App, logged: &mut HashMap<TargetId, u64>) {
    let targets = app.state.targets.load();
    let mut counts = HashMap::new();
    for target in targets.all() {
        let Some(limit) = target.rate_limit() else { continue };
        let (id, started) = (&target.info.id, target.started());
        if let Some(before) = logged.get(id) {
            let (target, sent) = (id.as_str(), started - before);
            log::info!(event = "limited_target", step = "limit", target, limit, sent; "requests sent in the last second");
        }
        counts.insert(id.clone(), started);
    }
    *logged = counts;
}
