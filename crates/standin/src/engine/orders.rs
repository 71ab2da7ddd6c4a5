//! Orders with a fencing token.

use super::EngineStandin;
use super::protocol::{FencedOrder, Order};
use crate::server::{Call, Reply};
use http::StatusCode;
use serde_json::{Value, json};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

/// Pause after the weight store has refused a load.
const STORE_BUSY_PAUSE: Duration = Duration::from_millis(50);

impl EngineStandin {
    /// `POST /control/orders`. The order is executed after the answer.
    pub(super) fn take_order(self: &Arc<Self>, call: &Call) -> Reply {
        let Ok(order) = serde_json::from_slice::<FencedOrder>(&call.body) else {
            return Reply::error(StatusCode::BAD_REQUEST, "no token or no known order");
        };
        let mut state = self.state();
        let orders = &mut state.orders;
        if self.config.obeys_fencing && order.token < orders.highest_token {
            let answer = json!({"highest_token": orders.highest_token});
            return Reply::json(StatusCode::CONFLICT, &answer);
        }
        orders.highest_token = orders.highest_token.max(order.token);
        orders.taken.push(order.clone());
        let answer = json!({"highest_token": orders.highest_token});
        if let Order::SetRole { role } = order.order {
            orders.role = role;
        } else {
            self.runtime
                .spawn(Arc::clone(self).execute(order.order, state.start_ms));
        }
        Reply::ok(&answer)
    }

    async fn execute(self: Arc<Self>, order: Order, start_ms: u64) {
        let _turn = self.order_turn.lock().await;
        // An adapter is loaded beside the running work; other weights are not.
        let is_exclusive = !matches!(order, Order::LoadAdapter { .. });
        if !self.set_loading(is_exclusive, start_ms) {
            return;
        }
        self.load_weights(&order, start_ms).await;
        if !self.set_loading(false, start_ms) {
            return;
        }
        let mut state = self.state();
        match order {
            Order::LoadModel { model } => state.orders.models.push(model),
            Order::LoadAdapter { adapter } => state.orders.adapters.push(adapter),
            Order::LoadVersion { version } => {
                state.orders.weight_version = version;
                self.clear_cache(&mut state);
            }
            Order::SetRole { role } => state.orders.role = role,
        }
    }

    /// Returns false if a crash has dropped the order.
    fn set_loading(&self, loading: bool, start_ms: u64) -> bool {
        let mut state = self.state();
        let is_same_process = state.start_ms == start_ms;
        if is_same_process {
            state.orders.loading = loading;
        }
        is_same_process
    }

    /// Loads weights, however often the store refuses, until the process has crashed.
    async fn load_weights(&self, order: &Order, start_ms: u64) {
        let name = match order {
            Order::LoadModel { model } => model.clone(),
            Order::LoadAdapter { adapter } => adapter.clone(),
            Order::LoadVersion { version } => version.to_string(),
            Order::SetRole { .. } => return,
        };
        let Some(store) = self.config.weight_store else {
            return sleep(Duration::from_millis(self.config.weight_load_ms)).await;
        };
        while self.state().start_ms == start_ms {
            let loaded: Result<Value, _> = self
                .fetcher
                .get_slowly(store, &format!("/weights/{name}"))
                .await;
            if loaded.is_ok() {
                return;
            }
            sleep(STORE_BUSY_PAUSE).await;
        }
    }
}
