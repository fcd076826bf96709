//! The common sets of derives.

/// Derives what a plain data type needs: comparison, printing and serialisation.
///
/// `#[serde_as]` must run before the derives, so it is an arm of its own.
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

/// Derives what a small `Copy` key needs: order and hash as well as the plain set.
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
