//! Wrong input of every kind gets a clear error and harms nobody else.

use std::time::Duration;

use cassia_trials::Caller;
use cassia_trials::Process;
use cassia_trials::SAVANNA_KEY;
use cassia_trials::TestEnv;
use cassia_trials::savanna;
use rstest::rstest;
use serde_json::Value;
use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::UdpSocket;
use tokio::time::timeout;

const PATH: &str = "/v1/savanna/quote";

struct Setup {
    _trial: TestEnv,
    _engine: cassia_standin::EngineStandin,
    entry: Process,
    caller: Caller,
}

impl Setup {
    async fn new() -> anyhow::Result<Self> {
        let trial = TestEnv::start().await?;
        let engine = trial.start_engine("renewals-1", trial.engine_spec("renewals")).await?;
        let entry = trial.start_entry("h1").await?;
        let revision = trial.publish(&savanna(), 0).await?;
        trial.wait_until_in_force(&entry, "savanna", revision).await?;
        trial.wait_for_view(&entry, 1, 0).await?;
        Ok(Self { _trial: trial, _engine: engine, entry, caller: Caller::new(SAVANNA_KEY) })
    }

    /// Someone else's request is served as ever.
    async fn others_are_served(&self) {
        let body = json!({"prompt": "x", "max_tokens": 4});
        let reply = self.caller.post(self.entry.listen, PATH, &[], &body).await;
        assert_eq!(reply.status, 200, "{reply:?}");
    }
}

#[rstest]
#[case::no_prompt(PATH, json!({}), 400, "bad_request", "prompt")]
#[case::wrong_type(PATH, json!({"prompt": 7}), 400, "bad_request", "invalid type")]
#[case::unknown_field(PATH, json!({"prompt": "x", "engine": 7}), 400, "bad_request", "engine")]
#[case::not_an_object(PATH, json!("x"), 400, "bad_request", "")]
#[case::too_large(PATH, json!({"prompt": "x".repeat(9 << 20)}), 400, "bad_request", "")]
#[case::no_such_route("/v1/savanna/discount", json!({}), 404, "not_found", "discount")]
#[case::no_such_customer("/v1/zoo/quote", json!({}), 401, "wrong_key", "unknown customer")]
#[case::odd_customer("/v1/%2e%2e/quote", json!({}), 401, "wrong_key", "")]
#[tokio::test(flavor = "multi_thread")]
async fn a_wrong_request_is_told_what_is_wrong(
    #[case] path: &str,
    #[case] body: Value,
    #[case] status: u16,
    #[case] kind: &str,
    #[case] says: &str,
) -> anyhow::Result<()> {
    let setup = Setup::new().await?;
    let reply = setup.caller.post(setup.entry.listen, path, &[], &body).await;
    assert_eq!((reply.status, reply.text("kind")), (status, kind), "{reply:?}");
    assert!(reply.text("message").contains(says), "{reply:?}");
    assert_eq!(reply.text("ran"), "not_run");
    setup.others_are_served().await;
    Ok(())
}

#[rstest]
#[case::not_a_ticket("nonsense")]
#[case::another_secret("t1_127.0.0.1:9_1_0_0_00000000000000000000000000000000")]
#[tokio::test(flavor = "multi_thread")]
async fn a_wrong_ticket_runs_nothing(#[case] ticket: &str) -> anyhow::Result<()> {
    let setup = Setup::new().await?;
    let path = "/v1/savanna/pass-status";
    let reply = setup.caller.redeem(setup.entry.listen, path, ticket, &json!({})).await;
    assert!(matches!(reply.text("kind"), "bad_ticket" | "minter_gone"), "{reply:?}");
    assert_eq!(reply.text("ran"), "unknown");
    setup.others_are_served().await;
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_slow_sender_is_given_up_and_harms_nobody() -> anyhow::Result<()> {
    let setup = Setup::new().await?;
    let mut slow = TcpStream::connect(setup.entry.listen).await?;
    let head = format!(
        "POST {PATH} HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {SAVANNA_KEY}\r\n\
         content-type: application/json\r\ncontent-length: 1000\r\n\r\n{{\"prompt\""
    );
    slow.write_all(head.as_bytes()).await?;
    setup.others_are_served().await;
    let mut answer = vec![0; 4_096];
    let count = timeout(Duration::from_secs(20), slow.read(&mut answer)).await??;
    let answer = String::from_utf8_lossy(&answer[..count]).into_owned();
    assert!(answer.starts_with("HTTP/1.1 400") && answer.contains("stalled"), "{answer}");
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn half_a_request_harms_nobody() -> anyhow::Result<()> {
    let setup = Setup::new().await?;
    for sent in ["", "POST /v1/sav", "\x00\x01\x02\x03\r\n\r\n", "POST / HTTP/1.1\r\n"] {
        let mut half = TcpStream::connect(setup.entry.listen).await?;
        half.write_all(sent.as_bytes()).await?;
        drop(half);
        setup.others_are_served().await;
    }
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn garbage_between_processes_is_dropped() -> anyhow::Result<()> {
    let setup = Setup::new().await?;
    let garbage: [&[u8]; 4] =
        [b"GET / HTTP/1.1\r\n\r\n", &[0xff; 64], &[0, 0, 0, 4, 9, 9, 9, 9], &[0, 0, 0, 0]];
    let udp = UdpSocket::bind("127.0.0.1:0").await?;
    for bytes in garbage {
        let mut stream = TcpStream::connect(setup.entry.link).await?;
        stream.write_all(bytes).await?;
        stream.shutdown().await?;
        // Either an empty reply or a closed connection, and no hang.
        let mut rest = Vec::new();
        let _ = timeout(Duration::from_secs(20), stream.read_to_end(&mut rest)).await?;
        udp.send_to(bytes, setup.entry.link).await?;
    }
    setup.others_are_served().await;
    let health = Caller::new("").get(setup.entry.ops, "/health").await;
    assert_eq!(health.status, 200);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_crowd_of_slow_senders_harms_nobody() -> anyhow::Result<()> {
    let setup = Setup::new().await?;
    let mut crowd = Vec::new();
    for _ in 0..300 {
        let mut slow = TcpStream::connect(setup.entry.listen).await?;
        let head = format!(
            "POST {PATH} HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {SAVANNA_KEY}\r\n\
             content-length: 8000000\r\n\r\n{{"
        );
        slow.write_all(head.as_bytes()).await?;
        crowd.push(slow);
    }
    for _ in 0..20 {
        setup.others_are_served().await;
    }
    // Each of them is told after a while.
    let mut answer = [0; 12];
    let told = crowd.last_mut().expect("a sender").read_exact(&mut answer);
    timeout(Duration::from_secs(20), told).await??;
    assert_eq!(&answer, b"HTTP/1.1 400");
    Ok(())
}
