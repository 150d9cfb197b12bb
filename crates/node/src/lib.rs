//! The runtime that all programs share: settings, logs, metrics, state dump,
//! peers and configuration.
//!
//! A process consists of shared state and controllers that read and write it;
//! no controller calls another. How a program handles requests is up to the
//! program.
//!
//! ```
//! use cassia_node::Faults;
//!
//! let mut faults = Faults::default();
//! assert!(faults.addr("--link", Some("localhost")).is_none());
//! assert!(faults.into_result().unwrap_err().to_string().contains("--link"));
//! ```

mod api_error;
mod backoff;
mod config;
mod gossip;
mod link;
mod link_message;
mod loads;
mod logging;
mod metrics;
mod ops;
mod program;
mod run;
mod settings;
mod state;
mod targets;

pub use crate::api_error::ApiError;
pub use crate::api_error::ApiErrorKind;
pub use crate::backoff::ReadBackoff;
pub use crate::link::LinkHandler;
pub use crate::link::NoHandler;
pub use crate::link::call_peer;
pub use crate::link_message::ConfigRequest;
pub use crate::link_message::ConfigResponse;
pub use crate::link_message::LinkRequest;
pub use crate::link_message::LinkResponse;
pub use crate::link_message::PeerRequest;
pub use crate::link_message::PeerResponse;
pub use crate::link_message::PullRequest;
pub use crate::link_message::RedeemRequest;
pub use crate::link_message::RelayedResponse;
pub use crate::link_message::StreamRecord;
pub use crate::link_message::TakeOverRequest;
pub use crate::link_message::TargetsRequest;
pub use crate::link_message::TargetsResponse;
pub use crate::loads::poll_loads;
pub use crate::logging::Allowed;
pub use crate::logging::LineBudget;
pub use crate::logging::RateLimit;
pub use crate::logging::set_log_host;
pub use crate::logging::start_logging;
pub use crate::metrics::Metrics;
pub use crate::metrics::MetricsPage;
pub use crate::ops::Dump;
pub use crate::program::HELP_HEADER;
pub use crate::program::ServerFlags;
pub use crate::program::ServerSettings;
pub use crate::program::run_program;
pub use crate::program::server_flags;
pub use crate::run::Node;
pub use crate::run::read_body;
pub use crate::run::start_server;
pub use crate::settings::Faults;
pub use crate::settings::NodeFlags;
pub use crate::settings::NodeSettings;
pub use crate::settings::Role;
pub use crate::settings::SettingsError;
pub use crate::settings::node_flags;
pub use crate::state::ConfigState;
pub use crate::state::NodeState;
pub use crate::state::lock;
pub use crate::state::member_id;
