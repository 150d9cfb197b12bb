//! Hosts that have lost the store and go on by what they know. What they send through
//! other hosts comes from hosts that can know better.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use anyhow::Context;
use bytes::Bytes;
use cassia_relay::HostEntry;
use cassia_relay::RelayReply;
use cassia_relay::RelayRequest;
use cassia_standin::LinkCut;
use cassia_standin::Proxy;
use cassia_standin::RawEnd;
use cassia_standin::TargetStandin;
use cassia_trials::HostLinks;
use cassia_trials::PARTITIONS;
use cassia_trials::PlatformEnv;
use cassia_trials::Process;
use cassia_trials::batch_job;
use cassia_trials::eventually;
use cassia_trials::platform_config;
use cassia_trials::wait_until_serving;
use futures::SinkExt;
use futures::StreamExt;
use prost::Message;
use rstest::rstest;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::sleep;
use tokio::time::sleep_until;
use tokio::time::timeout;
use tokio_util::codec::Framed;
use tokio_util::codec::LengthDelimitedCodec;

/// How long after its acknowledgement the end of a job takes effect.
const CANCEL: Duration = Duration::from_secs(3);
/// How long after its acknowledgement a configuration takes effect.
const CONFIG: Duration = Duration::from_secs(2);
/// How long the host is without the store after that.
const COUNTED: Duration = Duration::from_secs(5);

/// A host with a link to the store and links to targets that can be cut, and two others.
struct Fleet {
    env: PlatformEnv,
    links: HostLinks,
    store_link: Proxy,
    behind: Process,
    others: Vec<Process>,
}

impl Fleet {
    async fn start(engines: usize, services: usize) -> anyhow::Result<Self> {
        let env = PlatformEnv::start().await?.with_targets(engines, services).await?;
        let links = HostLinks::start(&env).await?;
        let store_link = Proxy::start(links.store_addr()).await?;
        let behind = env.start_process_with_store("h1", store_link.addr()).await?;
        let mut others = Vec::new();
        for host in ["h2", "h3"] {
            others.push(env.start_process(host).await?);
        }
        for process in others.iter().chain([&behind]) {
            wait_until_serving(&env, process).await?;
        }
        Ok(Self { env, links, store_link, behind, others })
    }

    /// Returns the id of a job that the first host runs.
    async fn own_job(&self) -> anyhow::Result<String> {
        let is_own = |id: &String| {
            let partition = cassia_jobs::partition(id, PARTITIONS);
            let lead = cassia_jobs::lead_partition(partition, PARTITIONS);
            self.env.store.owner("runners", lead).as_deref() == Some("h1")
        };
        let find = || (0..1_000).map(|n| format!("j{n}")).find(is_own);
        anyhow::ensure!(eventually(|| async { find().is_some() }).await, "it runs no jobs");
        // The partitions stay once all hosts have joined.
        sleep(Duration::from_secs(2)).await;
        find().context("it runs no jobs")
    }
}

/// Items of a job that has ended reach engines from hosts that can read the store:
/// the host that runs them has lost it, and sends through others what it can't itself.
#[rstest]
#[case::items(TargetStandin::is_engine)]
#[case::reward_calls(|target: &TargetStandin| !target.is_engine())]
#[tokio::test]
async fn an_ended_job_gets_no_further_through_other_hosts(
    #[case] is_cut: fn(&TargetStandin) -> bool,
    #[values(LinkCut::Refuse, LinkCut::Hang)] cut: LinkCut,
) -> anyhow::Result<()> {
    const ITEMS: usize = 480;
    // The host keeps most of its links, so it goes on with its jobs.
    let fleet = Fleet::start(3, 3).await?;
    for target in fleet.env.targets.iter().filter(|target| target.is_engine()) {
        target.set_delay(Duration::from_millis(60));
    }
    let lost = fleet.env.targets.iter().find(|target| is_cut(target)).context("a target")?;
    let job = fleet.own_job().await?;
    let submitted = batch_job(&job, ITEMS, 1);
    let response = fleet.env.submit_job(&fleet.others[0], &job, &submitted).await;
    anyhow::ensure!(response.status == 202, "{response:?}");
    let has_run = || async { lost.runs().iter().any(|run| run.id.starts_with(&job)) };
    anyhow::ensure!(eventually(has_run).await, "the job never started");
    fleet.links.cut_where(cut, |target| target.id() == lost.id());
    // It finds out that another host reaches the target.
    sleep(Duration::from_secs(1)).await;
    fleet.store_link.set_blocked(true);
    sleep(Duration::from_millis(500)).await;
    assert_eq!(fleet.env.end_job(&fleet.others[0], &job).await.status, 200);
    let ended = Instant::now();
    sleep_until((ended + CANCEL + COUNTED).into()).await;
    let late: Vec<_> = lost.runs().into_iter().filter(|run| run.started > ended + CANCEL).collect();
    assert!(late.is_empty(), "{} runs of the ended job: {late:?}", late.len());
    Ok(())
}

