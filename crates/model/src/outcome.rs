//! Outcomes and priority classes of requests.

use std::fmt;

key! {
    /// The outcome of an attempt or of a request.
    #[serde(rename_all = "kebab-case")]
    pub enum Outcome {
        /// It ran, and the response is complete.
        Done,
        /// It did not run and will not. This is proved, not assumed.
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
    /// The priority class of a request. Classes are served in this order.
    #[serde(rename_all = "kebab-case")]
    pub enum Class {
        /// A user waits for the response.
        Interactive,
        /// A draft for a reviewer.
        Review,
        /// A sample for a trainer.
        Training,
    }
}

impl Class {
    /// All classes, in the order in which they are served.
    pub const ALL: [Self; 3] = [Self::Interactive, Self::Review, Self::Training];

    /// Parses the text form.
    ///
    /// # Errors
    /// Returns `text` if it is not the name of a class.
    pub fn parse(text: &str) -> Result<Self, String> {
        match text {
            "interactive" => Ok(Self::Interactive),
            "review" => Ok(Self::Review),
            "training" => Ok(Self::Training),
            other => Err(other.to_owned()),
        }
    }
}
