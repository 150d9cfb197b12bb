//! Usage reports on the platform's stand-ins: counts are exact, and one window never
//! has two reports, whatever happens to the host that reports.

use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use cassia_standin::PlatformApiFault;
use cassia_standin::StoreFaults;
use cassia_standin::TargetSpec;
use cassia_trials::UsageTrial;
use cassia_trials::eventually;
use cassia_trials::platform_config;
use serde_json::json;

/// How long a request takes at a slow target, which is longer than a host that stops waits
/// for new requests.
const SLOW_REQUEST: Duration = Duration::from_millis(2_500);
/// How long the holder is frozen: past its term and the wait of the next one.
const FREEZE: Duration = Duration::from_secs(8);

fn names(hosts: &[String]) -> Vec<&str> {
    hosts.iter().map(String::as_str).collect()
}

/// Guards against requests that are counted twice, in two hosts' counts, or not at all.
#[tokio::test]
async fn counts_of_three_hosts_are_exact_over_several_windows() -> anyhow::Result<()> {
    let mut trial = UsageTrial::start(3).await?;
    trial.load(&["h0", "h1", "h2"], Duration::from_secs(5)).await?;
    trial.wait_for_reports().await?;
    trial.check();
    assert_eq!(trial.reported(), trial.sent);
    Ok(())
}

/// Guards against a second decision by the next holder: the first one's call took effect,
/// and its answer was lost with the host.
#[tokio::test]
async fn a_killed_holders_windows_are_reported_with_the_same_counts() -> anyhow::Result<()> {
    let mut trial = UsageTrial::start(3).await?;
    let (holder, others) = trial.holder().await?;
    trial.load(&names(&others), Duration::from_secs(2)).await?;
    trial.api.set_fault(PlatformApiFault::HangAfter);
    let before = trial.api.calls().len();
    let has_call = || async { trial.api.calls().len() > before };
    anyhow::ensure!(eventually(has_call).await, "no call arrived");
    if let Some((_, process)) = trial.processes.iter_mut().find(|(name, _)| *name == holder) {
        process.kill();
    }
    trial.api.set_fault(PlatformApiFault::None);
    trial.load(&names(&others), Duration::from_secs(2)).await?;
    trial.wait_for_reports().await?;
    trial.check();
    assert_eq!(trial.reported(), trial.sent);
    Ok(())
}

/// Guards against a holder that wakes up after another one took over, and sends what it
/// was about to send.
#[tokio::test]
async fn a_holder_that_was_frozen_past_its_term_sends_nothing() -> anyhow::Result<()> {
    let mut trial = UsageTrial::start(3).await?;
    let (holder, others) = trial.holder().await?;
    // It is in the middle of calls when it is frozen.
    trial.api.set_fault(PlatformApiFault::HangBefore);
    trial.load(&names(&others), Duration::from_millis(1_300)).await?;
    trial.process(&holder)?.freeze();
    trial.api.set_fault(PlatformApiFault::None);
    trial.load(&names(&others), FREEZE).await?;
    trial.process(&holder)?.resume();
    trial.load(&names(&others), Duration::from_secs(2)).await?;
    trial.wait_for_reports().await?;
    trial.check();
    assert_eq!(trial.reported(), trial.sent);
    Ok(())
}

/// Guards against reports that are given up, or repeated with other counts, while the
/// platform's API is silent, breaks off or refuses calls, and holders change.
#[tokio::test]
async fn reports_are_late_rather_than_wrong_while_the_platform_is_away() -> anyhow::Result<()> {
    let mut trial = UsageTrial::start(3).await?;
    trial.holder().await?;
    for fault in [
        PlatformApiFault::HangBefore,
        PlatformApiFault::HangAfter,
        PlatformApiFault::ResetAfter,
        PlatformApiFault::Refuse,
    ] {
        trial.api.set_fault(fault);
        trial.load(&["h0", "h1", "h2"], Duration::from_secs(3)).await?;
    }
    trial.api.set_fault(PlatformApiFault::None);
    trial.wait_for_reports().await?;
    trial.check();
    assert_eq!(trial.reported(), trial.sent);
    Ok(())
}

/// Guards against windows that are decided before all hosts have appended what they
/// counted while the store was away.
#[tokio::test]
async fn counts_of_an_outage_of_the_store_are_reported() -> anyhow::Result<()> {
    let mut trial = UsageTrial::start(3).await?;
    trial.holder().await?;
    let store = Arc::clone(&trial.env.store);
    store.set_faults(StoreFaults { hang: true, ..StoreFaults::default() });
    trial.load(&["h0", "h1", "h2"], Duration::from_secs(5)).await?;
    store.set_faults(StoreFaults::default());
    trial.load(&["h0", "h1", "h2"], Duration::from_secs(1)).await?;
    trial.wait_for_reports().await?;
    trial.check();
    assert_eq!(trial.reported(), trial.sent);
    Ok(())
}

/// Guards against counts that are lost with the memory of a host that stops as planned,
/// whether it holds the lease or not: its last requests are answered at the very end.
#[tokio::test]
async fn a_planned_stop_loses_no_counts() -> anyhow::Result<()> {
    let mut trial = UsageTrial::start(3).await?;
    // With fewer slots, admission control refuses requests that can't finish in time.
    for n in 0..3 {
        let spec = TargetSpec {
            id: format!("slow{n}"),
            service: "slow".to_owned(),
            model: None,
            events: 0,
            delay: SLOW_REQUEST,
        };
        trial.env.add_target(spec).await?;
    }
    let mut config = platform_config(3, true);
    config["tenants"] = json!([
        {"name": "leserbild", "api_keys": ["k1"]}, {"name": "hule930", "api_keys": ["k2"]}]);
    let routes = config["routes"].as_array_mut().context("no routes")?;
    let extra = routes.iter_mut().find(|route| route["name"] == "extra").context("no route")?;
    extra["service"] = json!("slow");
    trial.env.store.put("keyed.op", "config", Some(&config));
    let (holder, others) = trial.holder().await?;
    let last = others.last().cloned().unwrap_or_default();
    trial.load(&names(&others), Duration::from_secs(4)).await?;
    for host in [&holder, &others[0]] {
        trial.stop_with_requests(host, "/extra/1", 20).await?;
    }
    trial.load(&[&last], Duration::from_secs(1)).await?;
    trial.wait_for_reports().await?;
    trial.check();
    assert_eq!(trial.reported(), trial.sent);
    Ok(())
}
