//! The program that takes callers' requests.

mod answer;
mod api;
mod app;
mod flags;
mod gates;
mod gauges;
mod generate;
mod once;
mod stream;

use std::io::stdout;
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
    let flags = flags::flags().run();
    if flags.openapi {
        return print_openapi();
    }
    let settings = match flags.check() {
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

fn print_openapi() -> ExitCode {
    let version = semver::Version::new(0, 1, 0);
    let printed =
        api::api().and_then(|api| Ok(api.openapi("cassia-entry", version).write(&mut stdout())?));
    if let Err(e) = printed {
        eprintln!("cassia-entry: {e:#}");
        return ExitCode::FAILURE;
    }
    ExitCode::SUCCESS
}

#[tokio::main]
async fn run(settings: Settings) -> anyhow::Result<()> {
    start_logging()?;
    let mut node = Node::new(settings.node, Role::Entry)?;
    let app = Arc::new(App::new(Arc::clone(&node.board), Arc::clone(&node.platform)));
    node.start(Arc::clone(&app) as _, Arc::clone(&app) as _).await?;
    tokio::spawn(poll_loads(Arc::clone(&node.board), Arc::clone(&node.platform) as _));
    tokio::spawn(gauges::run(Arc::clone(&app)));
    let server = api_server(api::api()?, app, settings.listen)?;
    node.until_drained().await?;
    node.stop(server).await;
    Ok(())
}
