//! The flags and environment variables of `cassia-rollout`.

use std::net::SocketAddr;

use bpaf::Bpaf;
use cassia_node::Faults;
use cassia_node::NodeFlags;
use cassia_node::NodeSettings;
use cassia_node::SettingsError;
use cassia_node::node_flags;

/// Serves the pulls of trainers: fans groups of samples out to engines and hands whole, fresh lots over.
///
///
/// Every flag can be given as an environment variable instead; the flag wins.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, generate(flags))]
pub(crate) struct Flags {
    /// Where trainers reach this process
    #[bpaf(long, env("CASSIA_LISTEN"), argument("IP:PORT"))]
    listen: Option<String>,
    #[bpaf(external(node_flags))]
    node: NodeFlags,
    /// Print the description of the HTTP interface and exit
    #[bpaf(long)]
    pub(crate) openapi: bool,
}

/// The settings, checked.
#[derive(Clone, Debug)]
pub(crate) struct Settings {
    pub(crate) listen: SocketAddr,
    pub(crate) node: NodeSettings,
}

impl Flags {
    pub(crate) fn check(&self) -> Result<Settings, SettingsError> {
        let mut faults = Faults::default();
        let listen = faults.addr("--listen", self.listen.as_deref());
        let node = self.node.check(&mut faults);
        match (listen, node, faults.into_result()) {
            (Some(listen), Some(node), Ok(())) => Ok(Settings { listen, node }),
            (.., Err(e)) => Err(e),
            (.., Ok(())) => unreachable!("a value that is missing has been noted as a fault"),
        }
    }
}
