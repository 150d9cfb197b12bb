//! Hosts that have lost their links to targets which other hosts reach.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use anyhow::Context;
use bytes::Bytes;
use cassia_relay::RelayReply;
use cassia_relay::RelayRequest;
use cassia_standin::LinkCut;
use cassia_standin::TargetStandin;
use cassia_trials::HostLinks;
use cassia_trials::PlatformEnv;
use cassia_trials::Process;
use cassia_trials::assert_complete;
use cassia_trials::batch_job;
use cassia_trials::eventually;
use cassia_trials::wait_until_serving;
use futures::SinkExt;
use futures::StreamExt;
use prost::Message;
use rstest::rstest;
use tokio::net::TcpSocket;
use tokio::time::sleep;
use tokio::time::timeout;
use tokio_util::codec::Framed;
use tokio_util::codec::LengthDelimitedCodec;

/// How long after the beginning of a cut the rules hold for the host.
const CONTACT: Duration = Duration::from_secs(3);
const CUT_HOSTS: [&str; 3] = ["h1", "h2", "h3"];
const OTHER_HOSTS: [&str; 2] = ["h4", "h5"];
/// Number of first attempts at each host.
const REQUESTS: usize = 8;
/// Time within which new weights are to be on all engines.
const LOAD_LIMIT: Duration = Duration::from_secs(10);
/// The minimum time between the orders of two holders to one engine.
const LEASE: Duration = Duration::from_secs(3);
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

/// A request that was sent over a link that is cut then must not run again at another
/// target: only the connection takes another way, not a request.
#[rstest]
#[tokio::test]
async fn requests_around_the_beginning_of_a_cut_run_at_most_once(
    #[values(LinkCut::Hang, LinkCut::Refuse, LinkCut::RefuseNew)] cut: LinkCut,
) -> anyhow::Result<()> {
    let fleet = Fleet::start().await?;
    for target in fleet.env.targets.iter().filter(|target| !target.is_engine()) {
        target.set_delay(Duration::from_millis(120));
    }
    let cutting = async {
        sleep(Duration::from_millis(350)).await;
        fleet.links.iter().for_each(|links| links.cut(cut));
    };
    tokio::join!(fleet.serve(&fleet.cut, "/once/1", "once"), cutting);
    for host in 0..CUT_HOSTS.len() {
        for n in 0..REQUESTS {
            let id = format!("once-{host}-{n}");
            assert!(fleet.env.run_count(&id) <= 1, "{id} ran {} times", fleet.env.run_count(&id));
        }
    }
    Ok(())
}

/// Links to some targets only are lost: those take another way, and nothing is held up
/// by them.
#[rstest]
#[case::the_service(|target: &TargetStandin| !target.is_engine())]
#[case::one_of_the_service(|target: &TargetStandin| target.id() == "s1")]
#[case::the_engines(TargetStandin::is_engine)]
#[tokio::test]
async fn hosts_that_lost_some_targets_serve_their_callers(
    #[case] is_cut: fn(&TargetStandin) -> bool,
) -> anyhow::Result<()> {
    let fleet = Fleet::start().await?;
    for links in &fleet.links {
        links.cut_where(LinkCut::Hang, is_cut);
    }
    sleep(CONTACT).await;
    for path in ["/quote/1", "/once/1", "/stream/1"] {
        let served = fleet.serve(&fleet.cut, path, path).await;
        assert_eq!(served, CUT_HOSTS.len() * REQUESTS, "{path}");
    }
    Ok(())
}

