//! The ownership controller: determines the partitions whose jobs this process
//! runs.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use cassia_clients::Assignment;
use cassia_clients::StoreError;
use cassia_jobs::JOBS_TOPIC;
use cassia_jobs::duty_rank;
use cassia_jobs::lead_partition;
use tokio::task::JoinHandle;

use crate::app::App;
use crate::runner;
use crate::store_contact::StoreContact;

/// Consumer group of the processes that run batch jobs.
const GROUP: &str = "runners";
/// Time without a renewal after which the store reassigns a member's
/// partitions.
const MEMBER_TTL: Duration = Duration::from_millis(1_500);
/// How often the membership is renewed.
const RENEW_INTERVAL: Duration = Duration::from_millis(400);
/// How often it is tried while the store doesn't answer. These calls are small,
/// so they show first that the store is back.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);
const CALL_TIMEOUT: Duration = Duration::from_millis(600);

/// Runs until a planned stop, then leaves the group.
///
/// A host that has lost its links to the targets, while others reach them, is no
/// member meanwhile: they run the jobs and give the orders better.
pub(crate) async fn run(app: Arc<App>) {
    let mut generation = 0;
    let mut has_left = false;
    let mut runners: BTreeMap<u32, JoinHandle<()>> = BTreeMap::new();
    let mut contact = SmallCalls::new(&app);
    while !app.state.is_stopping() {
        let interval = if app.relay.is_cut_off() {
            if !std::mem::replace(&mut has_left, true) {
                set_owned(&app, &mut runners, BTreeSet::new(), generation);
                app.state.duty_rank.store(None);
            }
            // Again each time: the call shows whether the store answers.
            contact.record(&leave(&app).await)
        } else {
            has_left = false;
            let joined = join(&app, generation).await;
            if let Ok(assignment) = &joined {
                generation = assignment.generation;
                take_over(&app, &mut runners, assignment);
            }
            // The partitions are kept until the store reassigns them. If two
            // processes run the same job meanwhile, that only costs work.
            contact.record(&joined)
        };
        app.state.sleep_unless_stopping(interval).await;
    }
    set_owned(&app, &mut runners, BTreeSet::new(), generation);
    if let Err(e) = leave(&app).await {
        log::warn!(event = "leave_failed", step = e.step; "{e}");
    }
    for (_, runner) in runners {
        // Runners end by themselves once their running items are done; the
        // program's stop limit bounds this.
        if let Err(e) = runner.await {
            log::warn!(event = "runner_failed", step = "stop"; "{e}");
        }
    }
}

/// What came of the small calls at intervals, which show first that the store is back.
#[derive(Debug)]
struct SmallCalls {
    store_contact: Arc<StoreContact>,
    has_failed: bool,
}

impl SmallCalls {
    fn new(app: &App) -> Self {
        Self { store_contact: Arc::clone(&app.state.store_contact), has_failed: false }
    }

    /// Records the result of a call; returns the delay before the next one.
    fn record<T>(&mut self, result: &Result<T, StoreError>) -> Duration {
        if let Err(e) = result {
            self.has_failed = true;
            self.store_contact.record_unreachable();
            log::debug!(event = "join_failed", step = e.step; "{e}");
            return RETRY_INTERVAL;
        }
        if std::mem::take(&mut self.has_failed) {
            self.store_contact.record_back(Instant::now());
        }
        RENEW_INTERVAL
    }
}

async fn join(app: &App, generation: u64) -> Result<Assignment, StoreError> {
    let (host, deadline) = (&app.state.host, Instant::now() + CALL_TIMEOUT);
    app.store.join(GROUP, host, JOBS_TOPIC, MEMBER_TTL, generation, deadline).await
}

async fn leave(app: &App) -> Result<(), StoreError> {
    app.store.leave(GROUP, &app.state.host, Instant::now() + CALL_TIMEOUT).await
}

/// Runs the partitions that were assigned to this process.
fn take_over(app: &Arc<App>, runners: &mut BTreeMap<u32, JoinHandle<()>>, assignment: &Assignment) {
    let count = app.settings.store_parts;
    let is_run_here =
        |partition: &u32| assignment.partitions.contains(&lead_partition(*partition, count));
    let owned = (0..count).filter(is_run_here).collect();
    let ranks = assignment.partitions.iter().filter_map(|p| duty_rank(*p, count));
    app.state.duty_rank.store(ranks.min().map(Arc::new));
    set_owned(app, runners, owned, assignment.generation);
}

fn set_owned(
    app: &Arc<App>,
    runners: &mut BTreeMap<u32, JoinHandle<()>>,
    owned: BTreeSet<u32>,
    generation: u64,
) {
    if *app.state.owned.borrow() != owned {
        let partitions = format!("{owned:?}");
        log::info!(event = "owned", step = "join", generation, partitions; "partitions assigned");
        app.state.owned.send_replace(owned.clone());
    }
    runners.retain(|_, runner| !runner.is_finished());
    for partition in owned {
        runners
            .entry(partition)
            .or_insert_with(|| tokio::spawn(runner::run(Arc::clone(app), partition)));
    }
}
