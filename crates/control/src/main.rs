//! The program that orders engines to stage and activate weight versions.

mod app;
mod flags;
mod leases;
mod orders;

use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use cassia_node::NoHandler;
use cassia_node::Node;
use cassia_node::Role;
use cassia_node::run_program;
use cassia_node::start_logging;

use crate::app::App;
use crate::flags::Settings;
use crate::leases::LeaseController;

fn main() -> ExitCode {
    let settings = flags::flags().run().check();
    run_program("cassia-control", settings, |settings| settings.node.check_only, run)
}

#[tokio::main]
async fn run(settings: Settings) -> anyhow::Result<()> {
    start_logging()?;
    let host = settings.node.host.clone();
    let mut node = Node::new(settings.node, Role::Control)?;
    let app = Arc::new(App::new(Arc::clone(&node.state), Arc::clone(&node.platform)));
    node.start(Arc::new(NoHandler), Arc::clone(&app) as _).await?;
    let term = Duration::from_millis(settings.term_ms);
    let leases = LeaseController::new(Arc::clone(&app), Arc::clone(&node.log), host, term);
    let leases = tokio::spawn(leases.run());
    let orders = tokio::spawn(orders::run(Arc::clone(&app)));
    node.wait_until_drained().await?;
    // Orders in flight end first. Then the leases are released, so that another
    // process needn't wait until they expire.
    orders.await?;
    leases.await?;
    node.leave().await;
    Ok(())
}
