//! The typed objects of the configuration.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// SHA-256 of an API key, in hex. Keys themselves are never stored.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct KeyDigest(pub String);

impl KeyDigest {
    /// Digest of a key.
    pub fn of(key: &str) -> Self {
        let digest = Sha256::digest(key.as_bytes());
        Self(digest.iter().map(|byte| format!("{byte:02x}")).collect())
    }
}

/// Kinds of object.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ObjectKind {
    /// A partner, with its keys.
    Tenant,
    /// A model on a set of replicas.
    Service,
    /// A name that callers use for a service.
    Endpoint,
    /// Bounds on one tenant's use of an endpoint.
    Limits,
    /// A lending and borrowing program.
    Policy,
}

impl ObjectKind {
    /// Name as written in ids and files.
    pub fn name(self) -> &'static str {
        match self {
            Self::Tenant => "tenant",
            Self::Service => "service",
            Self::Endpoint => "endpoint",
            Self::Limits => "limits",
            Self::Policy => "policy",
        }
    }
}

/// Identity of an object, written `kind/name`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ObjectId {
    /// Kind.
    pub kind: ObjectKind,
    /// Name, unique within the kind.
    pub name: String,
}

impl std::fmt::Display for ObjectId {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{}/{}", self.kind.name(), self.name)
    }
}

impl std::str::FromStr for ObjectId {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (kind, name) = text
            .split_once('/')
            .ok_or_else(|| format!("{text}: an object id is written kind/name"))?;
        let kind = [
            ObjectKind::Tenant,
            ObjectKind::Service,
            ObjectKind::Endpoint,
            ObjectKind::Limits,
            ObjectKind::Policy,
        ]
        .into_iter()
        .find(|candidate| candidate.name() == kind)
        .ok_or_else(|| format!("{kind}: no such kind of object"))?;
        Ok(Self {
            kind,
            name: name.to_owned(),
        })
    }
}

/// A partner.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TenantSpec {
    /// Digests of keys that may call endpoints and run jobs.
    #[serde(default)]
    pub caller_keys: Vec<KeyDigest>,
    /// Digests of keys that may change this tenant's objects.
    #[serde(default)]
    pub operator_keys: Vec<KeyDigest>,
}

/// A model on a set of replicas, which belong to the object's owner.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    /// Model or adapter that the replicas run.
    pub model: String,
}

/// A name that callers use for a service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EndpointSpec {
    /// Service behind the endpoint; of the same owner.
    pub service: String,
    /// Tenants that may call it besides the owner.
    #[serde(default)]
    pub callers: Vec<String>,
}

/// Bounds on one tenant's use of one endpoint, set by the endpoint's owner.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LimitsSpec {
    /// Endpoint; of the same owner.
    pub endpoint: String,
    /// Tenant that is bounded.
    pub tenant: String,
    /// Requests a second, more than 0.
    pub requests_per_second: f64,
    /// Requests that may come at once, 1 or more.
    pub burst: u32,
    /// Requests in progress at once, 1 or more.
    pub concurrent_requests: u32,
}

/// A lending and borrowing program for a service of the same owner.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PolicySpec {
    /// Service whose idle capacity the program speaks for.
    pub service: String,
    /// The program (Rhai).
    pub program: String,
}

/// What an object says.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Spec {
    /// See [`TenantSpec`].
    Tenant(TenantSpec),
    /// See [`ServiceSpec`].
    Service(ServiceSpec),
    /// See [`EndpointSpec`].
    Endpoint(EndpointSpec),
    /// See [`LimitsSpec`].
    Limits(LimitsSpec),
    /// See [`PolicySpec`].
    Policy(PolicySpec),
}

impl Spec {
    /// The object's kind.
    pub fn kind(&self) -> ObjectKind {
        match self {
            Self::Tenant(_) => ObjectKind::Tenant,
            Self::Service(_) => ObjectKind::Service,
            Self::Endpoint(_) => ObjectKind::Endpoint,
            Self::Limits(_) => ObjectKind::Limits,
            Self::Policy(_) => ObjectKind::Policy,
        }
    }
}

/// One object.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ConfigObject {
    /// Name, unique within the kind.
    pub name: String,
    /// Tenant whose operators may change it.
    pub owner: String,
    /// Global revision that wrote it last; 0 before it is accepted.
    #[serde(default)]
    pub revision: u64,
    /// What it says.
    pub spec: Spec,
}

impl ConfigObject {
    /// The object's identity.
    pub fn id(&self) -> ObjectId {
        ObjectId {
            kind: self.spec.kind(),
            name: self.name.clone(),
        }
    }
}
