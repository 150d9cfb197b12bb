//! Steps shared by the tests on the platform's stand-ins.

use std::collections::BTreeSet;

use serde_json::Value;

use crate::PlatformEnv;
use crate::Process;
use crate::eventually;
use crate::platform_env::PARTITIONS;

/// Asserts that each item is listed once, with its whole text, score and
/// versions.
///
/// # Panics
///
/// Panics if one is missing, listed twice or incomplete.
pub fn assert_complete(results: &[Value], id: &str, items: usize) {
    let ids: BTreeSet<_> = results.iter().map(|r| r["instance_id"].as_str()).collect();
    assert_eq!(ids.len(), items, "each item is listed once");
    for result in results {
        let item = result["instance_id"].as_str().unwrap_or_default();
        assert_eq!(result["state"], "completed", "{result}");
        let pieces: Vec<_> = (0..6).map(|n| format!("piece {n} of {item}")).collect();
        assert_eq!(result["output"], pieces.join("\n"), "the whole text, in order");
        assert_eq!(result["score"], format!("stamp-{item}-score"), "{id}");
        assert!(!result["versions"].as_array().expect("versions").is_empty());
    }
}

/// Waits until every partition has an owner.
async fn wait_for_owners(env: &PlatformEnv) -> anyhow::Result<()> {
    let all_owned = || async { (0..PARTITIONS).all(|p| env.store.owner("runners", p).is_some()) };
    anyhow::ensure!(eventually(all_owned).await, "a partition has no owner");
    Ok(())
}

/// Splits processes into the owner of this job's partition and the others.
///
/// # Panics
///
/// Panics if the owner is none of them.
#[must_use]
pub fn split_owner(
    env: &PlatformEnv,
    job: &str,
    processes: Vec<(String, Process)>,
) -> (Process, Vec<Process>) {
    let partition = cassia_jobs::partition(job, PARTITIONS);
    let owner = env.store.owner("runners", partition).expect("an owner");
    let (mut owners, others): (Vec<_>, Vec<_>) =
        processes.into_iter().partition(|(host, _)| *host == owner);
    let (_, owner) = owners.pop().expect("the owner is one of them");
    (owner, others.into_iter().map(|(_, process)| process).collect())
}

/// Starts processes and waits until every partition has an owner.
///
/// # Errors
///
/// Fails if one can't be started or a partition gets no owner.
pub async fn start_processes(
    env: &PlatformEnv,
    count: usize,
) -> anyhow::Result<Vec<(String, Process)>> {
    let mut processes = Vec::new();
    for n in 0..count {
        let host = format!("h{n}");
        processes.push((host.clone(), env.start_process(&host).await?));
    }
    wait_for_owners(env).await?;
    Ok(processes)
}

/// Waits until a process serves callers' requests.
///
/// # Errors
///
/// Fails if it doesn't within the time limit.
pub async fn wait_until_serving(env: &PlatformEnv, process: &Process) -> anyhow::Result<()> {
    let serves = || async { env.request(process, "/quote/1", "first").await.status == 200 };
    anyhow::ensure!(eventually(serves).await, "the process doesn't serve requests");
    Ok(())
}
