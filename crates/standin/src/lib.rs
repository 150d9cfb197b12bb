//! Stand-ins for outside systems, with fault injection, for tests.
//!
//! Each is a small server on a loopback port that implements the protocol used
//! by `cassia-clients`; the trainer is a client. No shipped program depends
//! on this crate. It is not a simulator: stand-ins don't interact, except that
//! engines fetch weights from the weight store and platform targets write
//! heartbeats to the store.
//!
//! ```
//! # tokio::runtime::Runtime::new().unwrap().block_on(async {
//! let log = cassia_standin::LogStandin::start().await.unwrap();
//! assert!(log.addr().ip().is_loopback());
//! # });
//! ```

mod endless;
mod engine;
mod late_copies;
mod link;
mod log;
mod platform_api;
mod proxy;
mod raw;
mod repeating;
mod scorer;
mod server;
mod service;
mod store;
mod store_view;
mod target;
mod target_faults;
mod target_list;
mod target_records;
mod trainer;
mod weight_store;

pub use crate::endless::Endless;
pub use crate::endless::EndlessTarget;
pub use crate::engine::EngineFaults;
pub use crate::engine::EngineSpec;
pub use crate::engine::EngineStandin;
pub use crate::late_copies::LateCopyTarget;
pub use crate::late_copies::RepeatedAnswers;
pub use crate::link::Link;
pub use crate::link::LinkCut;
pub use crate::log::LogStandin;
pub use crate::platform_api::PlatformApiFault;
pub use crate::platform_api::PlatformApiStandin;
pub use crate::platform_api::PlatformCall;
pub use crate::proxy::Proxy;
pub use crate::raw::RawEnd;
pub use crate::raw::RawRequest;
pub use crate::raw::RawScript;
pub use crate::raw::RawTarget;
pub use crate::repeating::RepeatingTarget;
pub use crate::repeating::SecondCopy;
pub use crate::scorer::ScorerStandin;
pub use crate::server::Handler;
pub use crate::server::Reply;
pub use crate::server::Server;
pub use crate::service::ServiceFault;
pub use crate::service::ServiceStandin;
pub use crate::store::StoreFaults;
pub use crate::store::StoreStandin;
pub use crate::target::TargetSpec;
pub use crate::target::TargetStandin;
pub use crate::target_faults::LargeBody;
pub use crate::target_faults::LargeEnd;
pub use crate::target_faults::RefusalKind;
pub use crate::target_faults::RepeatedReply;
pub use crate::target_faults::ResponseFault;
pub use crate::target_faults::TargetFaults;
pub use crate::target_list::TargetListStandin;
pub use crate::target_records::ReceivedOrder;
pub use crate::target_records::RequestRun;
pub use crate::trainer::Step;
pub use crate::trainer::TrainerStandin;
pub use crate::weight_store::WeightStoreStandin;
