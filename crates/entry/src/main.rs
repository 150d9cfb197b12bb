//! The program that serves callers' requests.

mod admission;
mod api;
mod app;
mod call;
mod generate;
mod queue_metrics;
mod response;
mod running;
mod serve;
mod stream;
mod tickets;

use std::process::ExitCode;
use std::sync::Arc;

use bpaf::Parser;
use cassia_node::HELP_HEADER;
use cassia_node::Node;
use cassia_node::Role;
use cassia_node::ServerSettings;
use cassia_node::poll_loads;
use cassia_node::server_flags;
use cassia_node::start_logging;
use cassia_node::start_server;

use crate::app::App;

const SUMMARY: &str =
    "Serves callers' requests: admits them by contract and returns complete responses.";

fn main() -> ExitCode {
    let flags = server_flags().to_options().descr(SUMMARY).header(HELP_HEADER).run();
    flags.run_program("cassia-entry", api::api, run)
}

#[tokio::main]
async fn run(settings: ServerSettings) -> anyhow::Result<()> {
    start_logging()?;
    let mut node = Node::new(settings.node, Role::Entry)?;
    let app = Arc::new(App::new(Arc::clone(&node.state), Arc::clone(&node.platform)));
    node.start(Arc::clone(&app) as _, Arc::clone(&app) as _).await?;
    tokio::spawn(poll_loads(Arc::clone(&node.state), Arc::clone(&node.platform) as _));
    tokio::spawn(queue_metrics::run(Arc::clone(&app)));
    let server = start_server(api::api()?, app, settings.listen)?;
    node.wait_until_drained().await?;
    node.stop(server).await;
    Ok(())
}
