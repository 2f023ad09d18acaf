//! Words of one line of a scenario.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::str::FromStr;
use std::time::Duration;

use derive_more::Display;
use derive_more::Error;

/// What is wrong with a line of a scenario.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("{file}:{line}: {message}")]
pub struct ParseError {
    /// The file.
    pub file: String,
    /// The number of the line, from 1.
    pub line: usize,
    /// What is wrong and what is allowed.
    pub message: String,
}

/// The words and the `name=value` options of one line.
#[derive(Clone, Debug)]
pub(super) struct Args {
    file: String,
    line: usize,
    words: VecDeque<String>,
    options: BTreeMap<String, String>,
    known: Vec<&'static str>,
}

impl Args {
    /// Splits a line. The part after `#` is a comment.
    pub(super) fn split(file: &str, line: usize, text: &str) -> Result<Self, ParseError> {
        let mut args = Self {
            file: file.to_owned(),
            line,
            words: VecDeque::new(),
            options: BTreeMap::new(),
            known: Vec::new(),
        };
        let text = text.split('#').next().unwrap_or_default();
        for word in text.split_whitespace() {
            let Some((name, value)) = word.split_once('=') else {
                args.words.push_back(word.to_owned());
                continue;
            };
            let twice = args.options.insert(name.to_owned(), value.to_owned());
            if twice.is_some() {
                return Err(args.error(format!("{name}= is there twice")));
            }
        }
        Ok(args)
    }

    pub(super) fn is_empty(&self) -> bool {
        self.words.is_empty() && self.options.is_empty()
    }

    pub(super) fn error(&self, message: impl Into<String>) -> ParseError {
        ParseError {
            file: self.file.clone(),
            line: self.line,
            message: message.into(),
        }
    }

    /// Takes the next word.
    pub(super) fn word(&mut self, what: &str) -> Result<String, ParseError> {
        let word = self.words.pop_front();
        word.ok_or_else(|| self.error(format!("{what} is missing")))
    }

    /// Takes the next word, which must be one of `allowed`.
    pub(super) fn one_of(&mut self, allowed: &[&str]) -> Result<String, ParseError> {
        let list = allowed.join(", ");
        let word = self.word(&format!("one of {list}"))?;
        if allowed.contains(&word.as_str()) {
            Ok(word)
        } else {
            Err(self.error(format!("{word:?} is not allowed here; allowed: {list}")))
        }
    }

    /// Takes the next word as a value.
    pub(super) fn value<T: FromStr>(&mut self, what: &str) -> Result<T, ParseError> {
        let word = self.word(what)?;
        let value = word.parse();
        value.map_err(|_| self.error(format!("{word:?} is not {what}")))
    }

    /// Takes the next word as a time such as `200ms` or `8s`.
    pub(super) fn time(&mut self) -> Result<Duration, ParseError> {
        let word = self.word("a time such as 200ms or 8s")?;
        self.parse_time(&word)
    }

    /// Takes all words that are left.
    pub(super) fn rest(&mut self) -> Vec<String> {
        self.words.drain(..).collect()
    }

    /// Takes `flag`, wherever it stands.
    pub(super) fn flag(&mut self, flag: &str) -> bool {
        let found = self.words.iter().position(|word| word == flag);
        found.and_then(|index| self.words.remove(index)).is_some()
    }

    /// Takes `flag` and the word after it.
    pub(super) fn after(&mut self, flag: &str) -> Option<String> {
        let found = self.words.iter().position(|word| word == flag)?;
        self.words.remove(found);
        self.words.remove(found)
    }

    /// Takes the value of an option.
    pub(super) fn option(&mut self, name: &'static str) -> Option<String> {
        self.known.push(name);
        self.options.remove(name)
    }

    /// Takes the value of an option that must be there.
    pub(super) fn required(&mut self, name: &'static str) -> Result<String, ParseError> {
        let value = self.option(name);
        value.ok_or_else(|| self.error(format!("{name}= is missing")))
    }

    /// Takes an option as a time.
    pub(super) fn time_option(
        &mut self,
        name: &'static str,
    ) -> Result<Option<Duration>, ParseError> {
        let value = self.option(name);
        value.map(|word| self.parse_time(&word)).transpose()
    }

    /// Takes an option as a number.
    pub(super) fn number(&mut self, name: &'static str) -> Result<Option<u32>, ParseError> {
        let Some(word) = self.option(name) else {
            return Ok(None);
        };
        let number = word.parse();
        let number = number.map_err(|_| self.error(format!("{name}={word} is not a number")))?;
        Ok(Some(number))
    }

    /// Refuses words and options that nothing has taken.
    pub(super) fn finish(&self) -> Result<(), ParseError> {
        if let Some(word) = self.words.front() {
            return Err(self.error(format!("{word:?} is too much")));
        }
        if let Some(name) = self.options.keys().next() {
            let known = self.known.join("=, ");
            return Err(self.error(format!("{name}= is unknown here; allowed: {known}=")));
        }
        Ok(())
    }

    fn parse_time(&self, word: &str) -> Result<Duration, ParseError> {
        let millis = match (word.strip_suffix("ms"), word.strip_suffix('s')) {
            (Some(millis), _) => millis.parse().ok(),
            (None, Some(seconds)) => seconds.parse::<u64>().ok().map(|s| s.saturating_mul(1000)),
            (None, None) => None,
        };
        let millis = millis
            .ok_or_else(|| self.error(format!("{word:?} is not a time such as 200ms or 8s")))?;
        Ok(Duration::from_millis(millis))
    }
}
