//! The ownership controller: which partitions' jobs this process runs.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use cassia_jobs::JOBS_TOPIC;
use tokio::task::JoinHandle;

use crate::app::App;
use crate::runner;

/// The group of the processes that run batch jobs.
const GROUP: &str = "runners";
/// After this much silence the store gives a member's partitions to others.
const MEMBER_TTL: Duration = Duration::from_millis(1_500);
/// How often membership is renewed.
const EVERY: Duration = Duration::from_millis(400);
const CALL_TIMEOUT: Duration = Duration::from_millis(600);

/// Runs until a planned stop, and leaves the group then.
pub(crate) async fn run(app: Arc<App>) {
    let mut generation = 0;
    let mut runners: BTreeMap<u32, JoinHandle<()>> = BTreeMap::new();
    while !app.board.is_stopping() {
        let deadline = Instant::now() + CALL_TIMEOUT;
        let joined = app
            .store
            .join(GROUP, &app.board.host, JOBS_TOPIC, MEMBER_TTL, generation, deadline)
            .await;
        match joined {
            Ok(assignment) => {
                generation = assignment.generation;
                let owned = assignment.partitions.into_iter().collect();
                take(&app, &mut runners, owned, generation);
            }
            // The store moves partitions by itself; until it says so they stay
            // here. Two processes that run the same job cost work, no more.
            Err(e) => log::debug!(event = "join_failed", step = e.step; "{e}"),
        }
        app.board.pause(EVERY).await;
    }
    take(&app, &mut runners, BTreeSet::new(), generation);
    let deadline = Instant::now() + CALL_TIMEOUT;
    if let Err(e) = app.store.leave(GROUP, &app.board.host, deadline).await {
        log::warn!(event = "leave_failed", step = e.step; "{e}");
    }
    for (_, runner) in runners {
        // What runs ends by itself; the program's stop limit bounds it.
        if let Err(e) = runner.await {
            log::warn!(event = "runner_failed", step = "stop"; "{e}");
        }
    }
}

fn take(
    app: &Arc<App>,
    runners: &mut BTreeMap<u32, JoinHandle<()>>,
    owned: BTreeSet<u32>,
    generation: u64,
) {
    if *app.board.owned.borrow() != owned {
        let partitions = format!("{owned:?}");
        log::info!(event = "owned", step = "join", generation, partitions; "partitions");
        app.board.owned.send_replace(owned.clone());
    }
    runners.retain(|_, runner| !runner.is_finished());
    for partition in owned {
        runners
            .entry(partition)
            .or_insert_with(|| tokio::spawn(runner::run(Arc::clone(app), partition)));
    }
}
