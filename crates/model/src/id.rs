//! Identifiers. Numeric ones are `Copy`; names are owned strings.

use std::fmt;

macro_rules! number {
    ($(#[$meta:meta])* $name:ident, $prefix:literal) => {
        $crate::key! {
            $(#[$meta])*
            #[serde(transparent)]
            pub struct $name(pub u64);
        }

        impl $name {
            /// Returns the next number.
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
            /// Returns the name as text.
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
    /// One start of a process: a number chosen at random each time the process starts.
    Incarnation, "inc"
);
number!(
    /// A generation of the configuration. Generations only increase.
    Generation, "gen"
);
number!(
    /// A fencing token, which increases each time a lease gets a new holder.
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
    /// The edition of a batch. A higher edition replaces a lower one.
    Epoch, "epoch"
);
number!(
    /// The revision of a stored object, which increases with each write. Zero means that the object
    /// does not exist yet.
    Revision, "rev"
);
number!(
    /// A digest of a request's content. It does not depend on the request's id.
    Fingerprint, "fp"
);
number!(
    /// A random value by which a writer recognises its own write.
    Nonce, "nonce"
);

name!(
    /// The name of a host on the host list.
    Host
);
name!(
    /// The name of a failure domain.
    Domain
);
name!(
    /// The name of a caller.
    Caller
);
name!(
    /// The name of a configuration object.
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
    /// The position of a sample within a training step.
    pub struct Slot {
        /// The index of the group, whose samples share a prompt; the first is zero.
        pub group: u32,
        /// The index of the sample within its group; the first is zero.
        pub index: u32,
    }
}

impl fmt::Display for Slot {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.group, self.index)
    }
}

impl Fingerprint {
    /// The fingerprint of requests that are never suspected of crashing servers: samples for trainers
    /// are owed, whatever happened to the servers that ran them.
    pub const OWED: Self = Self(0);
}

/// The FNV-1a hash of no bytes.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;

impl Fingerprint {
    /// Returns a number that is spread evenly also for fingerprints of similar content, by the
    /// finalizer of `SplitMix64`.
    #[must_use]
    pub fn spread(self) -> u64 {
        let mixed = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }
}

/// Computes the FNV-1a hash of `content`, which is the same on every host.
#[must_use]
pub fn fingerprint(content: &[u8]) -> Fingerprint {
    Fingerprint(fnv1a(FNV_OFFSET, content))
}

/// Computes the FNV-1a hash of a list of parts. The length of each part is hashed too, so lists that
/// differ only in where a part ends have different fingerprints.
#[must_use]
pub fn fingerprint_of_parts(parts: &[&[u8]]) -> Fingerprint {
    let hash = parts.iter().fold(FNV_OFFSET, |hash, part| {
        fnv1a(fnv1a(hash, part), &part.len().to_le_bytes())
    });
    Fingerprint(hash)
}

fn fnv1a(hash: u64, content: &[u8]) -> u64 {
    const PRIME: u64 = 0x0100_0000_01b3;
    let fold = |hash: u64, byte: &u8| (hash ^ u64::from(*byte)).wrapping_mul(PRIME);
    content.iter().fold(hash, fold)
}
