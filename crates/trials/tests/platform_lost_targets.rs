//! Hosts that have lost their links to targets which other hosts reach.

use std::time::Duration;

use cassia_standin::LinkCut;
use cassia_trials::HostLinks;
use cassia_trials::PlatformEnv;
use cassia_trials::Process;
use cassia_trials::wait_until_serving;
use rstest::rstest;
use tokio::time::sleep;

/// How long after the beginning of a cut the rules hold for the host.
const CONTACT: Duration = Duration::from_secs(3);
const CUT_HOSTS: [&str; 3] = ["h1", "h2", "h3"];
const OTHER_HOSTS: [&str; 2] = ["h4", "h5"];
/// Number of first attempts at each host.
const REQUESTS: usize = 8;
/// Time between two requests at a host.
const REQUEST_INTERVAL: Duration = Duration::from_millis(100);

/// Hosts with links that can be cut, and others.
struct Fleet {
    env: PlatformEnv,
    links: Vec<HostLinks>,
    cut: Vec<Process>,
    others: Vec<Process>,
}

impl Fleet {
    /// Starts all hosts and waits until each has served a request, so that each
    /// keeps connections to targets.
    async fn start() -> anyhow::Result<Self> {
        let env = PlatformEnv::start().await?.with_targets(2, 3).await?;
        let (mut links, mut cut, mut others) = (Vec::new(), Vec::new(), Vec::new());
        for host in CUT_HOSTS {
            let host_links = HostLinks::start(&env).await?;
            cut.push(env.start_process_with_store(host, host_links.store_addr()).await?);
            links.push(host_links);
        }
        for host in OTHER_HOSTS {
            others.push(env.start_process(host).await?);
        }
        for process in cut.iter().chain(&others) {
            wait_until_serving(&env, process).await?;
        }
        Ok(Self { env, links, cut, others })
    }

    /// Cuts the links of the hosts and waits until the rules hold for them.
    async fn cut(&self, cut: LinkCut) {
        for links in &self.links {
            links.cut(cut);
        }
        sleep(CONTACT).await;
    }

    /// Sends callers' first attempts to some hosts; returns how many were served.
    async fn serve(&self, hosts: &[Process], path: &str, tag: &str) -> usize {
        let one = |host: usize, n: usize| async move {
            sleep(REQUEST_INTERVAL * u32::try_from(n).unwrap_or(0)).await;
            let id = format!("{tag}-{host}-{n}");
            let response = self.env.request(&hosts[host], path, &id).await;
            usize::from(response.status == 200)
        };
        let requests = (0..hosts.len()).flat_map(|host| (0..REQUESTS).map(move |n| one(host, n)));
        futures::future::join_all(requests).await.into_iter().sum()
    }
}

/// Callers of hosts that have lost all targets are refused or wait in vain, while
/// other hosts serve theirs: the only way to a target was the host's own link.
#[rstest]
#[tokio::test]
async fn hosts_without_targets_serve_their_callers(
    #[values("/quote/1", "/once/1", "/stream/1")] path: &str,
    #[values(LinkCut::Hang, LinkCut::Refuse, LinkCut::RefuseNew)] cut: LinkCut,
) -> anyhow::Result<()> {
    let fleet = Fleet::start().await?;
    fleet.cut(cut).await;
    let served = fleet.serve(&fleet.cut, path, "cut").await;
    let served_by_others = fleet.serve(&fleet.others, path, "other").await;
    let (asked, asked_of_others) = (CUT_HOSTS.len() * REQUESTS, OTHER_HOSTS.len() * REQUESTS);
    assert_eq!(served_by_others, asked_of_others, "the other hosts serve all");
    // The rule: not less than two thirds as often as the others.
    assert!(3 * served >= 2 * asked, "{served} of {asked} served at the hosts that are cut off");
    Ok(())
}
