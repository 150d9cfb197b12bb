//! The program that serves callers and trainers on the platform.

mod accounts;
mod admission;
mod answer;
mod app;
mod attempts;
mod body;
mod call;
mod clock;
mod closed_targets;
mod config;
mod demand;
mod duties;
mod exposure;
mod flags;
mod follow;
mod forward;
mod forwarded_stream;
mod generate;
mod hosts;
mod incarnation;
mod ingress;
mod item;
mod job;
mod job_calls;
mod job_log;
mod job_requests;
mod key_reads;
mod keyed_reader;
mod large_answer;
mod lease_stream;
mod lock;
mod ops;
mod order;
mod ownership;
mod partition_log;
mod quarantine;
mod rate_limits;
mod relay;
mod relay_server;
mod relayed_stream;
mod reports;
mod response;
mod resume;
mod reward;
mod runner;
mod scaling;
mod slot;
mod state;
mod store_contact;
mod stream;
mod submit;
mod target_clients;
mod targets;
mod token_time;
mod unanswered;
mod usage;
mod watched_store;
mod weights;

use std::process::ExitCode;
use std::sync::Arc;

use bpaf::Parser;
use cassia_adapter::HttpStore;
use cassia_clients::ByteBudget;
use cassia_node::HELP_HEADER;
use cassia_node::run_program;
use cassia_node::set_log_host;
use cassia_node::start_logging;
use tokio::runtime::Builder;
use tokio::time::timeout_at;
use tokio_util::task::TaskTracker;

use crate::app::App;
use crate::flags::ServeSettings;
use crate::flags::serve_flags;
use crate::store_contact::StoreContact;
use crate::watched_store::WatchedStore;

const SUMMARY: &str = "Serves callers' requests and trainers' batch jobs on the platform.";
const NAME: &str = "cassia-serve";

fn main() -> ExitCode {
    let flags = serve_flags().to_options().descr(SUMMARY).header(HELP_HEADER).run();
    run_program(NAME, flags.check(), |settings| settings.check_only, start)
}

/// Runs the program on one thread: a host has one core for this process, so
/// more threads would not run in parallel.
fn start(settings: ServeSettings) -> anyhow::Result<()> {
    start_logging()?;
    set_log_host(&settings.host);
    Builder::new_current_thread().enable_all().build()?.block_on(run(settings))
}

async fn run(settings: ServeSettings) -> anyhow::Result<()> {
    let budget = || Arc::new(ByteBudget::new(settings.response_buffer_bytes));
    let response_budget = budget();
    // Answers of targets must not keep the store from being read.
    let store = Arc::new(HttpStore::new(settings.store, budget()));
    let contact = Arc::new(StoreContact::default());
    let store = Arc::new(WatchedStore::new(store, Arc::clone(&contact)));
    let app = Arc::new(App::new(&settings, store, contact, &response_budget));
    log::info!(event = "started", step = "start", host = settings.host.as_str(); "started");
    if settings.has_empty_memory {
        let assumed_mb = settings.memory_mb;
        log::error!(event = "setting_empty", step = "start", flag = "--memory-mb", assumed_mb; "the flag has no value");
    }
    let _ops = settings.ops.map(|addr| ops::start(&app, addr)).transpose()?;
    let server = ingress::start(&settings, &app).await?;
    let mut forwarded = TaskTracker::new();
    if let Some(addr) = settings.relay {
        forwarded = relay_server::start(&app, addr).await?;
        tokio::spawn(hosts::announce(Arc::clone(&app)));
        tokio::spawn(hosts::read_hosts(Arc::clone(&app)));
        tokio::spawn(hosts::check_links(Arc::clone(&app)));
    }
    tokio::spawn(watched_store::probe_partitions(Arc::clone(&app)));
    tokio::spawn(config::run(Arc::clone(&app)));
    tokio::spawn(key_reads::run(Arc::clone(&app)));
    tokio::spawn(targets::run(Arc::clone(&app)));
    tokio::spawn(rate_limits::run(Arc::clone(&app)));
    tokio::spawn(quarantine::read_reports(Arc::clone(&app)));
    tokio::spawn(quarantine::append_reports(Arc::clone(&app)));
    tokio::spawn(resume::read_reports(Arc::clone(&app)));
    tokio::spawn(resume::append_reports(Arc::clone(&app)));
    let runners = TaskTracker::new();
    let ownership = runners.spawn(ownership::run(Arc::clone(&app)));
    let weights = tokio::spawn(weights::run(Arc::clone(&app)));
    if settings.duties.as_ref().is_some_and(|duties| duties.scales) {
        tokio::spawn(demand::run(Arc::clone(&app)));
    }
    let duties = duties::start(&app);
    let usage = usage::start(&app);
    let stop = ingress::wait_for_stop_signal(&app).await?;
    let deadline = stop.ends_at();
    runners.close();
    forwarded.close();
    let other_work = async {
        runners.wait().await;
        forwarded.wait().await;
    };
    server.serve_while(other_work, stop).await;
    // What is left of the time is enough to hand the lease over.
    app.state.drained.send_replace(true);
    server.close(deadline).await;
    // Beyond the limit, requests of other hosts' callers are cut off too.
    let _ = timeout_at(deadline.into(), forwarded.wait()).await;
    // Requests are answered, and counted, while the server closes.
    if let Some(appends) = usage {
        appends.finish(&app, deadline).await;
    }
    let controllers = [(Some(ownership), "runners"), (Some(weights), "orders"), (duties, "duties")];
    for (task, step) in controllers {
        let Some(task) = task else { continue };
        // In an outage of the store, results and the lease can't be handed on.
        // The jobs go on elsewhere without them, and the lease expires.
        match timeout_at(deadline.into(), task).await {
            Ok(ended) => ended?,
            Err(_) => log::warn!(event = "cut_off", step; "aborted at the stop limit"),
        }
    }
    log::info!(event = "stopped", step = "stop"; "stopped");
    log::logger().flush();
    Ok(())
}
