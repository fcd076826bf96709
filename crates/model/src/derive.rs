//! Macros for the common sets of derives.

/// Derives cloning, equality, debug printing and serialisation for a data type.
///
/// The attribute `#[serde_as]` must come before the derives, so it has its own arm.
#[macro_export]
macro_rules! plain {
    ($(#[doc = $doc:literal])* #[serde_as] $(#[$meta:meta])* $vis:vis struct $($rest:tt)*) => {
        #[serde_with::serde_as]
        #[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
        $(#[doc = $doc])*
        $(#[$meta])* $vis struct $($rest)*
    };
    ($(#[$meta:meta])* $vis:vis struct $($rest:tt)*) => {
        #[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
        $(#[$meta])* $vis struct $($rest)*
    };
    ($(#[$meta:meta])* $vis:vis enum $($rest:tt)*) => {
        #[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
        $(#[$meta])* $vis enum $($rest)*
    };
}

/// Derives `Copy`, ordering and hashing as well as the traits of [`plain!`] for a small type that is
/// used as a key.
#[macro_export]
macro_rules! key {
    ($(#[$meta:meta])* $vis:vis struct $($rest:tt)*) => {
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash,
            serde::Serialize, serde::Deserialize,
        )]
        $(#[$meta])* $vis struct $($rest)*
    };
    ($(#[$meta:meta])* $vis:vis enum $($rest:tt)*) => {
        #[derive(
            Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash,
            serde::Serialize, serde::Deserialize,
        )]
        $(#[$meta])* $vis enum $($rest)*
    };
}
