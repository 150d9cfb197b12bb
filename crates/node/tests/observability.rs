//! Limits on log lines, and metrics rendered as text.

use std::time::Duration;
use std::time::Instant;

use cassia_node::Allowed;
use cassia_node::LineBudget;
use cassia_node::Metrics;
use cassia_node::MetricsPage;

#[test]
fn lines_of_one_kind_are_limited_and_the_rest_counted() {
    let now = Instant::now();
    let mut budget = LineBudget::default();
    let allowed = |a: &Allowed| matches!(a, Allowed::Yes { .. });
    let written = (0..1_000).map(|_| budget.spend(60, now)).filter(allowed).count();
    assert_eq!(written, 60);
    let later = now + Duration::from_secs(1);
    assert_eq!(budget.spend(60, later), Allowed::Yes { left_out: 940 });
    assert_eq!(budget.spend(60, later), Allowed::Yes { left_out: 0 });
}

#[test]
fn page_has_counters_gauges_and_durations() {
    let page = MetricsPage::default();
    let metrics = Metrics::to_page(&page);
    for _ in 0..3 {
        metrics.count("request.answered", "quote");
    }
    metrics.gauge("target.in_flight", "e1", 4);
    metrics.gauge("target.in_flight", "e1", 2);
    for ms in 1..=100 {
        metrics.time("request.time", "quote", Duration::from_millis(ms));
    }
    let text = page.render();
    let has = |line: &str| assert!(text.lines().any(|l| l == line), "{line} not in\n{text}");
    has("cassia_request_answered{customer=\"quote\"} 3");
    has("cassia_target_in_flight{customer=\"e1\"} 2");
    has("cassia_request_time{customer=\"quote\",stat=\"count\"} 100");
    let p50 = text.lines().find(|line| line.contains("quantile=\"0.5\"")).expect("a median");
    let p50: u64 = p50.rsplit(' ').next().and_then(|v| v.parse().ok()).expect("a number");
    assert!((48..=55).contains(&p50), "{p50}");
}

#[test]
fn page_size_is_limited() {
    let page = MetricsPage::default();
    let metrics = Metrics::to_page(&page);
    for n in 0..5_000 {
        metrics.count("request.answered", &format!("r{n}"));
    }
    assert!(page.render().lines().count() <= 400);
}
