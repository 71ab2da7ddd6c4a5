//! The parts of a completion request that the daemon understands.

use anvilgw_config::{ConfigState, ModelSettings, Settings};
use anvilgw_core::{ErrorKind, Failure, ModelId, Stage, WorkspaceId};
use anvilgw_router::{AdapterId, BlockKey, KeyScope, WeightVersion, block_keys};
use bytes::Bytes;
use serde_json::{Map, Value};

/// Generated tokens of a request that names no limit, for the estimate of its cost.
const DEFAULT_MAX_TOKENS: u64 = 256;

/// A checked completion request.
pub(crate) struct Prompt {
    /// The caller's body.
    pub(crate) body: Map<String, Value>,
    /// Whether it is a chat completion.
    pub(crate) is_chat: bool,
    /// Whether the caller wants server-sent events.
    pub(crate) is_stream: bool,
    /// Whether the last event before the end marker carries the usage.
    pub(crate) include_usage: bool,
    /// Name of the model.
    pub(crate) model_name: String,
    /// Number of the model.
    pub(crate) model: ModelId,
    /// Adapter.
    pub(crate) adapter: Option<AdapterId>,
    /// Weight version that new requests use.
    pub(crate) weight_version: WeightVersion,
    /// Keys of the prompt's full blocks.
    pub(crate) keys: Vec<BlockKey>,
    /// Tokens of a block.
    pub(crate) block_tokens: u32,
    /// Bytes of the KV cache of a block.
    pub(crate) block_bytes: u64,
    /// Estimated tokens of the prompt.
    pub(crate) prompt_tokens: u64,
    /// Most tokens that are generated.
    pub(crate) max_tokens: u64,
}

impl Prompt {
    /// Parses and checks a body.
    ///
    /// # Errors
    ///
    /// A failure at stage `Received` if the body is malformed or names something unknown.
    pub(crate) fn parse(
        settings: &Settings,
        workspace: WorkspaceId,
        is_chat: bool,
        bytes: &Bytes,
    ) -> Result<Self, Failure> {
        let body: Map<String, Value> = serde_json::from_slice(bytes)
            .map_err(|error| bad_request(format!("the body is not a JSON object: {error}")))?;
        let model_name = string(&body, "model")?.to_owned();
        let model = settings.model_id(&model_name);
        let known = model.zip(settings.models.get(&model_name));
        let (model, model_settings) = known.ok_or_else(|| {
            let detail = format!("there is no model {model_name:?}");
            Failure::new(ErrorKind::NotFound, Stage::Received, detail)
        })?;
        let text = prompt_text(&body, is_chat)?;
        let adapter = adapter(&body, model_settings)?;
        let weight_version = crate::backends::weight_version(model_settings);
        let scope = KeyScope {
            workspace,
            model,
            adapter,
            weight_version,
        };
        let block_bytes =
            model_settings.block_tokens as usize * model_settings.bytes_per_token as usize;
        let include_usage = body
            .get("stream_options")
            .and_then(|options| options.get("include_usage"))
            .and_then(Value::as_bool);
        Ok(Self {
            is_chat,
            is_stream: boolean(&body, "stream")?,
            include_usage: include_usage.unwrap_or(false),
            model_name,
            model,
            adapter,
            weight_version,
            keys: block_keys(&scope, text.as_bytes(), block_bytes),
            block_tokens: model_settings.block_tokens,
            block_bytes: u64::from(model_settings.block_tokens) * model_settings.kv_bytes_per_token,
            prompt_tokens: (text.len() as u64).div_ceil(model_settings.bytes_per_token.into()),
            max_tokens: max_tokens(&body)?,
            body,
        })
    }

    /// Checks that the workspace may use the model and adapter.
    ///
    /// # Errors
    ///
    /// A failure at stage `Received` if it may not.
    pub(crate) fn check_entitlement(
        &self,
        config: &ConfigState,
        workspace: &str,
    ) -> Result<(), Failure> {
        let adapter = self.body.get("adapter").and_then(Value::as_str);
        let allowed = config
            .entitlements
            .allows_model(workspace, &self.model_name)
            && adapter.is_none_or(|name| config.entitlements.allows_adapter(workspace, name));
        if allowed {
            return Ok(());
        }
        Err(Failure::new(
            ErrorKind::NotEntitled,
            Stage::Received,
            format!("the plan does not include model {:?}", self.model_name),
        ))
    }

    /// Estimated tokens to compute and to generate.
    pub(crate) fn cost_tokens(&self) -> u64 {
        self.prompt_tokens + self.max_tokens
    }
}

fn bad_request(detail: impl Into<String>) -> Failure {
    Failure::new(ErrorKind::BadRequest, Stage::Received, detail)
}

fn string<'a>(body: &'a Map<String, Value>, field: &str) -> Result<&'a str, Failure> {
    body.get(field)
        .and_then(Value::as_str)
        .ok_or_else(|| bad_request(format!("field {field:?} must be a string")))
}

fn boolean(body: &Map<String, Value>, field: &str) -> Result<bool, Failure> {
    match body.get(field) {
        None | Some(Value::Null) => Ok(false),
        Some(Value::Bool(value)) => Ok(*value),
        Some(_) => Err(bad_request(format!("field {field:?} must be a boolean"))),
    }
}

fn max_tokens(body: &Map<String, Value>) -> Result<u64, Failure> {
    let value = body
        .get("max_completion_tokens")
        .or_else(|| body.get("max_tokens"));
    match value {
        None | Some(Value::Null) => Ok(DEFAULT_MAX_TOKENS),
        Some(value) => value
            .as_u64()
            .filter(|tokens| *tokens > 0)
            .ok_or_else(|| bad_request("field \"max_tokens\" must be a positive integer")),
    }
}

fn adapter(body: &Map<String, Value>, model: &ModelSettings) -> Result<Option<AdapterId>, Failure> {
    let Some(name) = body.get("adapter").filter(|value| !value.is_null()) else {
        return Ok(None);
    };
    let index = name
        .as_str()
        .and_then(|name| model.adapters.iter().position(|known| known == name))
        .and_then(|index| u16::try_from(index).ok());
    let index = index.ok_or_else(|| {
        let detail = format!("the model has no adapter {name}");
        Failure::new(ErrorKind::NotFound, Stage::Received, detail)
    })?;
    Ok(Some(AdapterId(index)))
}

/// The text that determines the KV blocks: the prompt, or roles and contents of the messages.
fn prompt_text(body: &Map<String, Value>, is_chat: bool) -> Result<String, Failure> {
    if !is_chat {
        return string(body, "prompt").map(str::to_owned);
    }
    let messages = body
        .get("messages")
        .and_then(Value::as_array)
        .filter(|messages| !messages.is_empty())
        .ok_or_else(|| bad_request("field \"messages\" must be an array with a message"))?;
    let mut text = String::new();
    for message in messages {
        let role = message.get("role").and_then(Value::as_str);
        let content = message.get("content");
        let (Some(role), Some(content)) = (role, content) else {
            return Err(bad_request("each message needs a role and a content"));
        };
        text.push_str(role);
        text.push('\n');
        match content {
            Value::String(content) => text.push_str(content),
            // Content parts are compared by their JSON text.
            other => text.push_str(&other.to_string()),
        }
        text.push('\n');
    }
    Ok(text)
}
