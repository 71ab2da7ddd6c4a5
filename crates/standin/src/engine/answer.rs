//! Generation of the engine's answer, which depends on the prompt alone.

use serde_json::Value;
use std::fmt::Write as _;

/// Letters in one word (token) of an answer.
const WORD_LETTERS: usize = 6;

/// Generates the words of the answer to one prompt. Callers use it to check that they received the
/// complete answer to their own prompt.
#[derive(Clone, Copy, Debug)]
pub struct AnswerGenerator {
    digest: [u8; blake3::KEY_LEN],
}

impl AnswerGenerator {
    /// Derives a generator from a prompt. Equal prompts give equal answers.
    #[must_use]
    pub fn new(prompt: &str) -> Self {
        Self {
            digest: *blake3::hash(prompt.as_bytes()).as_bytes(),
        }
    }

    /// Returns the token at a position, counted from 0. All but the first begin with a space, so
    /// that the concatenated tokens are the answer.
    #[must_use]
    pub fn token(&self, index: u64) -> String {
        let hash = blake3::keyed_hash(&self.digest, &index.to_le_bytes());
        let letters = hash.as_bytes()[..WORD_LETTERS]
            .iter()
            .map(|byte| char::from(b'a' + byte % 26));
        let space = (index > 0).then_some(' ');
        space.into_iter().chain(letters).collect()
    }

    /// Returns the text of the tokens at the positions `from..to`.
    #[must_use]
    pub fn text(&self, from: u64, to: u64) -> String {
        (from..to).map(|index| self.token(index)).collect()
    }
}

/// Returns the complete answer to a prompt, with a length of `tokens`.
#[must_use]
pub fn answer_text(prompt: &str, tokens: u64) -> String {
    AnswerGenerator::new(prompt).text(0, tokens)
}

/// Returns the prompt of a request body: the field `prompt`, or the `messages` of a chat, each on a
/// line of its own. Returns `None` if the body has neither or they are malformed.
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

/// Returns the number of tokens of a text. Each word counts as one token.
#[must_use]
pub fn token_count(text: &str) -> u64 {
    text.split_whitespace().count() as u64
}

/// Returns the content that the KV block with the given key must have.
#[must_use]
pub fn kv_content(key: &str) -> String {
    blake3::hash(key.as_bytes()).to_hex().to_string()
}
