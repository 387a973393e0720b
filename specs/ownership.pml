/* Takeovers of one resource: three daemons and one record, with an owner that is considered dead whether or not it is.

   Modelled: the record (owner, challenger, epoch, revision, and whether the resource's one item is listed) is only
   written under its revision. Daemons do not communicate, and each may consider the owner dead at any time. One that
   does writes itself into the record as challenger. The owner learns of it from a watch that may lag for any time
   and may omit changes, or from a read of the record. It refutes the challenge by any write of the record: a
   refutation or the listing of the item. If a challenge
   stays until its timeout, the challenger or any other daemon takes over. A daemon may crash. It may also be paused
   between any two steps, by a suspension or a partition from the store, and continues with its old copy.

   Assumed: the timeout of a challenge exceeds the time that a live owner with access to the store needs to read the
   record and to refute the challenge. The watch is not assumed to show the challenge.
   It therefore elapses only if the record has changed meanwhile, if the owner has crashed, or if the owner was
   paused at some time since the challenge. The time from the timeout to the write of the takeover is unbounded.

   Checked: the item is listed at most once; an owner loses the resource only if it crashed or was paused, and at most
   once for each pause; there is no deadlock while the item is not listed and a daemon is alive (invalid end states),
   so a crashed owner can be replaced.

   Broken variants: NO_CHALLENGE takes over without a challenge; UNCONDITIONAL_TAKEOVER takes over whatever the record's
   revision is; NO_FENCE lists whatever the revision is; ONLY_CHALLENGER lets only the challenger take over, which
   may crash; WATCH_ONLY lets the owner rely on its watch, so that a challenge also elapses while the watch omits
   changes; ASSERT_OWNER_ALIVE asserts that no crashed owner is ever replaced, which shows that the model reaches
   this.

   Not modelled: resources that their owner releases, and cooldowns after a refutation, which only bound the number of
   writes. */

#define DAEMONS 3
#define NO_DAEMON 3
#define MAX_FALSE_CHALLENGES 2   /* of owners that have not crashed */
#define MAX_PAUSES 2
#define MAX_CRASHES 2
#define MAX_OMISSIONS 1          /* times for which a watch omits all changes */

/* The record. */
byte owner = 0;
byte challenger = NO_DAEMON;
byte epoch = 1;
byte revision = 1;
bool listed = false;

/* The actual state of the daemons, which none of them knows. */
bool crashed[DAEMONS];
bool paused[DAEMONS];
bool omits[DAEMONS];            /* the daemon's watch omits all changes */
byte unused_pauses[DAEMONS];    /* pauses for which the daemon has not lost the resource */
bool owner_was_paused = false;  /* since the challenge in the record */
byte false_challenges = 0;
byte pauses = 0;
byte crashes = 0;
byte omissions = 0;

#ifdef WATCH_ONLY
#define OWNER_MISSES_CHALLENGE (omits[owner])
#else
#define OWNER_MISSES_CHALLENGE false
#endif

#define IS_RUNNING(daemon) (!crashed[daemon] && !paused[daemon])

inline take_over(new_owner) {
#ifdef ASSERT_OWNER_ALIVE
  assert(!crashed[owner]);
#endif
  assert(crashed[owner] || unused_pauses[owner] > 0);
  if
  :: crashed[owner] -> skip
  :: else -> unused_pauses[owner]--
  fi;
  owner = new_owner;
  challenger = NO_DAEMON;
  owner_was_paused = false;
  epoch++;
  revision++
}

inline list_item() {
  assert(!listed);
  listed = true;
  challenger = NO_DAEMON;
  owner_was_paused = false;
  revision++
}

inline update_copy() {
  copy_revision = revision;
  copy_owner = owner;
  copy_challenger = challenger;
  copy_listed = listed
}

