//! What daemons know of the versions of a service, and what follows from it for a stream that none of them knows.

use crate::origin::SoftwareVersion;

/// What one daemon knows of a service's versions in the time within which a stream can have begun.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Testimony {
    /// Versions that it saw listed.
    pub versions: Vec<SoftwareVersion>,
    /// True if it can't have missed any.
    pub is_complete: bool,
}

/// The only version that has served.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SoleVersion {
    /// The version.
    pub version: SoftwareVersion,
    /// Position of the daemon whose testimony is complete.
    pub witness: usize,
}

/// Returns the only version at which a stream can have begun; `None` if several may have served. One complete testimony
/// suffices, and one that names another version refutes it: that daemon learned of it sooner.
pub fn sole_version(testimonies: &[Testimony]) -> Option<SoleVersion> {
    let witness = testimonies.iter().position(|one| one.is_complete)?;
    let mut named = testimonies.iter().flat_map(|one| &one.versions);
    let version = *named.next()?;
    named
        .all(|other| *other == version)
        .then_some(SoleVersion { version, witness })
}
