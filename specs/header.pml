/* A job's header row: two daemons accept, adopt, list and end one job of two items.

   All that is kept of a job hangs on one row, and every change of it is conditional on the row's revision. A caller
   sends the job to each daemon once. An owner runs items and lists their results: the write that fixes a result's
   position marks its item in the same row. A daemon that believes the owner gone adopts the job. Any daemon may be
   frozen at each step and go on with what it knew. A write may be done and not answered, or be held by the store and
   done later if its condition still holds; then the daemon reads again. Items start only under a proof that the copy
   of the row is recent; a proof runs out before the bound on what may still start after an acknowledged end.

   Checked: no item stands at two positions and no position changes; what was acknowledged stays; a job that every
   answer refused never runs; nothing starts after the bound. Broken variants: BLIND_LIST lists without the revision;
   BLIND_ACCEPT writes a new row over one that is there; REFUSE_IN_DOUBT refuses where the answer was lost; NO_PROOF
   starts items whatever the age of the copy. */

#define DAEMONS 2
#define NOBODY 2
#define MOST_REVISION 4

/* The row. */
byte revision = 0;           /* 0: not there */
byte owner = NOBODY;
bool ended = false;
byte listed[2];              /* item + 1 by position, 0 if empty */
byte positions = 0;

/* What callers were told. */
bool accepted = false;
byte refusals = 0;
byte answers = 0;

bool acknowledged = false;   /* the end */
bool bound_passed = false;
bool proof[DAEMONS];

/* One write that the store holds. */
#define CREATE 1
#define ADOPT 2
#define LIST 3
byte held = 0;
byte held_by;
byte held_revision;
byte held_item;
byte held_position;

/* The position after those of the items in a set. */
#define AT(set) (((set) & 1) + (((set) >> 1) & 1))

inline list(item, at) {
  if
  :: positions > at -> assert(listed[at] == item + 1)
  :: else -> positions = at + 1
  fi;
  listed[at] = item + 1;
  assert(listed[0] != listed[1]);
  revision++
}

inline create(by) {
  assert(!accepted);
  owner = by;
  ended = false;
  listed[0] = 0;
  listed[1] = 0;
  positions = 0;
  revision++
}

proctype Daemon(byte self) {
  byte known = 0;            /* revision of the copy */
  byte known_owner = NOBODY;
  bool known_ended = false;
  byte known_listed = 0;     /* items, one bit each */
  bool finished[2];
  bool asked = false;
  byte item;

  do
  :: /* The watch, or a read: the copy is as of now. */
     atomic {
       known = revision;
       known_owner = owner;
       known_ended = ended;
       known_listed = 0;
       if :: listed[0] > 0 -> known_listed = known_listed | (1 << (listed[0] - 1)) :: else -> skip fi;
       if :: listed[1] > 0 -> known_listed = known_listed | (1 << (listed[1] - 1)) :: else -> skip fi;
       proof[self] = true
     }
  :: !asked ->
     /* The caller sends the job here. */
     asked = true;
     if
#ifdef BLIND_ACCEPT
     :: atomic { create(self); accepted = true; answers++ }
#endif
     :: atomic {
          skip;
          if
          :: revision == 0 -> create(self)
          :: else -> skip
          fi;
          assert(revision > 0);
          accepted = true;
          answers++
        }
     :: /* Done, and not answered. */
        atomic {
          skip;
          if
          :: revision == 0 -> create(self)
          :: else -> skip
          fi
        };
#ifdef REFUSE_IN_DOUBT
        atomic { refusals++; answers++ }
#else
        answers++
#endif
     :: /* Held by the store, or lost on the way. */
        atomic { held == 0 -> held = CREATE; held_by = self; held_revision = 0 };
#ifdef REFUSE_IN_DOUBT
        atomic { refusals++; answers++ }
#else
        answers++
#endif
     :: /* The store says that it did nothing. */
        atomic { refusals++; answers++ }
     fi
  :: atomic {
       /* Adopts a job whose owner it believes gone. */
       known > 0 && known_owner != self && !known_ended && revision < MOST_REVISION ->
       if
       :: revision == known ->
          owner = self;
          revision++
       :: held == 0 -> held = ADOPT; held_by = self; held_revision = known
       :: else -> skip
       fi
     }
  :: atomic {
       /* Starts an item that its copy does not list. */
#ifdef NO_PROOF
       known > 0 && known_owner == self && !known_ended ->
#else
       known > 0 && known_owner == self && !known_ended && proof[self] ->
#endif
       assert(!bound_passed);
       assert(!(answers == DAEMONS && refusals == DAEMONS));
       if
       :: !(known_listed & 1) -> finished[0] = true
       :: !(known_listed & 2) -> finished[1] = true
       :: else -> skip
       fi
     }
  :: atomic {
       /* Lists a finished item at the next position that it knows of. */
       known > 0 && known_listed != 3 && revision < MOST_REVISION &&
       ((finished[0] && !(known_listed & 1)) || (finished[1] && !(known_listed & 2))) ->
       if
       :: finished[0] && !(known_listed & 1) -> item = 0
       :: finished[1] && !(known_listed & 2) -> item = 1
       fi;
       if
#ifdef BLIND_LIST
       :: true -> list(item, AT(known_listed))
#else
       :: revision == known -> list(item, AT(known_listed))
#endif
       :: held == 0 -> held = LIST; held_by = self; held_revision = known; held_item = item;
          held_position = AT(known_listed)
       :: else -> skip
       fi;
       item = 0
     }
  :: atomic {
       /* An end: acknowledged only where the write is known to be done. */
       known > 0 && !known_ended && revision == known && revision < MOST_REVISION ->
       ended = true;
       revision++;
       acknowledged = true
     }
  od
}

/* Does what it held, if the condition still holds, or never. */
proctype Store() {
  do
  :: atomic {
       held > 0 ->
       if
       :: held_revision == revision && held == CREATE -> create(held_by)
       :: held_revision == revision && held == ADOPT -> owner = held_by; revision++
       :: held_revision == revision && held == LIST -> list(held_item, held_position)
       :: else -> skip
       fi;
       held = 0; held_by = 0; held_revision = 0; held_item = 0; held_position = 0
     }
  od
}

/* Time passes after an acknowledged end: proofs from before it run out, and only then the bound. */
proctype Clock() {
  atomic { acknowledged -> proof[0] = false; proof[1] = false };
  bound_passed = true
}

init {
  atomic {
    run Daemon(0);
    run Daemon(1);
    run Store();
    run Clock()
  }
}
