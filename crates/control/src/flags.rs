//! The flags and environment variables of `cassia-control`.

use bpaf::Bpaf;
use cassia_node::Faults;
use cassia_node::NodeFlags;
use cassia_node::NodeSettings;
use cassia_node::SettingsError;
use cassia_node::node_flags;

/// Orders engines to stage and activate weight versions.
///
///
/// Every flag can be given as an environment variable instead; the flag wins.
/// Any number of these processes may run; for each model, a lease in the log
/// lets only one of them act at a time.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, generate(flags))]
pub(crate) struct Flags {
    /// Lease term, which must be the same for all processes, in milliseconds
    #[bpaf(long, env("CASSIA_LEASE_TERM_MS"), argument("MS"), fallback("9000".to_owned()), display_fallback)]
    lease_term_ms: String,
    #[bpaf(external(node_flags))]
    node: NodeFlags,
}

/// The checked settings.
#[derive(Clone, Debug)]
pub(crate) struct Settings {
    pub(crate) term_ms: u64,
    pub(crate) node: NodeSettings,
}

impl Flags {
    pub(crate) fn check(&self) -> Result<Settings, SettingsError> {
        let mut faults = Faults::default();
        let term_ms = faults.number("--lease-term-ms", &self.lease_term_ms, 300, 600_000);
        let node = self.node.check(&mut faults);
        faults.into_result()?;
        match (term_ms, node) {
            (Some(term_ms), Some(node)) => Ok(Settings { term_ms, node }),
            _ => unreachable!("a missing value has been recorded as a fault"),
        }
    }
}
