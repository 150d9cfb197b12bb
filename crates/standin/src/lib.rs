//! Stand-ins for the outside systems, with fault switches.
//!
//! Each is a small server on a loopback port that speaks the form of the
//! protocol that `cassia-platform` speaks. No shipped program depends on this
//! crate. It is not a simulator: a stand-in knows nothing of the others but
//! that engines fetch weights from the store.
//!
//! ```
//! # tokio::runtime::Runtime::new().unwrap().block_on(async {
//! let log = cassia_standin::LogStandin::start().await.unwrap();
//! assert!(log.addr().ip().is_loopback());
//! # });
//! ```

mod engine;
mod fleet_target;
mod list;
mod log;
mod proxy;
mod scorer;
mod serve;
mod service;
mod store;
mod trainer;
mod weights;

pub use crate::engine::EngineFaults;
pub use crate::engine::EngineSpec;
pub use crate::engine::EngineStandin;
pub use crate::fleet_target::Answers;
pub use crate::fleet_target::FleetTarget;
pub use crate::fleet_target::OrderSeen;
pub use crate::fleet_target::Ran;
pub use crate::fleet_target::TargetFaults;
pub use crate::fleet_target::TargetSpec;
pub use crate::list::ListStandin;
pub use crate::log::LogStandin;
pub use crate::proxy::Proxy;
pub use crate::scorer::ScorerStandin;
pub use crate::serve::Handler;
pub use crate::serve::Reply;
pub use crate::serve::Server;
pub use crate::service::ServiceFault;
pub use crate::service::ServiceStandin;
pub use crate::store::StoreFaults;
pub use crate::store::StoreStandin;
pub use crate::trainer::Step;
pub use crate::trainer::TrainerStandin;
pub use crate::weights::WeightStandin;
