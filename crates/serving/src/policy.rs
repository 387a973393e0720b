//! Switches for single mechanisms of the serving policy, for ablation. No correctness property depends on them.

use std::fmt;

/// Mechanism that can be switched off.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[repr(u8)]
pub enum Mechanism {
    /// Prompts with shared parts go to the replica that all daemons prefer for them.
    PreferredReplica,
    /// A replica copies the prefix cache of another one instead of repeating the prefill.
    PromptCopies,
    /// Long prompts go to dedicated replicas.
    LongPromptsApart,
    /// An online request that finds no free slot preempts a batch item.
    Preemption,
    /// Items leave as many slots free as online load varies by.
    ItemReserve,
    /// Starts of items are paced by urgency.
    Pacing,
    /// Progress of running items is saved and continued by the next owner.
    SavedProgress,
    /// A replica that failed a request is avoided for a while.
    Suspicion,
    /// Daemons send the load that they cause to some peers.
    LoadNotices,
    /// Changes reported by the store are coalesced, for longer in larger fleets.
    GatheredChanges,
    /// A daemon without a coordinator samples few replicas.
    Sampling,
    /// Costs have a small random part.
    Jitter,
    /// Replicas of the own zone cost less.
    OwnZoneFirst,
    /// One daemon per group of replicas grants their slots.
    Coordinators,
    /// Groups don't span zones that are large enough.
    ZoneGroups,
    /// Membership views are compared by digest and their differences exchanged.
    ViewSync,
    /// Stall timeouts are longer in a fully loaded group.
    QueuePatience,
    /// Overdue requests wait for spare slots.
    OverdueLast,
    /// Replicas with an open connection from the requester cost less.
    KeptConnections,
    /// An online request that would miss its objective is refused at once with a retry delay.
    Admission,
    /// A replica that fails or is slow compared to its group gets less work or none.
    Ejection,
}

use Mechanism::{
    Admission, Coordinators, Ejection, GatheredChanges, ItemReserve, Jitter, KeptConnections,
    LoadNotices, LongPromptsApart, OverdueLast, OwnZoneFirst, Pacing, Preemption, PreferredReplica,
    PromptCopies, QueuePatience, Sampling, SavedProgress, Suspicion, ViewSync, ZoneGroups,
};

impl Mechanism {
    /// All mechanisms, in the order of the ablation table.
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

    /// Returns the name in settings.
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

/// Error for an unknown mechanism.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("unknown policy mechanism {name:?}; known mechanisms: {known}")]
pub struct UnknownMechanism {
    /// Name that was not found.
    pub name: String,
    /// Comma-separated names of all mechanisms.
    pub known: String,
}

/// Set of mechanisms in use; all by default.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Policy {
    off: u32,
}

impl Policy {
    /// Returns the policy without the mechanisms in a comma-separated list.
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

    /// True if the mechanism is in use.
    pub fn has(self, mechanism: Mechanism) -> bool {
        self.off & mechanism.bit() == 0
    }
}

impl fmt::Display for Policy {
    /// Writes the comma-separated names of the mechanisms that are switched off.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let off = Mechanism::ALL.into_iter().filter(|one| !self.has(*one));
        let names: Vec<&str> = off.map(Mechanism::name).collect();
        formatter.write_str(&names.join(","))
    }
}
