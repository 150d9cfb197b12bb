//! Integration tests of the shipped programs against stand-ins of the outside
//! systems.
//!
//! The crate starts the programs as processes on loopback ports, with the
//! stand-ins inside the test process, so that a test can kill and suspend
//! processes and break connections. It is for tests, measurements and the
//! demonstration; it is not shipped, and no shipped process starts another.
//!
//! [`TestEnv`] is for the programs with the product's own interface
//! (`cassia-entry`, `cassia-rollout` and `cassia-control`), [`PlatformEnv`] for
//! `cassia-serve` on the users' platform.
//!
//! ```no_run
//! # tokio::runtime::Runtime::new().unwrap().block_on(async {
//! let env = cassia_trials::TestEnv::start().await.unwrap();
//! env.start_entry("h1").await.unwrap();
//! # });
//! ```

mod account_steps;
mod caller;
mod caller_connection;
mod contracts;
mod forwarded_pair;
mod host_links;
mod platform_client;
mod platform_env;
mod platform_steps;
mod process;
mod test_env;
mod usage_trial;

pub use crate::account_steps::TRIAL_ACCOUNTS;
pub use crate::account_steps::assert_customer;
pub use crate::account_steps::forged_job;
pub use crate::account_steps::results_with_key;
pub use crate::account_steps::start_with_accounts;
pub use crate::account_steps::wait_for_results;
pub use crate::account_steps::wait_until_known_key_serves;
pub use crate::caller::Caller;
pub use crate::caller::JsonResponse;
pub use crate::caller_connection::CallerConnection;
pub use crate::caller_connection::KeptResponse;
pub use crate::contracts::LESERBILD_KEY;
pub use crate::contracts::SAVANNA_KEY;
pub use crate::contracts::leserbild;
pub use crate::contracts::savanna;
pub use crate::forwarded_pair::ForwardedPair;
pub use crate::host_links::HostLinks;
pub use crate::platform_client::Connections;
pub use crate::platform_client::PlatformClient;
pub use crate::platform_client::PlatformResponse;
pub use crate::platform_env::ENGINE_MODEL;
pub use crate::platform_env::PARTITIONS;
pub use crate::platform_env::PlatformEnv;
pub use crate::platform_env::ROUTE_HOST;
pub use crate::platform_env::accounts_config;
pub use crate::platform_env::batch_job;
pub use crate::platform_env::platform_config;
pub use crate::platform_steps::assert_complete;
pub use crate::platform_steps::split_owner;
pub use crate::platform_steps::start_processes;
pub use crate::platform_steps::wait_until_serving;
pub use crate::process::Process;
pub use crate::process::free_addr;
pub use crate::process::program_path;
pub use crate::test_env::TestEnv;
pub use crate::test_env::contract_revision;
pub use crate::test_env::eventually;
pub use crate::usage_trial::UsageCounts;
pub use crate::usage_trial::UsageTrial;