/// A job's items stop when the host that runs them loses the engines, until it has them
/// back.
#[rstest]
#[tokio::test]
async fn jobs_go_on_when_the_hosts_that_run_them_lose_all_targets(
    #[values(LinkCut::Hang, LinkCut::Refuse, LinkCut::RefuseNew)] cut: LinkCut,
) -> anyhow::Result<()> {
    const ITEMS: usize = 24;
    let fleet = Fleet::start().await?;
    for engine in fleet.env.targets.iter().filter(|target| target.is_engine()) {
        engine.set_delay(Duration::from_millis(60));
    }
    for job in ["j1", "j2", "j3"] {
        let submitted = batch_job(job, ITEMS, 1);
        let response = fleet.env.submit_job(&fleet.others[0], job, &submitted).await;
        anyhow::ensure!(response.status == 202, "{response:?}");
    }
    let begun = || async { !fleet.env.targets[0].running().is_empty() };
    anyhow::ensure!(eventually(begun).await, "no item begins");
    let start = Instant::now();
    fleet.links.iter().for_each(|links| links.cut(cut));
    for job in ["j1", "j2", "j3"] {
        let results = fleet.env.all_results(&fleet.others[0], job).await;
        assert_complete(&results.context("the results")?, job, ITEMS);
    }
    // The jobs' due time.
    assert!(start.elapsed() < Duration::from_millis(7_500), "{:?}", start.elapsed());
    Ok(())
}

/// The host that gives orders loses the engines and keeps its lease: nobody gives any.
/// Nor may they go through another host, which would count as a second holder.
#[rstest]
#[tokio::test]
async fn orders_go_on_when_their_holder_loses_the_engines(
    #[values(LinkCut::Hang, LinkCut::Refuse, LinkCut::RefuseNew)] cut: LinkCut,
) -> anyhow::Result<()> {
    let fleet = Fleet::start().await?;
    let all_have = |version| {
        let env = &fleet.env;
        move || async move {
            env.targets.iter().filter(|t| t.is_engine()).all(|t| t.version() == version)
        }
    };
    fleet.env.publish_version(2);
    anyhow::ensure!(eventually(all_have(2)).await, "version 2 is not loaded");
    let holder = fleet.env.targets[0].orders().last().context("an order")?.holder.clone();
    // The host that started first holds the lease, and its links can be cut.
    let index = CUT_HOSTS.iter().position(|host| *host == holder).context("its links")?;
    fleet.links[index].cut(cut);
    sleep(CONTACT).await;
    fleet.env.publish_version(3);
    let start = Instant::now();
    anyhow::ensure!(eventually(all_have(3)).await, "version 3 is not loaded");
    assert!(start.elapsed() < LOAD_LIMIT, "{:?}", start.elapsed());
    let mut by_engine: BTreeMap<String, Vec<_>> = BTreeMap::new();
    for order in fleet.env.targets.iter().flat_map(|target| target.orders()) {
        by_engine.entry(order.engine.clone()).or_default().push(order);
    }
    for pair in by_engine.values().flat_map(|orders| orders.windows(2)) {
        assert!(pair[1].fence >= pair[0].fence, "{pair:?}");
        if pair[1].holder != pair[0].holder {
            assert!(pair[1].received - pair[0].received >= LEASE, "{pair:?}");
        }
    }
    Ok(())
}

/// When the caller leaves, the target learns of it through the other host as well.
#[tokio::test]
async fn a_request_through_another_host_ends_when_its_caller_leaves() -> anyhow::Result<()> {
    let fleet = Fleet::start().await?;
    for target in &fleet.env.targets {
        target.set_delay(Duration::from_secs(2));
    }
    fleet.cut(LinkCut::Refuse).await;
    for (path, id) in [("/stream/1", "gone-1"), ("/quote/1", "gone-2")] {
        let request = fleet.env.request(&fleet.cut[0], path, id);
        let is_at_a_target = || async {
            fleet.env.targets.iter().any(|target| target.running().iter().any(|run| run == id))
        };
        tokio::select! {
            response = request => anyhow::bail!("{id} ended: {response:?}"),
            begun = eventually(is_at_a_target) => anyhow::ensure!(begun, "{id} never ran"),
        }
        sleep(Duration::from_millis(500)).await;
        assert!(!is_at_a_target().await, "{id} still runs half a second after");
    }
    Ok(())
}

