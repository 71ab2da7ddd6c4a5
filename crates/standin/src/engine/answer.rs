//! The answer of the engine as a function of the prompt.

use serde_json::Value;
use std::fmt::Write as _;

/// Letters of a word of the answer.
const WORD_LETTERS: usize = 6;

/// The words of the answer to one prompt. Callers use it to check that they got their own complete
/// answer.
#[derive(Clone, Copy, Debug)]
pub struct AnswerGenerator {
    digest: [u8; blake3::KEY_LEN],
}

impl AnswerGenerator {
    /// Derives the key from a prompt.
    #[must_use]
    pub fn new(prompt: &str) -> Self {
        Self {
            digest: *blake3::hash(prompt.as_bytes()).as_bytes(),
        }
    }

    /// Text of the token at a position. All but the first begin with a space, so that the tokens
    /// joined are the answer.
    #[must_use]
    pub fn token(&self, index: u64) -> String {
        let hash = blake3::keyed_hash(&self.digest, &index.to_le_bytes());
        let letters = hash.as_bytes()[..WORD_LETTERS]
            .iter()
            .map(|byte| char::from(b'a' + byte % 26));
        let space = (index > 0).then_some(' ');
        space.into_iter().chain(letters).collect()
    }

    /// Text of the tokens from `from` up to but not including `to`.
    #[must_use]
    pub fn text(&self, from: u64, to: u64) -> String {
        (from..to).map(|index| self.token(index)).collect()
    }
}

/// The complete answer to a prompt.
#[must_use]
pub fn answer_text(prompt: &str, tokens: u64) -> String {
    AnswerGenerator::new(prompt).text(0, tokens)
}

/// Prompt of a request body: the field `prompt`, or the `messages` of a chat, one to a line.
#[must_use]
pub fn prompt_of(body: &Value) -> Option<String> {
    if let Some(prompt) = body.get("prompt") {
        return prompt.as_str().map(str::to_owned);
    }
    let mut text = String::new();
    for message in body.get("messages")?.as_array()? {
        let role = message.get("role")?.as_str()?;
        let content = message.get("content")?.as_str()?;
        writeln!(text, "{role}: {content}").ok()?;
    }
    Some(text)
}

/// Number of tokens of a text: its words.
#[must_use]
pub fn token_count(text: &str) -> u64 {
    text.split_whitespace().count() as u64
}

/// Content of the KV block with the given key. A block with another content is a wrong block.
#[must_use]
pub fn kv_content(key: &str) -> String {
    blake3::hash(key.as_bytes()).to_hex().to_string()
}
