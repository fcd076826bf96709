//! Settings from flags and environment variables. All invalid ones are reported together.

use std::fmt::Display;
use std::str::FromStr;

use pico_args::Arguments;

/// The exit code for invalid settings.
pub const EXIT_USAGE: i32 = 2;

/// The name, version and help text of a binary.
#[derive(Clone, Copy, Debug)]
pub struct About {
    /// Its name.
    pub name: &'static str,
    /// Its version.
    pub version: &'static str,
    /// The text of `--help`.
    pub help: &'static str,
}

/// Reads settings. A flag `--some-name` takes precedence over the variable
/// `TAMARACKSAIL_SOME_NAME`.
#[derive(Debug)]
pub struct Parser {
    about: About,
    arguments: Arguments,
    errors: Vec<String>,
}

impl Parser {
    /// Creates a parser of the process's arguments. Handles `--help` and `--version` by printing the
    /// text and exiting.
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

    /// Takes the first argument if it is not a flag, and returns it.
    pub fn command(&mut self) -> Option<String> {
        self.arguments.subcommand().ok().flatten()
    }

    /// Returns whether a flag is set.
    pub fn flag(&mut self, flag: &'static str) -> bool {
        self.arguments.contains(flag)
    }

    /// Returns all values of a flag that may be repeated.
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

    /// Records that a setting is invalid, to be reported by [`Parser::finish`].
    pub fn report_invalid(&mut self, flag: &str, problem: &str) {
        self.errors.push(format!("{flag}: {problem}"));
    }

    /// Returns a setting that may be missing.
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

    /// Returns a setting, or `default` if it is missing.
    pub fn with_default<T>(&mut self, flag: &'static str, default: T) -> T
    where
        T: FromStr,
        T::Err: Display,
    {
        self.optional(flag).unwrap_or(default)
    }

    /// Returns a setting that must be present. If it is missing or invalid, returns `placeholder`,
    /// and [`Parser::finish`] exits.
    pub fn required<T>(&mut self, flag: &'static str, placeholder: T) -> T
    where
        T: FromStr,
        T::Err: Display,
    {
        let errors_before = self.errors.len();
        if let Some(value) = self.optional(flag) {
            return value;
        }
        if self.errors.len() == errors_before {
            self.report_invalid(flag, "missing");
        }
        placeholder
    }

    /// Returns the remaining arguments that are not flags.
    pub fn positional(&mut self) -> Vec<String> {
        let mut positional = Vec::new();
        while let Ok(Some(text)) = self.arguments.opt_free_from_str::<String>() {
            positional.push(text);
        }
        positional
    }

    /// Ends the parsing. If there are invalid settings or unknown arguments, prints one line that
    /// names all of them and exits with [`EXIT_USAGE`].
    pub fn finish(mut self) {
        let remaining =
            std::mem::replace(&mut self.arguments, Arguments::from_vec(Vec::new())).finish();
        for argument in remaining {
            self.errors
                .push(format!("{}: unknown argument", argument.to_string_lossy()));
        }
        if !self.errors.is_empty() {
            fail(self.about.name, &self.errors.join("; "));
        }
    }
}

/// Prints an error in one line and exits with [`EXIT_USAGE`].
pub fn fail(name: &str, problem: &str) -> ! {
    eprintln!("{name}: {problem}");
    std::process::exit(EXIT_USAGE);
}
