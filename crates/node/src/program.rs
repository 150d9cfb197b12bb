//! Running a program from its flags to its exit code.

use std::io::stdout;
use std::net::SocketAddr;
use std::process::ExitCode;

use bpaf::Bpaf;
use dropshot::ApiDescription;
use dropshot::ServerContext;

use crate::Faults;
use crate::NodeFlags;
use crate::NodeSettings;
use crate::SettingsError;
use crate::node_flags;

/// The exit code for invalid settings.
const BAD_SETTINGS_EXIT_CODE: u8 = 2;
/// The header of every program's help, shown below its usage.
pub const HELP_HEADER: &str =
    "Every flag can be given as an environment variable instead; the flag wins.";

/// The flags of a program that serves HTTP to callers or trainers.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(generate(server_flags))]
pub struct ServerFlags {
    /// Where callers or trainers reach this process
    #[bpaf(long, env("CASSIA_LISTEN"), argument("IP:PORT"))]
    listen: Option<String>,
    #[bpaf(external(node_flags))]
    node: NodeFlags,
    /// Print the description of the HTTP interface and exit
    #[bpaf(long)]
    openapi: bool,
}

/// The validated settings of a program that serves HTTP.
#[derive(Clone, Debug)]
pub struct ServerSettings {
    /// The address that callers or trainers connect to.
    pub listen: SocketAddr,
    /// The settings that all programs share.
    pub node: NodeSettings,
}

impl ServerFlags {
    /// Validates the flags.
    ///
    /// # Errors
    ///
    /// Returns all faults at once.
    pub fn check(&self) -> Result<ServerSettings, SettingsError> {
        let mut faults = Faults::default();
        let listen = faults.addr("--listen", self.listen.as_deref());
        let node = self.node.check(&mut faults);
        faults.into_result()?;
        match (listen, node) {
            (Some(listen), Some(node)) => Ok(ServerSettings { listen, node }),
            _ => unreachable!("a missing value has been added as a fault"),
        }
    }

    /// Runs a program that serves HTTP, or prints the description of its
    /// interface.
    pub fn run_program<C: ServerContext>(
        &self,
        name: &str,
        api: impl FnOnce() -> anyhow::Result<ApiDescription<C>>,
        run: impl FnOnce(ServerSettings) -> anyhow::Result<()>,
    ) -> ExitCode {
        if self.openapi {
            return exit_code(name, api().and_then(|api| print_openapi(name, &api)));
        }
        run_program(name, self.check(), |settings| settings.node.check_only, run)
    }
}

/// Runs a program with its settings, or prints the faults in them.
pub fn run_program<S>(
    name: &str,
    checked: Result<S, SettingsError>,
    check_only: impl FnOnce(&S) -> bool,
    run: impl FnOnce(S) -> anyhow::Result<()>,
) -> ExitCode {
    let settings = match checked {
        Ok(settings) => settings,
        Err(e) => {
            eprintln!("{name}: {e}");
            return ExitCode::from(BAD_SETTINGS_EXIT_CODE);
        }
    };
    if check_only(&settings) {
        println!("settings are good");
        return ExitCode::SUCCESS;
    }
    exit_code(name, run(settings))
}

fn print_openapi<C: ServerContext>(name: &str, api: &ApiDescription<C>) -> anyhow::Result<()> {
    let version = env!("CARGO_PKG_VERSION").parse()?;
    api.openapi(name, version).write(&mut stdout())?;
    Ok(())
}

fn exit_code(name: &str, result: anyhow::Result<()>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("{name}: {e:#}");
            ExitCode::FAILURE
        }
    }
}