/// A host that has lost the store runs requests on a route that is gone through hosts
/// that know so.
#[rstest]
#[tokio::test]
async fn requests_by_an_old_configuration_go_through_no_other_host(
    #[values(LinkCut::Refuse, LinkCut::Hang)] cut: LinkCut,
) -> anyhow::Result<()> {
    let path = "/extra/1";
    let fleet = Fleet::start(0, 3).await?;
    fleet.links.cut(cut);
    let is_served =
        || async { fleet.env.request(&fleet.behind, path, "before").await.status == 200 };
    anyhow::ensure!(eventually(is_served).await, "not served through other hosts");
    fleet.store_link.set_blocked(true);
    fleet.env.store.put("keyed.op", "config", Some(&platform_config(2, false)));
    let changed = Instant::now();
    sleep_until((changed + CONFIG).into()).await;
    for n in 0..20 {
        let id = format!("late-{n}");
        fleet.env.request(&fleet.behind, path, &id).await;
        assert_eq!(fleet.env.run_count(&id), 0, "{id} ran");
    }
    // It has the store again, and the links are still lost.
    fleet.store_link.stall_connections();
    fleet.store_link.set_blocked(false);
    let is_served =
        || async { fleet.env.request(&fleet.behind, "/quote/1", "after").await.status == 200 };
    anyhow::ensure!(eventually(is_served).await, "not served with the store");
    Ok(())
}

/// Asks a host for a connection on which bytes are passed on for some time only.
async fn ask(to: SocketAddr, send_within_ms: u32) -> anyhow::Result<TcpStream> {
    let mut frames = Framed::new(TcpStream::connect(to).await?, LengthDelimitedCodec::new());
    let request = RelayRequest {
        target: "raw".to_owned(),
        incarnation: 1,
        accepts_chunks: true,
        send_within_ms,
    };
    frames.send(Bytes::from(request.encode_to_vec())).await?;
    let reply = timeout(Duration::from_secs(3), frames.next()).await?.context("a reply")??;
    anyhow::ensure!(RelayReply::decode(reply.freeze())? == RelayReply::ConnectedInChunks);
    Ok(frames.into_inner())
}

/// A request that was held up between two hosts reaches an engine long after it was
/// sent, when its job may have ended.
#[rstest]
#[case::in_time(0, 1)]
#[case::held_up(900, 0)]
#[tokio::test]
async fn a_request_that_is_held_up_between_hosts_is_not_passed_on(
    #[case] held_up_ms: u64,
    #[case] expected: u64,
) -> anyhow::Result<()> {
    let mut env = PlatformEnv::start().await?.with_targets(0, 0).await?;
    let script = |_: &_| ("HTTP/1.1 200 OK\r\n\r\n".to_owned(), RawEnd::Close);
    let target = env.add_raw_target("raw", "lm", script).await?;
    let process = env.start_process("h1").await?;
    let entry = HostEntry { addr: "127.0.0.1:9".to_owned(), data_centre: "z1".to_owned() };
    env.store.put_bytes("keyed.hosts", "h0", &entry.encode_to_vec());
    let to = process.relay.context("an address")?;
    let is_listed = || async { ask(to, 500).await.is_ok() };
    anyhow::ensure!(eventually(is_listed).await, "no connection");
    let mut stream = ask(to, 500).await?;
    sleep(Duration::from_millis(held_up_ms)).await;
    stream.write_all(b"POST /job/1 HTTP/1.1\r\nattempt-id: a\r\n\r\n").await?;
    let _ = timeout(Duration::from_secs(3), stream.read_to_end(&mut Vec::new())).await?;
    assert_eq!(target.request_count(), expected);
    Ok(())
}