/// Asks a process for a connection, from this address.
async fn ask(from: [u8; 4], to: SocketAddr, request: &RelayRequest) -> anyhow::Result<RelayReply> {
    let socket = TcpSocket::new_v4()?;
    socket.bind(SocketAddr::from((from, 0)))?;
    let stream = socket.connect(to).await?;
    let mut frames = Framed::new(stream, LengthDelimitedCodec::new());
    frames.send(Bytes::from(request.encode_to_vec())).await?;
    let reply = timeout(Duration::from_secs(3), frames.next()).await?.context("a reply")??;
    Ok(RelayReply::decode(reply.freeze())?)
}

/// Otherwise anybody could reach the platform's targets, or a request could go round
/// among hosts that are all cut off.
#[tokio::test]
async fn only_hosts_get_connections_and_only_to_open_targets() -> anyhow::Result<()> {
    const HOST: [u8; 4] = [127, 0, 0, 1];
    const STRANGER: [u8; 4] = [127, 0, 0, 9];
    let fleet = Fleet::start().await?;
    let request = |target: &TargetStandin| RelayRequest {
        target: target.id().to_owned(),
        incarnation: target.heartbeat()["born"].as_u64().unwrap_or(0),
        ..RelayRequest::default()
    };
    let service = &fleet.env.targets[2];
    let to = fleet.others[0].relay.context("an address")?;
    assert_eq!(ask(HOST, to, &request(service)).await?, RelayReply::Connected);
    assert_eq!(ask(STRANGER, to, &request(service)).await?, RelayReply::UnknownHost);
    let unlisted = RelayRequest { target: "nobody".to_owned(), ..request(service) };
    assert_eq!(ask(HOST, to, &unlisted).await?, RelayReply::NotListed);
    let restarted = RelayRequest { incarnation: 1, ..request(service) };
    assert_eq!(ask(HOST, to, &restarted).await?, RelayReply::NotListed);
    service.set_leaving();
    let is_closed = || async {
        ask(HOST, to, &request(service)).await.is_ok_and(|reply| reply == RelayReply::NotListed)
    };
    anyhow::ensure!(eventually(is_closed).await, "a leaving target is still served");
    fleet.cut(LinkCut::Refuse).await;
    let to = fleet.cut[0].relay.context("an address")?;
    let target = request(&fleet.env.targets[3]);
    assert_eq!(ask(HOST, to, &target).await?, RelayReply::Unreachable, "over its own link only");
    Ok(())
}

/// A host that forwards connections is stopped as planned: requests on them are not cut
/// off, and idle ones don't hold the stop.
#[tokio::test]
async fn a_planned_stop_ends_no_request_that_is_forwarded() -> anyhow::Result<()> {
    /// How long a planned stop may take; less than that without requests.
    const STOP_LIMIT: Duration = Duration::from_millis(6_500);
    let mut fleet = Fleet::start().await?;
    fleet.cut(LinkCut::Refuse).await;
    for target in fleet.env.targets.iter().filter(|target| target.is_engine()) {
        // A stream takes some three seconds.
        target.set_delay(Duration::from_millis(500));
    }
    let mut stopped = fleet.others.pop().context("a host")?;
    let serving = fleet.serve(&fleet.cut, "/stream/1", "stop");
    let stopping = async {
        sleep(Duration::from_millis(900)).await;
        let start = Instant::now();
        stopped.terminate();
        let ended = stopped.wait(Duration::from_secs(8)).await;
        (ended, start.elapsed())
    };
    let (served, (ended, took)) = tokio::join!(serving, stopping);
    assert_eq!(served, CUT_HOSTS.len() * REQUESTS);
    assert_eq!(ended.context("it doesn't end")?.code(), Some(0));
    assert!(took < STOP_LIMIT, "{took:?}");
    Ok(())
}
