//! Switches for single mechanisms of the serving policy, so that what each is worth can be measured by turning it
//! off. Nothing that must hold depends on any of them.

use std::fmt;

/// A mechanism that can be switched off.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[repr(u8)]
pub enum Mechanism {
    /// Prompts that share parts go to the replica that all daemons prefer for them.
    PreferredReplica,
    /// A replica copies what another keeps of a prompt instead of reading it anew.
    PromptCopies,
    /// Long prompts go to replicas of their own.
    LongPromptsApart,
    /// An online request that finds no slot ends a batch item.
    Preemption,
    /// Items leave as many slots free as the number of online requests varies by.
    ItemReserve,
    /// Starts of items are spread by how urgent they are.
    Pacing,
    /// Progress of running items is saved, and taken up by the next owner.
    SavedProgress,
    /// A replica where a request failed is avoided for a while.
    Suspicion,
    /// Daemons tell some peers what they have in progress.
    LoadNotices,
    /// Changes that the store tells of are gathered, the longer the larger the fleet.
    GatheredChanges,
    /// A daemon that finds no coordinator looks at few replicas.
    Sampling,
    /// The choice has a small random part.
    Jitter,
    /// Replicas of the own zone are cheaper.
    OwnZoneFirst,
    /// One daemon for each group of replicas grants their slots.
    Coordinators,
    /// Groups lie in zones where these are large enough.
    ZoneGroups,
    /// Views of the members are compared by digest and what differs is exchanged.
    ViewSync,
    /// The silence of a replica in a full group is borne longer.
    QueuePatience,
    /// Overdue requests wait for slots that others leave.
    OverdueLast,
    /// Replicas to which the asking daemon keeps a connection are cheaper.
    KeptConnections,
    /// An online request that would be late is refused at once, and its caller told to come back.
    Admission,
    /// A replica that fails or is slow beside the others of its group gets no or less work from its coordinator.
    Ejection,
}

use Mechanism::{
    Admission, Coordinators, Ejection, GatheredChanges, ItemReserve, Jitter, KeptConnections,
    LoadNotices, LongPromptsApart, OverdueLast, OwnZoneFirst, Pacing, Preemption, PreferredReplica,
    PromptCopies, QueuePatience, Sampling, SavedProgress, Suspicion, ViewSync, ZoneGroups,
};

impl Mechanism {
    /// All of them, in the order of the ablation table.
    pub const ALL: [Self; 21] = [
        PreferredReplica,
        PromptCopies,
        LongPromptsApart,
        Preemption,
        ItemReserve,
        Pacing,
        SavedProgress,
        Suspicion,
        LoadNotices,
        GatheredChanges,
        Sampling,
        Jitter,
        OwnZoneFirst,
        Coordinators,
        ZoneGroups,
        ViewSync,
        QueuePatience,
        OverdueLast,
        KeptConnections,
        Admission,
        Ejection,
    ];

    /// Name in settings.
    pub fn name(self) -> &'static str {
        match self {
            PreferredReplica => "preferred-replica",
            PromptCopies => "prompt-copies",
            LongPromptsApart => "long-prompts-apart",
            Preemption => "preemption",
            ItemReserve => "item-reserve",
            Pacing => "pacing",
            SavedProgress => "saved-progress",
            Suspicion => "suspicion",
            LoadNotices => "load-notices",
            GatheredChanges => "gathered-changes",
            Sampling => "sampling",
            Jitter => "jitter",
            OwnZoneFirst => "own-zone-first",
            Coordinators => "coordinators",
            ZoneGroups => "zone-groups",
            ViewSync => "view-sync",
            QueuePatience => "queue-patience",
            OverdueLast => "overdue-last",
            KeptConnections => "kept-connections",
            Admission => "admission",
            Ejection => "ejection",
        }
    }

    fn bit(self) -> u32 {
        1 << (self as u8)
    }
}

/// A name that is no mechanism's.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("policy: {name:?} is none of {known}")]
pub struct UnknownMechanism {
    /// The name.
    pub name: String,
    /// The names that there are.
    pub known: String,
}

/// Which mechanisms are on; all of them unless said otherwise.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Policy {
    off: u32,
}

impl Policy {
    /// The policy without the mechanisms of a comma-separated list of names.
    pub fn without(names: &str) -> Result<Self, UnknownMechanism> {
        let mut policy = Self::default();
        for name in names.split(',').map(str::trim) {
            if name.is_empty() {
                continue;
            }
            let named = Mechanism::ALL.into_iter().find(|one| one.name() == name);
            let mechanism = named.ok_or_else(|| UnknownMechanism {
                name: name.to_owned(),
                known: Mechanism::ALL.map(Mechanism::name).join(", "),
            })?;
            policy.off |= mechanism.bit();
        }
        Ok(policy)
    }

    /// True if the mechanism is on.
    pub fn has(self, mechanism: Mechanism) -> bool {
        self.off & mechanism.bit() == 0
    }
}

impl fmt::Display for Policy {
    /// Names of what is off.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let off = Mechanism::ALL.into_iter().filter(|one| !self.has(*one));
        let names: Vec<&str> = off.map(Mechanism::name).collect();
        formatter.write_str(&names.join(","))
    }
}
