//! Two hosts, of which one reaches a target only through the other.

use std::sync::Arc;
use std::time::Duration;

use cassia_standin::LinkCut;
use cassia_standin::RawEnd;
use cassia_standin::RawRequest;
use cassia_standin::RawTarget;
use tokio::time::sleep;

use crate::HostLinks;
use crate::PlatformEnv;
use crate::Process;
use crate::wait_until_serving;

/// Time within which a host finds out that its links are lost.
const CONTACT: Duration = Duration::from_secs(3);

/// Two hosts, of which the first reaches a target only through the other.
#[derive(Debug)]
pub struct ForwardedPair {
    /// The environment of both.
    pub env: PlatformEnv,
    /// The target.
    pub target: Arc<RawTarget>,
    /// The host without links to targets.
    pub cut: Process,
    /// The host that forwards its connections.
    pub other: Process,
    _links: HostLinks,
}

impl ForwardedPair {
    /// Starts a target of a service that answers as `script` says, further plain targets,
    /// and the two hosts.
    ///
    /// # Errors
    ///
    /// A stand-in or a process can't be started.
    pub async fn start(
        service: &str,
        plain_targets: usize,
        script: impl Fn(&RawRequest) -> (String, RawEnd) + Send + Sync + 'static,
    ) -> anyhow::Result<Self> {
        let mut env = PlatformEnv::start().await?.with_targets(0, plain_targets).await?;
        let target = env.add_raw_target("raw", service, script).await?;
        let links = HostLinks::start_with(&env, &[("raw", target.addr())]).await?;
        let cut = env.start_process_with_store("h1", links.store_addr()).await?;
        let other = env.start_process("h2").await?;
        if plain_targets > 0 {
            wait_until_serving(&env, &cut).await?;
        }
        links.cut(LinkCut::Refuse);
        sleep(CONTACT).await;
        Ok(Self { env, target, cut, other, _links: links })
    }
}
