//! The weights controller; not yet.

use std::sync::Arc;

use crate::app::App;

pub(crate) async fn run(app: Arc<App>) {
    app.board.until_stopping().await;
}
