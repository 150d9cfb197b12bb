//! The program that takes callers' requests.

mod answer;
mod api;
mod app;
mod flags;
mod gates;
mod generate;
mod once;

use std::process::ExitCode;
use std::sync::Arc;

use cassia_node::Node;
use cassia_node::Role;
use cassia_node::api_server;
use cassia_node::poll_loads;
use cassia_node::start_logging;

use crate::app::App;
use crate::flags::Settings;

fn main() -> ExitCode {
    let settings = match flags::flags().run().check() {
        Ok(settings) => settings,
        Err(e) => {
            eprintln!("cassia-entry: {e}");
            return ExitCode::from(2);
        }
    };
    if settings.node.check_only {
        println!("settings are good");
        return ExitCode::SUCCESS;
    }
    match run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("cassia-entry: {e:#}");
            ExitCode::FAILURE
        }
    }
}

#[tokio::main]
async fn run(settings: Settings) -> anyhow::Result<()> {
    start_logging()?;
    let mut node = Node::new(settings.node, Role::Entry)?;
    let app = Arc::new(App::new(Arc::clone(&node.board), Arc::clone(&node.platform)));
    node.start(Arc::clone(&app) as _, Arc::clone(&app) as _).await?;
    tokio::spawn(poll_loads(Arc::clone(&node.board), Arc::clone(&node.platform) as _));
    let server = api_server(api::api()?, app, settings.listen)?;
    node.until_drained().await?;
    node.stop(server).await;
    Ok(())
}
