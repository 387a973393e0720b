//! Content digest of a request, equal for all repetitions of the same request, and its fingerprint.

use harrierward_quarantine::{ContentId, Fingerprint, PartId};
use harrierward_tenants::ApiKey;

use crate::exchange::ServingRequest;

impl ServingRequest {
    /// Returns all of the request that may crash replicas.
    pub fn fingerprint(&self) -> Fingerprint {
        let shared = self.prompt.shared().iter();
        Fingerprint {
            content: self.content(),
            parts: shared.map(|part| PartId(part.id)).collect(),
        }
    }

    /// Returns the digest of method, host, path, caller and body. The caller is identified by its key, or by the
    /// tenant for items of batch jobs. The query counts only for requests without a body.
    pub fn content(&self) -> ContentId {
        let path = self.target.split('?').next().unwrap_or(&self.target);
        let path = if self.body.is_empty() {
            self.target.as_str()
        } else {
            path
        };
        let key = self.key.as_ref().map(ApiKey::fingerprint);
        let tenant = self.tenant.as_deref().unwrap_or_default();
        let caller = key.as_ref().map_or(tenant.as_bytes(), |key| key.as_slice());
        ContentId::of(&[
            self.method.as_str().as_bytes(),
            self.host.as_bytes(),
            path.as_bytes(),
            caller,
            &self.body,
        ])
    }
}
