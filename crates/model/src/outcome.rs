//! What became of a request.

use std::fmt;

key! {
    /// The outcome of an attempt or of a request.
    #[serde(rename_all = "kebab-case")]
    pub enum Outcome {
        /// It ran and the whole answer is at hand.
        Done,
        /// It did not run and will not: there is proof.
        NotRun,
        /// It may have run.
        Unknown,
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Done => "done",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        })
    }
}

key! {
    /// The priority class of a request. The order is the order of service.
    #[serde(rename_all = "kebab-case")]
    pub enum Class {
        /// Somebody waits for the answer.
        Interactive,
        /// A reviewer's draft.
        Review,
        /// A sample for a trainer.
        Training,
    }
}

impl Class {
    /// Every class, the first served first.
    pub const ALL: [Self; 3] = [Self::Interactive, Self::Review, Self::Training];

    /// Parses the text form.
    ///
    /// # Errors
    /// The text itself, if it names no class.
    pub fn parse(text: &str) -> Result<Self, String> {
        match text {
            "interactive" => Ok(Self::Interactive),
            "review" => Ok(Self::Review),
            "training" => Ok(Self::Training),
            other => Err(other.to_owned()),
        }
    }
}
