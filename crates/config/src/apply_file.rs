//! The TOML file that `config apply` reads and `config get` prints: one array of tables for each kind of object.

use serde::{Deserialize, Serialize};

use crate::objects::{
    ConfigObject, EndpointSpec, LimitsSpec, ObjectId, PolicySpec, ServiceSpec, Spec, TenantSpec,
};
use crate::store::RequestedChange;

/// An object as the file gives it.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct Entry<S> {
    name: String,
    owner: String,
    /// Revision that the change is based on; `None` stands for the current one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    revision: Option<u64>,
    spec: S,
}

/// Objects to write and ids of objects to remove.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ApplyFile {
    #[serde(skip_serializing_if = "Vec::is_empty")]
    remove: Vec<String>,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    tenant: Vec<Entry<TenantSpec>>,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    service: Vec<Entry<ServiceSpec>>,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    endpoint: Vec<Entry<EndpointSpec>>,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    limits: Vec<Entry<LimitsSpec>>,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    policy: Vec<Entry<PolicySpec>>,
}

impl<S: Clone> Entry<S> {
    fn change(&self, wrap: fn(S) -> Spec) -> RequestedChange {
        let object = ConfigObject {
            name: self.name.clone(),
            owner: self.owner.clone(),
            revision: 0,
            spec: wrap(self.spec.clone()),
        };
        RequestedChange {
            id: object.id(),
            object: Some(object),
            based_on: self.revision,
        }
    }

    fn of(object: &ConfigObject, spec: &S) -> Self {
        Self {
            name: object.name.clone(),
            owner: object.owner.clone(),
            revision: Some(object.revision),
            spec: spec.clone(),
        }
    }
}

impl ApplyFile {
    /// Parses a file; the error names the line and the key.
    pub fn parse(text: &str) -> Result<Self, String> {
        toml::from_str(text).map_err(|error| error.to_string())
    }

    /// Returns the requested changes. Fails if there are none, an id is malformed, or an object is named twice.
    pub fn changes(&self) -> Result<Vec<RequestedChange>, String> {
        let mut changes = Vec::new();
        changes.extend(self.tenant.iter().map(|entry| entry.change(Spec::Tenant)));
        changes.extend(self.service.iter().map(|entry| entry.change(Spec::Service)));
        changes.extend(
            self.endpoint
                .iter()
                .map(|entry| entry.change(Spec::Endpoint)),
        );
        changes.extend(self.limits.iter().map(|entry| entry.change(Spec::Limits)));
        changes.extend(self.policy.iter().map(|entry| entry.change(Spec::Policy)));
        for removed in &self.remove {
            let id: ObjectId = removed.parse()?;
            changes.push(RequestedChange {
                id,
                object: None,
                based_on: None,
            });
        }
        let mut ids: Vec<_> = changes.iter().map(|change| change.id.clone()).collect();
        ids.sort();
        if let Some(pair) = ids.windows(2).find(|pair| pair[0] == pair[1]) {
            return Err(format!("{}: named twice in this file", pair[0]));
        }
        if changes.is_empty() {
            return Err("the file changes nothing".to_owned());
        }
        Ok(changes)
    }
}

/// Renders objects as an apply file, with their revisions.
pub fn render_objects<'a>(objects: impl IntoIterator<Item = &'a ConfigObject>) -> String {
    let mut file = ApplyFile::default();
    for object in objects {
        match &object.spec {
            Spec::Tenant(spec) => file.tenant.push(Entry::of(object, spec)),
            Spec::Service(spec) => file.service.push(Entry::of(object, spec)),
            Spec::Endpoint(spec) => file.endpoint.push(Entry::of(object, spec)),
            Spec::Limits(spec) => file.limits.push(Entry::of(object, spec)),
            Spec::Policy(spec) => file.policy.push(Entry::of(object, spec)),
        }
    }
    toml::to_string_pretty(&file).unwrap_or_default()
}
