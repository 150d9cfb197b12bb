//! Whether a target still is the one that the list names.

use std::time::Duration;
use std::time::Instant;

use cassia_adapter::decode_report;
use cassia_adapter::report_request;
use cassia_route::Target;

use crate::app::App;

/// How long a target's report may take.
const REPORT_TIMEOUT: Duration = Duration::from_millis(250);

/// Returns whether a target has not started again since its entry in the list that this
/// host has read. It may have another version of its software then, under the same id.
///
/// A target that doesn't say counts as the one that is listed.
pub(crate) async fn is_listed(app: &App, target: &Target) -> bool {
    let addr = target.info.addr;
    let Ok(request) = report_request(addr) else { return true };
    let deadline = Instant::now() + REPORT_TIMEOUT;
    let report = match app.clients.reports().fetch("report", addr, request, deadline).await {
        Ok(response) => decode_report(response.body()),
        Err(e) => {
            log::debug!(event = "report_failed", step = e.step, peer = target.info.id.as_str(); "{e}");
            return true;
        }
    };
    let started_ms = report.ok().and_then(|report| report.started_ms);
    let is_listed = started_ms.is_none_or(|started_ms| started_ms == target.info.incarnation);
    if !is_listed {
        let (peer, listed) = (target.info.id.as_str(), target.info.incarnation);
        log::info!(event = "target_restarted", step = "choose", peer, listed, started_ms; "the target has started again since its entry was read");
    }
    is_listed
}
