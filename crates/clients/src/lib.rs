//! Traits for the external systems, and their HTTP clients.
//!
//! Each external system has one trait, and each trait is implemented in one
//! module, so that a change of a system's protocol touches one module. The
//! crate only makes the calls; other crates decide which calls to make.
//!
//! ```
//! use cassia_clients::HttpPlatform;
//!
//! let platform = HttpPlatform::default();
//! assert!(format!("{platform:?}").contains("HttpPlatform"));
//! ```

mod budget;
mod engine;
mod engine_http;
mod error;
mod http_client;
mod limited_stream;
mod log;
mod log_http;
mod path_connector;
mod platform_api;
mod platform_http;
mod read_body;
mod reuse;
mod services;
mod store;

pub use crate::budget::BudgetExceeded;
pub use crate::budget::ByteBudget;
pub use crate::budget::Reservation;
pub use crate::engine::Engine;
pub use crate::engine::GenerateRequest;
pub use crate::engine::GenerationEvent;
pub use crate::engine::GenerationStream;
pub use crate::engine::LoadReport;
pub use crate::engine::Order;
pub use crate::engine::OrderKind;
pub use crate::error::ErrorKind;
pub use crate::error::PlatformError;
pub use crate::http_client::BodyBuffer;
pub use crate::http_client::HttpClient;
pub use crate::log::Log;
pub use crate::log::LogPage;
pub use crate::log::LogRecord;
pub use crate::log_http::HttpLog;
pub use crate::path_connector::PeerStream;
pub use crate::path_connector::Relay;
pub use crate::path_connector::reset_on_drop;
pub use crate::platform_api::CapacityAnswer;
pub use crate::platform_api::CapacityOrder;
pub use crate::platform_api::DutyHolder;
pub use crate::platform_api::PlatformApi;
pub use crate::platform_api::PlatformApiError;
pub use crate::platform_api::PlatformApiErrorKind;
pub use crate::platform_api::UsageReport;
pub use crate::platform_http::HttpPlatform;
pub use crate::read_body::PartialBody;
pub use crate::read_body::ReadBody;
pub use crate::reuse::Reuse;
pub use crate::reuse::ReuseRule;
pub use crate::services::LatestVersion;
pub use crate::services::PlainService;
pub use crate::services::Scorer;
pub use crate::services::TargetList;
pub use crate::services::WeightStore;
pub use crate::store::Appended;
pub use crate::store::Assignment;
pub use crate::store::KeyedRecord;
pub use crate::store::KeyedSnapshot;
pub use crate::store::PartitionRef;
pub use crate::store::Records;
pub use crate::store::Store;
pub use crate::store::StoreError;
pub use crate::store::StoreErrorKind;
