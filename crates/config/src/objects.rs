//! Typed objects of the configuration.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// SHA-256 of an API key in hex. Keys themselves are never stored.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct KeyDigest(pub String);

impl KeyDigest {
    /// Returns the digest of a key.
    pub fn of(key: &str) -> Self {
        let digest = Sha256::digest(key.as_bytes());
        Self(digest.iter().map(|byte| format!("{byte:02x}")).collect())
    }
}

/// Kinds of object.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ObjectKind {
    /// A tenant, with its keys.
    Tenant,
    /// A model on a set of replicas.
    Service,
    /// A name under which callers reach a service.
    Endpoint,
    /// Limits of one tenant's use of an endpoint.
    Limits,
    /// A program for lending and borrowing capacity.
    Policy,
}

impl ObjectKind {
    /// Returns the name used in ids and files.
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
    /// First part of the id.
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

/// A tenant, which owns itself.
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

/// A name under which callers reach a service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EndpointSpec {
    /// Service that the endpoint forwards to; must have the same owner.
    pub service: String,
    /// Tenants that may call it, in addition to the owner.
    #[serde(default)]
    pub callers: Vec<String>,
}

/// Limits of one tenant's use of one endpoint, set by the endpoint's owner.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LimitsSpec {
    /// Endpoint; must have the same owner.
    pub endpoint: String,
    /// Tenant whose use is limited.
    pub tenant: String,
    /// Sustained request rate, more than 0.
    pub requests_per_second: f64,
    /// Requests admitted at once beyond the rate, 1 or more.
    pub burst: u32,
    /// Maximum number of requests in progress, 1 or more.
    pub concurrent_requests: u32,
}

/// A program for lending and borrowing capacity of a service of the same owner.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PolicySpec {
    /// Service whose idle capacity the program governs.
    pub service: String,
    /// Source of the program (Rhai).
    pub program: String,
}

/// Kind-specific content of an object.
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
    /// Returns the kind of object.
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

/// An object with its owner and revision.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ConfigObject {
    /// Name, unique within the kind.
    pub name: String,
    /// Tenant whose operators may change it.
    pub owner: String,
    /// Global revision of its last change; 0 before it is accepted.
    #[serde(default)]
    pub revision: u64,
    /// Kind-specific content.
    pub spec: Spec,
}

impl ConfigObject {
    /// Returns the object's identity.
    pub fn id(&self) -> ObjectId {
        ObjectId {
            kind: self.spec.kind(),
            name: self.name.clone(),
        }
    }
}
