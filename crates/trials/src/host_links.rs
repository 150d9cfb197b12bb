//! The links of one host to the targets of the platform, which can be cut.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use cassia_standin::Link;
use cassia_standin::LinkCut;
use cassia_standin::Server;
use cassia_standin::TargetStandin;

use crate::PlatformEnv;
use crate::process::free_addr;

/// One host's links to all targets, and the store as that host sees it.
#[derive(Debug)]
pub struct HostLinks {
    store: Server,
    links: Vec<(Arc<TargetStandin>, Link)>,
    /// Links to targets of other kinds.
    other_links: Vec<Link>,
}

impl HostLinks {
    /// Creates links to all present targets.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    pub async fn start(env: &PlatformEnv) -> io::Result<Self> {
        Self::start_with(env, &[]).await
    }

    /// As `start`, with links to further targets, by id and address.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    pub async fn start_with(env: &PlatformEnv, others: &[(&str, SocketAddr)]) -> io::Result<Self> {
        let mut links = Vec::new();
        let mut addrs = BTreeMap::new();
        for target in &env.targets {
            let link = Link::start(free_addr()?, target.addr()).await?;
            addrs.insert(target.id().to_owned(), link.addr());
            links.push((Arc::clone(target), link));
        }
        let mut other_links = Vec::new();
        for (id, addr) in others {
            let link = Link::start(free_addr()?, *addr).await?;
            addrs.insert((*id).to_owned(), link.addr());
            other_links.push(link);
        }
        Ok(Self { store: env.store.start_view(addrs).await?, links, other_links })
    }

    /// Returns the address at which the host reaches the store.
    #[must_use]
    pub fn store_addr(&self) -> SocketAddr {
        self.store.addr()
    }

    /// Cuts the links to all targets.
    pub fn cut(&self, cut: LinkCut) {
        self.cut_where(cut, |_| true);
        self.other_links.iter().for_each(|link| link.cut(cut));
    }

    /// Cuts the links to some of the environment's targets.
    pub fn cut_where(&self, cut: LinkCut, is_cut: impl Fn(&TargetStandin) -> bool) {
        for (_, link) in self.links.iter().filter(|(target, _)| is_cut(target)) {
            link.cut(cut);
        }
    }

    /// Ends all cuts.
    pub fn heal(&self) {
        for link in self.links.iter().map(|(_, link)| link).chain(&self.other_links) {
            link.heal();
        }
    }
}
