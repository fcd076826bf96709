//! Identifiers. Numbers are `Copy` keys; names are owned strings.

use std::fmt;

macro_rules! number {
    ($(#[$meta:meta])* $name:ident, $prefix:literal) => {
        $crate::key! {
            $(#[$meta])*
            #[serde(transparent)]
            pub struct $name(pub u64);
        }

        impl $name {
            /// The number that follows this one.
            #[must_use]
            pub fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, concat!($prefix, "{}"), self.0)
            }
        }
    };
}

macro_rules! name {
    ($(#[$meta:meta])* $name:ident) => {
        $(#[$meta])*
        #[derive(
            Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash,
            serde::Serialize, serde::Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub String);

        impl $name {
            /// The name as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(text.to_owned())
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

number!(
    /// A caller's request, unique within the entry that accepted it.
    Request, "req"
);
number!(
    /// One life of a process: drawn anew at each start.
    Incarnation, "inc"
);
number!(
    /// A generation of the configuration. Generations only rise.
    Generation, "gen"
);
number!(
    /// A fencing number, raised each time a lease changes hands.
    Fence, "fence"
);
number!(
    /// The number of a weight version within its model.
    Version, "v"
);
number!(
    /// A training step of one trainer.
    Step, "step"
);
number!(
    /// A batch of one trainer, counted from one.
    Batch, "batch"
);
number!(
    /// An edition of a batch. The higher edition replaces the lower.
    Epoch, "epoch"
);
number!(
    /// The revision of a stored object, raised by each write. Zero: not created.
    Revision, "rev"
);
number!(
    /// A digest of a request's content that does not depend on its id.
    Fingerprint, "fp"
);
number!(
    /// A random value by which a writer recognises its own write.
    Nonce, "nonce"
);

name!(
    /// A host, by the name on the host list.
    Host
);
name!(
    /// A failure domain.
    Domain
);
name!(
    /// A caller.
    Caller
);
name!(
    /// An object of the configuration.
    Object
);

key! {
    /// One attempt of a request at one backend server.
    pub struct Attempt {
        /// The incarnation of the entry that made the attempt.
        pub entry: Incarnation,
        /// The attempt's number within that incarnation.
        pub number: u64,
    }
}

impl fmt::Display for Attempt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}", self.entry.0, self.number)
    }
}

key! {
    /// The place of one sample in a step.
    pub struct Slot {
        /// The group, that is the prompt, counted from zero.
        pub group: u32,
        /// The sample within its group, counted from zero.
        pub index: u32,
    }
}

impl fmt::Display for Slot {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.group, self.index)
    }
}

/// Digests `content` into a fingerprint. The digest is the same on every host.
#[must_use]
pub fn fingerprint(content: &[u8]) -> Fingerprint {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    let fold = |hash: u64, byte: &u8| (hash ^ u64::from(*byte)).wrapping_mul(PRIME);
    Fingerprint(content.iter().fold(OFFSET, fold))
}