proctype Daemon(byte self) {
  byte copy_revision = 0;      /* revision of the copy; 0 if none */
  byte copy_owner = NO_DAEMON;
  byte copy_challenger = NO_DAEMON;
  bool copy_listed = false;
  byte takeover_revision = 0;  /* condition of the takeover that is due; 0 if none */

  /* The first owner has created the record. */
  if
  :: self == 0 -> atomic { update_copy() }
  :: else -> skip
  fi;

  end: do
  :: atomic {
       /* The watch brings the copy up to date. */
       IS_RUNNING(self) && !omits[self] && copy_revision != revision ->
       update_copy()
     }
#ifndef WATCH_ONLY
  :: atomic {
       /* The owner reads the record. */
       IS_RUNNING(self) && copy_owner == self && copy_revision != revision ->
       update_copy()
     }
#endif
  :: atomic { IS_RUNNING(self) && omissions < MAX_OMISSIONS -> omissions++; omits[self] = true }
  :: atomic { omits[self] -> omits[self] = false }
  :: atomic {
       /* Considers the owner dead and challenges it. */
       IS_RUNNING(self) && copy_revision > 0 && copy_revision == revision && !listed && owner != self &&
       challenger == NO_DAEMON && (crashed[owner] || false_challenges < MAX_FALSE_CHALLENGES) ->
       if
       :: crashed[owner] -> skip
       :: else -> false_challenges++
       fi;
       challenger = self;
       owner_was_paused = paused[owner];
       revision++
     }
  :: atomic {
       /* The owner refutes a challenge in its copy; a write by an outdated copy has no effect. */
       IS_RUNNING(self) && copy_revision == revision && copy_owner == self && copy_challenger != NO_DAEMON ->
       challenger = NO_DAEMON;
       owner_was_paused = false;
       revision++;
       update_copy()
     }
  :: atomic {
       /* The owner lists the item, according to its copy. */
#ifdef NO_FENCE
       IS_RUNNING(self) && copy_owner == self && !copy_listed ->
#else
       IS_RUNNING(self) && copy_owner == self && !copy_listed && copy_revision == revision ->
#endif
       list_item()
     }
#ifdef NO_CHALLENGE
  :: atomic {
       IS_RUNNING(self) && copy_revision > 0 && !copy_listed && copy_owner != self && takeover_revision == 0 ->
       takeover_revision = copy_revision
     }
#else
  :: atomic {
       /* The timeout of the challenge in the copy has elapsed. */
       IS_RUNNING(self) && takeover_revision == 0 && !copy_listed && copy_owner != self &&
       copy_challenger != NO_DAEMON &&
#ifdef ONLY_CHALLENGER
       copy_challenger == self &&
#endif
       (copy_revision != revision || crashed[owner] || owner_was_paused || OWNER_MISSES_CHALLENGE) ->
       takeover_revision = copy_revision
     }
#endif
  :: atomic {
       /* Writes the takeover. */
       IS_RUNNING(self) && takeover_revision > 0 ->
       if
#ifdef UNCONDITIONAL_TAKEOVER
       :: !listed && owner != self -> take_over(self); update_copy()
#else
       :: takeover_revision == revision -> take_over(self); update_copy()
#endif
       :: else -> skip
       fi;
       takeover_revision = 0
     }
  :: atomic {
       IS_RUNNING(self) && pauses < MAX_PAUSES ->
       pauses++;
       paused[self] = true;
       unused_pauses[self]++;
       owner_was_paused = owner_was_paused || (owner == self && challenger != NO_DAEMON)
     }
  :: atomic { paused[self] -> paused[self] = false }
  :: atomic {
       crashes < MAX_CRASHES ->
       crashes++;
       crashed[self] = true;
       paused[self] = false;
       omits[self] = false;
       unused_pauses[self] = 0;
       copy_revision = 0; copy_owner = NO_DAEMON; copy_challenger = NO_DAEMON; copy_listed = false;
       takeover_revision = 0;
       break
     }
  od
}

/* Waits for the item; a deadlock before it is listed is an invalid end state. */
proctype Client() {
  listed
}

init {
  atomic {
    run Daemon(0);
    run Daemon(1);
    run Daemon(2);
    run Client()
  }
}
