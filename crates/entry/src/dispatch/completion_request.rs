//! Parsing and validation of completion requests. Fields that the daemon does not know stay in the
//! body and reach the engine unchanged.

use anvilgw_config::{ConfigState, ModelSettings, Settings};
use anvilgw_core::{ErrorKind, Failure, ModelId, Stage, WorkspaceId};
use anvilgw_quarantine::{PartKey, Suspect, WorkspaceKey};
use anvilgw_router::{AdapterId, BlockKey, KeyScope, WeightVersion, block_keys};
use bytes::Bytes;
use serde_json::{Map, Value};

/// Number of generated tokens that the cost estimate assumes for a request without a token limit.
const ASSUMED_MAX_TOKENS: u64 = 256;

/// A parsed and validated completion request.
pub(crate) struct CompletionRequest {
    /// The request body as the caller sent it.
    pub(crate) body: Map<String, Value>,
    /// Whether the request is a chat completion.
    pub(crate) is_chat: bool,
    /// Whether the caller requests the answer as server-sent events.
    pub(crate) is_stream: bool,
    /// Whether the last event before the end marker reports the token usage.
    pub(crate) include_usage: bool,
    /// Name of the requested model.
    pub(crate) model_name: String,
    /// Number of the model, its index in the settings.
    pub(crate) model: ModelId,
    /// Number of the requested adapter among those of the model. `None` selects the base model.
    pub(crate) adapter: Option<AdapterId>,
    /// Weight version of the model in the settings, which new requests use.
    pub(crate) weight_version: WeightVersion,
    /// Keys of the full KV cache blocks of the prompt.
    pub(crate) keys: Vec<BlockKey>,
    /// Tokens per block.
    pub(crate) block_tokens: u32,
    /// Size of a block in the KV cache, in bytes.
    pub(crate) block_bytes: u64,
    /// Estimated number of prompt tokens, from the length of the text.
    pub(crate) prompt_tokens: u64,
    /// Limit of generated tokens, or [`ASSUMED_MAX_TOKENS`] if the request sets none.
    pub(crate) max_tokens: u64,
}

impl CompletionRequest {
    /// Parses and validates a request body.
    ///
    /// # Errors
    ///
    /// A failure at stage `Received` if the body is malformed or names an unknown model or adapter.
    pub(crate) fn parse(
        settings: &Settings,
        workspace: WorkspaceId,
        is_chat: bool,
        bytes: &Bytes,
    ) -> Result<Self, Failure> {
        let body: Map<String, Value> = serde_json::from_slice(bytes)
            .map_err(|error| bad_request(format!("the body is not a JSON object: {error}")))?;
        let model_name = string_field(&body, "model")?.to_owned();
        let model = settings.model_id(&model_name);
        let known = model.zip(settings.models.get(&model_name));
        let (model, model_settings) = known.ok_or_else(|| {
            let detail = format!("model {model_name:?} does not exist");
            Failure::new(ErrorKind::NotFound, Stage::Received, detail)
        })?;
        let text = prompt_text(&body, is_chat)?;
        let adapter = adapter_id(&body, model_settings)?;
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
            is_stream: bool_field(&body, "stream")?,
            include_usage: include_usage.unwrap_or(false),
            model_name,
            model,
            adapter,
            weight_version,
            keys: block_keys(&scope, text.as_bytes(), block_bytes),
            block_tokens: model_settings.block_tokens,
            block_bytes: u64::from(model_settings.block_tokens) * model_settings.kv_bytes_per_token,
            prompt_tokens: (text.len() as u64).div_ceil(model_settings.bytes_per_token.into()),
            max_tokens: max_tokens_field(&body)?,
            body,
        })
    }

    /// Returns the prefixes of the prompt under which an engine may end, by their last blocks. Of a
    /// long prompt, these are the first blocks and then ever longer prefixes.
    pub(crate) fn suspects(&self, workspace: WorkspaceId) -> Vec<Suspect> {
        /// Number of blocks at the start of the prompt that are all named.
        const FIRST_BLOCKS: usize = 8;
        let is_named = |blocks: usize| blocks <= FIRST_BLOCKS || blocks.is_power_of_two();
        (1..)
            .zip(&self.keys)
            .filter(|(blocks, _)| is_named(*blocks))
            .map(|(_, key)| Suspect {
                part: PartKey(key.short().0),
                workspace: WorkspaceKey(u64::from(workspace.0)),
            })
            .collect()
    }

    /// Checks that the workspace is entitled to the model and adapter.
    ///
    /// # Errors
    ///
    /// A failure of kind `NotEntitled` at stage `Received` if it is not.
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

    /// Returns the cost estimate for admission: prompt tokens plus generated tokens.
    pub(crate) fn cost_tokens(&self) -> u64 {
        self.prompt_tokens + self.max_tokens
    }
}

fn bad_request(detail: impl Into<String>) -> Failure {
    Failure::new(ErrorKind::BadRequest, Stage::Received, detail)
}

fn string_field<'a>(body: &'a Map<String, Value>, field: &str) -> Result<&'a str, Failure> {
    body.get(field)
        .and_then(Value::as_str)
        .ok_or_else(|| bad_request(format!("field {field:?} must be a string")))
}

fn bool_field(body: &Map<String, Value>, field: &str) -> Result<bool, Failure> {
    match body.get(field) {
        None | Some(Value::Null) => Ok(false),
        Some(Value::Bool(value)) => Ok(*value),
        Some(_) => Err(bad_request(format!("field {field:?} must be a boolean"))),
    }
}

fn max_tokens_field(body: &Map<String, Value>) -> Result<u64, Failure> {
    let value = body
        .get("max_completion_tokens")
        .or_else(|| body.get("max_tokens"));
    match value {
        None | Some(Value::Null) => Ok(ASSUMED_MAX_TOKENS),
        Some(value) => value
            .as_u64()
            .filter(|tokens| *tokens > 0)
            .ok_or_else(|| bad_request("field \"max_tokens\" must be a positive integer")),
    }
}

fn adapter_id(
    body: &Map<String, Value>,
    model: &ModelSettings,
) -> Result<Option<AdapterId>, Failure> {
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

/// Returns the text that block keys are computed from: the prompt, or the roles and contents of all
/// messages.
///
/// # Errors
///
/// A failure at stage `Received` if a field is missing or has the wrong type.
fn prompt_text(body: &Map<String, Value>, is_chat: bool) -> Result<String, Failure> {
    if !is_chat {
        return string_field(body, "prompt").map(str::to_owned);
    }
    let messages = body
        .get("messages")
        .and_then(Value::as_array)
        .filter(|messages| !messages.is_empty())
        .ok_or_else(|| bad_request("field \"messages\" must be a non-empty array"))?;
    let mut text = String::new();
    for message in messages {
        let role = message.get("role").and_then(Value::as_str);
        let content = message.get("content");
        let (Some(role), Some(content)) = (role, content) else {
            return Err(bad_request(
                "each message must have a string \"role\" and a \"content\"",
            ));
        };
        text.push_str(role);
        text.push('\n');
        match content {
            Value::String(content) => text.push_str(content),
            // Structured content is represented by its JSON text.
            other => text.push_str(&other.to_string()),
        }
        text.push('\n');
    }
    Ok(text)
}
