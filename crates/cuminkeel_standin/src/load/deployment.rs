//! The two deployments: places, latencies, sizes and weights.

use std::{str, sync, time};

use derive_more::{Display, Error};

/// A site of today that a run imitates.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Deployment {
    /// Weighs response time more.
    #[display("anadolu")]
    Anadolu,
    /// Weighs wasted messages more.
    #[display("perekat")]
    Perekat,
}

/// No deployment has this name.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
#[display("unknown deployment {name}; known are anadolu and perekat")]
pub struct UnknownDeployment {
    /// The name.
    pub name: sync::Arc<str>,
}

impl str::FromStr for Deployment {
    type Err = UnknownDeployment;

    fn from_str(name: &str) -> Result<Self, Self::Err> {
        match name {
            "anadolu" => Ok(Self::Anadolu),
            "perekat" => Ok(Self::Perekat),
            other => Err(UnknownDeployment { name: other.into() }),
        }
    }
}

impl Deployment {
    /// Failure domains.
    pub fn domains(self) -> [&'static str; 3] {
        match self {
            Self::Anadolu => ["gebze", "bursa", "kocaeli"],
            Self::Perekat => ["penang", "shah-alam", "pasir-gudang"],
        }
    }

    /// One-way latency between a caller and an entry.
    pub fn client_latency(self) -> time::Duration {
        match self {
            Self::Anadolu => time::Duration::from_millis(3),
            Self::Perekat => time::Duration::from_millis(1),
        }
    }

    /// One-way latency between failure domains.
    pub fn domain_latency(self) -> time::Duration {
        match self {
            Self::Anadolu => time::Duration::from_millis(1),
            Self::Perekat => time::Duration::from_micros(500),
        }
    }

    /// Weight of response time against [`Self::message_weight`].
    pub fn response_weight(self) -> u32 {
        match self {
            Self::Anadolu => 4,
            Self::Perekat => 1,
        }
    }

    /// Weight of wasted messages against [`Self::response_weight`].
    pub fn message_weight(self) -> u32 {
        match self {
            Self::Anadolu => 1,
            Self::Perekat => 4,
        }
    }

    /// Largest task of a backend server, in thousandths of a core.
    pub fn max_size_millicores(self) -> u32 {
        match self {
            Self::Anadolu => 16_000,
            Self::Perekat => 64_000,
        }
    }
}
