//! Settings from flags and environment variables; every wrong one is reported at once.

use std::fmt::Display;
use std::str::FromStr;

use pico_args::Arguments;

/// The exit code for wrong settings.
pub const EXIT_USAGE: i32 = 2;

/// What a binary says of itself.
#[derive(Clone, Copy, Debug)]
pub struct About {
    /// Its name.
    pub name: &'static str,
    /// Its version.
    pub version: &'static str,
    /// The text of `--help`.
    pub help: &'static str,
}

/// Reads settings. A flag `--some-name` goes before `TAMARACKSAIL_SOME_NAME`.
#[derive(Debug)]
pub struct Parser {
    about: About,
    arguments: Arguments,
    errors: Vec<String>,
}

impl Parser {
    /// Starts with the process's own arguments. Answers `--help` and `--version` and exits.
    #[must_use]
    pub fn new(about: About) -> Self {
        let mut arguments = Arguments::from_env();
        if arguments.contains(["-h", "--help"]) {
            println!("{}", about.help.trim_end());
            std::process::exit(0);
        }
        if arguments.contains(["-V", "--version"]) {
            println!("{} {}", about.name, about.version);
            std::process::exit(0);
        }
        Self {
            about,
            arguments,
            errors: Vec::new(),
        }
    }

    /// The first free argument.
    pub fn command(&mut self) -> Option<String> {
        self.arguments.subcommand().ok().flatten()
    }

    /// Whether a flag is there.
    pub fn flag(&mut self, flag: &'static str) -> bool {
        self.arguments.contains(flag)
    }

    /// Every value of a flag that may be repeated.
    pub fn values<T>(&mut self, flag: &'static str) -> Vec<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        let mut values = Vec::new();
        while let Some(text) = self.text(flag) {
            match text.parse() {
                Ok(value) => values.push(value),
                Err(error) => self.report_invalid(flag, &format!("{text:?}: {error}")),
            }
        }
        values
    }

    fn text(&mut self, flag: &'static str) -> Option<String> {
        match self.arguments.opt_value_from_str::<_, String>(flag) {
            Ok(text) => text,
            Err(error) => {
                self.report_invalid(flag, &error.to_string());
                None
            }
        }
    }

    fn text_or_env(&mut self, flag: &'static str) -> Option<String> {
        let variable = format!(
            "TAMARACKSAIL_{}",
            flag.trim_start_matches('-')
                .replace('-', "_")
                .to_uppercase()
        );
        self.text(flag).or_else(|| std::env::var(variable).ok())
    }

    /// Records that a setting is wrong.
    pub fn report_invalid(&mut self, flag: &str, problem: &str) {
        self.errors.push(format!("{flag}: {problem}"));
    }

    /// A setting that may be missing.
    pub fn optional<T>(&mut self, flag: &'static str) -> Option<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        let text = self.text_or_env(flag)?;
        match text.parse() {
            Ok(value) => Some(value),
            Err(error) => {
                self.report_invalid(flag, &format!("{text:?}: {error}"));
                None
            }
        }
    }

    /// A setting with a default.
    pub fn with_default<T>(&mut self, flag: &'static str, default: T) -> T
    where
        T: FromStr,
        T::Err: Display,
    {
        self.optional(flag).unwrap_or(default)
    }

    /// A setting that must be there. Without it [`Parser::finish`] exits; until then the
    /// placeholder stands in.
    pub fn required<T>(&mut self, flag: &'static str, placeholder: T) -> T
    where
        T: FromStr,
        T::Err: Display,
    {
        let errors = self.errors.len();
        if let Some(value) = self.optional(flag) {
            return value;
        }
        if self.errors.len() == errors {
            self.report_invalid(flag, "missing");
        }
        placeholder
    }

    /// Takes the free arguments that are left.
    pub fn positional(&mut self) -> Vec<String> {
        let mut free = Vec::new();
        while let Ok(Some(text)) = self.arguments.opt_free_from_str::<String>() {
            free.push(text);
        }
        free
    }

    /// Ends the parsing. Prints one line that names every wrong setting and exits with
    /// [`EXIT_USAGE`] if there is one.
    pub fn finish(mut self) {
        let rest = std::mem::replace(&mut self.arguments, Arguments::from_vec(Vec::new())).finish();
        for argument in rest {
            self.errors
                .push(format!("{}: unknown argument", argument.to_string_lossy()));
        }
        if !self.errors.is_empty() {
            fail(self.about.name, &self.errors.join("; "));
        }
    }
}

/// Prints one line and exits with [`EXIT_USAGE`].
pub fn fail(name: &str, problem: &str) -> ! {
    eprintln!("{name}: {problem}");
    std::process::exit(EXIT_USAGE);
}
