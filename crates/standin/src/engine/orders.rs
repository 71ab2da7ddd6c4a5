//! Execution of orders, which carry a fencing token.

use super::EngineStandin;
use super::protocol::{FencedOrder, Order};
use crate::server::{Reply, StandinRequest};
use http::StatusCode;
use serde_json::{Value, json};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

/// Pause before a load that the weight store did not complete is tried again.
const STORE_BUSY_PAUSE: Duration = Duration::from_millis(50);

impl EngineStandin {
    /// Handles `POST /control/orders`. Weights are loaded after the answer; a role is set before
    /// it.
    pub(super) fn accept_order(self: &Arc<Self>, request: &StandinRequest) -> Reply {
        let Ok(order) = serde_json::from_slice::<FencedOrder>(&request.body) else {
            return Reply::error(
                StatusCode::BAD_REQUEST,
                "the body is not a JSON object with a token and a known order",
            );
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
                .spawn(Arc::clone(self).execute_order(order.order, state.start_ms));
        }
        Reply::ok(&answer)
    }

    async fn execute_order(self: Arc<Self>, order: Order, start_ms: u64) {
        let _guard = self.order_lock.lock().await;
        // An adapter is loaded while requests are served. Other loads refuse new requests.
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

    /// Sets `OrderState::loading`. Returns false if the engine has crashed since the order, which
    /// drops the order.
    fn set_loading(&self, loading: bool, start_ms: u64) -> bool {
        let mut state = self.state();
        let is_current_process = state.start_ms == start_ms;
        if is_current_process {
            state.orders.loading = loading;
        }
        is_current_process
    }

    /// Loads weights. Retries until the weight store completes the load or the engine has crashed.
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
                .http_client
                .get_with_long_timeout(store, &format!("/weights/{name}"))
                .await;
            if loaded.is_ok() {
                return;
            }
            sleep(STORE_BUSY_PAUSE).await;
        }
    }
}
