//! What the parts of the program work on.

use std::sync::Arc;

use cassia_node::Metrics;
use cassia_node::MetricsPage;
use cassia_platform::HttpClient;
use cassia_platform::Store;

use crate::board::Board;
use crate::body::Held;
use crate::clock::BootClock;
use crate::clock::Clock;
use crate::flags::ServeSettings;
use crate::shelf::Shelf;

/// The blackboard and the ways to the outside.
#[derive(Debug)]
pub(crate) struct App {
    pub(crate) board: Board,
    pub(crate) store: Arc<dyn Store>,
    /// The way to targets.
    pub(crate) client: HttpClient,
    pub(crate) clock: Box<dyn Clock>,
    pub(crate) shelf: Shelf,
    /// Bodies of requests that are still coming.
    pub(crate) held: Held,
    pub(crate) metrics: Metrics,
    /// Where the metrics are read.
    pub(crate) page: MetricsPage,
    pub(crate) settings: ServeSettings,
}

impl App {
    pub(crate) fn new(settings: &ServeSettings, store: Arc<dyn Store>) -> Self {
        let page = MetricsPage::default();
        Self {
            board: Board::new(settings),
            shelf: Shelf::new(Arc::clone(&store), settings.store_parts),
            held: Held::default(),
            store,
            client: HttpClient::default(),
            clock: Box::new(BootClock::new()),
            metrics: Metrics::to_page(&page),
            page,
            settings: settings.clone(),
        }
    }
}
