//! Immutable view of the configuration at one revision, with the look-ups of the request path.

use std::collections::{BTreeMap, HashMap};

use harrierward_wire::{ConfigChange, ConfigLogEntry, ConfigObjectRow};

use crate::objects::{
    ConfigObject, EndpointSpec, KeyDigest, LimitsSpec, ObjectId, PolicySpec, ServiceSpec, Spec,
};

/// Permissions of a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Role {
    /// May call endpoints and run jobs.
    Caller,
    /// May change the tenant's objects.
    Operator,
}

/// Owner and permissions of a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Principal {
    /// Tenant that the key belongs to.
    pub tenant: String,
    /// Permissions of the key.
    pub role: Role,
}

/// The configuration at one revision.
#[derive(Debug, Clone, Default)]
pub struct ConfigSnapshot {
    revision: u64,
    objects: BTreeMap<ObjectId, ConfigObject>,
    keys: HashMap<KeyDigest, Principal>,
}

impl ConfigSnapshot {
    /// Builds a snapshot of `objects` at `revision`.
    pub fn new(revision: u64, objects: impl IntoIterator<Item = ConfigObject>) -> Self {
        let objects = objects
            .into_iter()
            .map(|object| (object.id(), object))
            .collect();
        let mut snapshot = Self {
            revision,
            objects,
            keys: HashMap::new(),
        };
        snapshot.index_keys();
        snapshot
    }

    fn index_keys(&mut self) {
        self.keys.clear();
        for object in self.objects.values() {
            let Spec::Tenant(tenant) = &object.spec else {
                continue;
            };
            let callers = tenant.caller_keys.iter().map(|key| (key, Role::Caller));
            let operators = tenant.operator_keys.iter().map(|key| (key, Role::Operator));
            for (key, role) in callers.chain(operators) {
                let principal = Principal {
                    tenant: object.name.clone(),
                    role,
                };
                self.keys.insert(key.clone(), principal);
            }
        }
    }

    /// Applies the next log entry; `None` if it is not the next revision or is malformed.
    pub fn after(&self, entry: &ConfigLogEntry) -> Option<Self> {
        if entry.revision != self.revision + 1 {
            return None;
        }
        let mut next = self.clone();
        next.revision = entry.revision;
        for change in &entry.changes {
            next.change(change, entry.revision)?;
        }
        next.index_keys();
        Some(next)
    }

    fn change(&mut self, change: &ConfigChange, revision: u64) -> Option<()> {
        let id: ObjectId = change.id.parse().ok()?;
        if change.object.is_empty() {
            self.objects.remove(&id);
            return Some(());
        }
        let mut object: ConfigObject = serde_json::from_str(&change.object).ok()?;
        object.revision = revision;
        self.objects.insert(id, object);
        Some(())
    }

    /// Builds a snapshot from stored rows; `None` if one is malformed.
    pub fn from_rows(revision: u64, rows: &[ConfigObjectRow]) -> Option<Self> {
        let objects = rows
            .iter()
            .filter(|row| !row.object.is_empty())
            .map(|row| {
                let mut object: ConfigObject = serde_json::from_str(&row.object).ok()?;
                object.revision = row.revision;
                Some(object)
            })
            .collect::<Option<Vec<_>>>()?;
        Some(Self::new(revision, objects))
    }

    /// Encodes all objects as rows, for a peer.
    pub fn to_rows(&self) -> Vec<ConfigObjectRow> {
        self.objects
            .values()
            .map(|object| ConfigObjectRow {
                revision: object.revision,
                object: serde_json::to_string(object).unwrap_or_default(),
            })
            .collect()
    }

    /// Returns the global revision.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns all objects in order of id.
    pub fn objects(&self) -> impl Iterator<Item = &ConfigObject> {
        self.objects.values()
    }

    /// Returns an object; `None` if it does not exist.
    pub fn object(&self, id: &ObjectId) -> Option<&ConfigObject> {
        self.objects.get(id)
    }

    /// Returns owner and permissions of an API key; `None` if it is unknown.
    pub fn principal(&self, key: &str) -> Option<&Principal> {
        self.keys.get(&KeyDigest::of(key))
    }

    fn find(&self, kind: crate::ObjectKind, name: &str) -> Option<&ConfigObject> {
        let id = ObjectId {
            kind,
            name: name.to_owned(),
        };
        self.objects.get(&id)
    }

    /// Returns an endpoint with its object, which names the owner.
    pub fn endpoint(&self, name: &str) -> Option<(&ConfigObject, &EndpointSpec)> {
        let object = self.find(crate::ObjectKind::Endpoint, name)?;
        match &object.spec {
            Spec::Endpoint(spec) => Some((object, spec)),
            _ => None,
        }
    }

    /// Returns a service with its object, which names the owner.
    pub fn service(&self, name: &str) -> Option<(&ConfigObject, &ServiceSpec)> {
        let object = self.find(crate::ObjectKind::Service, name)?;
        match &object.spec {
            Spec::Service(spec) => Some((object, spec)),
            _ => None,
        }
    }

    /// Returns the endpoints that a tenant may call.
    pub fn endpoints_of<'a>(&'a self, tenant: &'a str) -> impl Iterator<Item = &'a ConfigObject> {
        self.objects.values().filter(move |object| {
            matches!(&object.spec, Spec::Endpoint(spec)
                if object.owner == tenant || spec.callers.iter().any(|caller| caller == tenant))
        })
    }

    /// True if `tenant` owns the endpoint or is one of its callers.
    pub fn may_call(&self, tenant: &str, endpoint: &str) -> bool {
        self.endpoint(endpoint).is_some_and(|(object, spec)| {
            object.owner == tenant || spec.callers.iter().any(|caller| caller == tenant)
        })
    }

    /// Returns the limits of a tenant at an endpoint; `None` if none are set.
    pub fn limits(&self, tenant: &str, endpoint: &str) -> Option<&LimitsSpec> {
        self.objects.values().find_map(|object| match &object.spec {
            Spec::Limits(spec) if spec.tenant == tenant && spec.endpoint == endpoint => Some(spec),
            _ => None,
        })
    }

    /// Returns all policies with their objects.
    pub fn policies(&self) -> impl Iterator<Item = (&ConfigObject, &PolicySpec)> {
        self.objects
            .values()
            .filter_map(|object| match &object.spec {
                Spec::Policy(spec) => Some((object, spec)),
                _ => None,
            })
    }

    /// Returns all services with their objects.
    pub fn services(&self) -> impl Iterator<Item = (&ConfigObject, &ServiceSpec)> {
        self.objects
            .values()
            .filter_map(|object| match &object.spec {
                Spec::Service(spec) => Some((object, spec)),
                _ => None,
            })
    }
}
