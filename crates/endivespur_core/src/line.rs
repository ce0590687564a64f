//! A tokenizer for one line of words, which keeps their columns.
//!
//! It parses the operators' queries and commands and the scenario files.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use winnow::Parser;
use winnow::ascii::{space0, space1};
use winnow::combinator::{alt, delimited, separated};
use winnow::stream::LocatingSlice;
use winnow::token::take_while;

/// A syntax error in a line.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finding {
    /// The line, from 1.
    pub line: usize,
    /// The column, from 1.
    pub column: usize,
    /// What was expected there.
    pub expected: String,
}

impl std::fmt::Display for Finding {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            f,
            "{}:{}: expected {}",
            self.line, self.column, self.expected
        )
    }
}

/// A word with its column.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Word {
    /// The text, without quotation marks.
    text: String,
    /// The column, from 1.
    column: usize,
}

fn word(input: &mut LocatingSlice<&str>) -> winnow::Result<Word> {
    let quoted = delimited('"', take_while(0.., |c| c != '"'), '"');
    let bare = take_while(1.., |c: char| !c.is_whitespace() && c != '"');
    let (text, span) = alt((quoted, bare)).with_span().parse_next(input)?;
    Ok(Word {
        text: text.to_string(),
        column: span.start + 1,
    })
}

/// Splits a line into words; `#` starts a comment.
fn words(text: &str) -> Vec<Word> {
    let text = text.split('#').next().unwrap_or_default();
    let mut parser = delimited(space0, separated(0.., word, space1), space0);
    parser.parse(LocatingSlice::new(text)).unwrap_or_default()
}

/// A line that is being parsed.
pub struct Line {
    number: usize,
    words: Vec<Word>,
    next: usize,
    end: usize,
}

/// The result of parsing a part of a line.
pub type Parsed<T> = Result<T, Finding>;

impl Line {
    /// Splits a line into words.
    pub fn new(number: usize, text: &str) -> Self {
        Self {
            number,
            words: words(text),
            next: 0,
            end: text.len() + 1,
        }
    }

    /// Returns the line's number.
    pub fn number(&self) -> usize {
        self.number
    }

    /// Returns whether all words have been read.
    pub fn is_done(&self) -> bool {
        self.next >= self.words.len()
    }

    /// Returns a finding at the word that was read last.
    pub fn unexpected(&self, expected: &str) -> Finding {
        self.at(self.next.saturating_sub(1), expected)
    }

    fn at(&self, index: usize, expected: &str) -> Finding {
        Finding {
            line: self.number,
            column: self.words.get(index).map_or(self.end, |word| word.column),
            expected: expected.to_string(),
        }
    }

    /// Reads a word.
    ///
    /// # Errors
    ///
    /// Returns a finding with `expected` if the line has ended.
    pub fn word(&mut self, expected: &str) -> Parsed<String> {
        let index = self.next;
        self.next += 1;
        let word = self.words.get(index).map(|word| word.text.clone());
        word.ok_or_else(|| self.at(index, expected))
    }

    /// Reads one of the given words.
    ///
    /// # Errors
    ///
    /// Returns a finding that lists them if the next word is another one.
    pub fn keyword(&mut self, wanted: &[&str]) -> Parsed<String> {
        let expected = wanted.join(" or ");
        let word = self.word(&expected)?;
        if wanted.contains(&word.as_str()) {
            return Ok(word);
        }
        Err(self.unexpected(&expected))
    }

    /// Skips the next word if it is the given one; returns whether it was.
    pub fn skip(&mut self, wanted: &str) -> bool {
        let found = self
            .words
            .get(self.next)
            .is_some_and(|word| word.text == wanted);
        self.next += usize::from(found);
        found
    }

    /// Reads a duration such as `1.5s`.
    ///
    /// # Errors
    ///
    /// Returns a finding if the next word is not a duration.
    pub fn time(&mut self) -> Parsed<Duration> {
        let expected = "a time such as 1s or 500ms";
        let word = self.word(expected)?;
        humantime::parse_duration(&word).map_err(|_| self.unexpected(expected))
    }

    /// Reads a whole number.
    ///
    /// # Errors
    ///
    /// Returns a finding if the next word is not a whole number.
    pub fn number_word<T: std::str::FromStr>(&mut self) -> Parsed<T> {
        let word = self.word("a number")?;
        word.parse().map_err(|_| self.unexpected("a number"))
    }

    /// Reads a list separated by commas.
    ///
    /// # Errors
    ///
    /// Returns a finding with `expected` if the line has ended.
    pub fn list(&mut self, expected: &str) -> Parsed<Vec<String>> {
        Ok(self
            .word(expected)?
            .split(',')
            .map(ToString::to_string)
            .collect())
    }

    /// Checks that no word is left.
    ///
    /// # Errors
    ///
    /// Returns a finding at the next word if one is left.
    pub fn end(&self) -> Parsed<()> {
        if self.is_done() {
            return Ok(());
        }
        Err(self.at(self.next, "the end of the line"))
    }
}
