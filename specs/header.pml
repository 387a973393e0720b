/* The header row of one job with two items: two daemons accept, adopt, list and end the job.

   Modelled: all changeable state of a job is in one row, and every write is conditional on the row's revision. A caller
   submits the job once to each daemon. An owner runs items and lists their results: the write that assigns a
   position to a result also marks the item as listed. A daemon that considers the owner dead adopts the job. A
   daemon may be suspended between any two steps and continues with its old copy of the row. A write may take effect
   although its response is lost, or stay pending in the store and take effect later if its condition still holds. An
   owner starts items only with a proof that its copy is recent. Assumed: after an end was acknowledged, all earlier
   proofs expire before the bound on late starts passes.

   Checked: no item has two positions and no position changes its item; an accepted job is not overwritten; a job that
   every daemon refused never runs; nothing starts after the bound on late starts.

   Broken variants: UNCONDITIONAL_LIST lists whatever the row's revision is; UNCONDITIONAL_ACCEPT writes a new row over
   an existing one; REFUSE_INDETERMINATE refuses a job if the response to its write was lost; NO_PROOF starts items
   however old the copy is. */

#define DAEMONS 2
#define NO_OWNER 2
#define MAX_REVISION 4

/* The row. */
byte revision = 0;  /* 0 if the row does not exist */
byte owner = NO_OWNER;
bool ended = false;
byte listed[2];     /* item + 1 by position, 0 if empty */
byte listed_count = 0;

/* Responses to the caller. */
bool accepted = false;
byte refusals = 0;
byte responses = 0;

bool end_acknowledged = false;
bool start_bound_passed = false;
bool has_proof[DAEMONS];

/* At most one write is pending in the store: its kind, 0 if none, and its arguments. */
#define CREATE 1
#define ADOPT 2
#define LIST 3
byte pending = 0;
byte pending_by;
byte pending_revision;
byte pending_item;
byte pending_position;

/* Next free position after the items of a set, one bit each. */
#define NEXT_POSITION(set) (((set) & 1) + (((set) >> 1) & 1))

inline list_item(item, position) {
  if
  :: listed_count > position -> assert(listed[position] == item + 1)
  :: else -> listed_count = position + 1
  fi;
  listed[position] = item + 1;
  assert(listed[0] != listed[1]);
  revision++
}

inline create_job(creator) {
  assert(!accepted);
  owner = creator;
  ended = false;
  listed[0] = 0;
  listed[1] = 0;
  listed_count = 0;
  revision++
}

proctype Daemon(byte self) {
  byte copy_revision = 0;  /* revision of the copy; 0 if none */
  byte copy_owner = NO_OWNER;
  bool copy_ended = false;
  byte copy_listed = 0;    /* items, one bit each */
  bool finished[2];
  bool submitted = false;
  byte item;

  do
  :: /* The watch or a read brings the copy up to date. */
     atomic {
       copy_revision = revision;
       copy_owner = owner;
       copy_ended = ended;
       copy_listed = 0;
       if :: listed[0] > 0 -> copy_listed = copy_listed | (1 << (listed[0] - 1)) :: else -> skip fi;
       if :: listed[1] > 0 -> copy_listed = copy_listed | (1 << (listed[1] - 1)) :: else -> skip fi;
       has_proof[self] = true
     }
  :: !submitted ->
     /* The caller submits the job to this daemon. */
     submitted = true;
     if
#ifdef UNCONDITIONAL_ACCEPT
     :: atomic { create_job(self); accepted = true; responses++ }
#endif
     :: atomic {
          skip;
          if
          :: revision == 0 -> create_job(self)
          :: else -> skip
          fi;
          assert(revision > 0);
          accepted = true;
          responses++
        }
     :: /* The write takes effect, but its response is lost. */
        atomic {
          skip;
          if
          :: revision == 0 -> create_job(self)
          :: else -> skip
          fi
        };
#ifdef REFUSE_INDETERMINATE
        atomic { refusals++; responses++ }
#else
        responses++
#endif
     :: /* The write stays pending in the store, or is lost. */
        atomic { pending == 0 -> pending = CREATE; pending_by = self; pending_revision = 0 };
#ifdef REFUSE_INDETERMINATE
        atomic { refusals++; responses++ }
#else
        responses++
#endif
     :: /* The store reports that the write had no effect. */
        atomic { refusals++; responses++ }
     fi
  :: atomic {
       /* Adopts a job whose owner it considers dead. */
       copy_revision > 0 && copy_owner != self && !copy_ended && revision < MAX_REVISION ->
       if
       :: revision == copy_revision ->
          owner = self;
          revision++
       :: pending == 0 -> pending = ADOPT; pending_by = self; pending_revision = copy_revision
       :: else -> skip
       fi
     }
  :: atomic {
       /* Starts an item that is not listed in its copy. */
#ifdef NO_PROOF
       copy_revision > 0 && copy_owner == self && !copy_ended ->
#else
       copy_revision > 0 && copy_owner == self && !copy_ended && has_proof[self] ->
#endif
       assert(!start_bound_passed);
       assert(!(responses == DAEMONS && refusals == DAEMONS));
       if
       :: !(copy_listed & 1) -> finished[0] = true
       :: !(copy_listed & 2) -> finished[1] = true
       :: else -> skip
       fi
     }
  :: atomic {
       /* Lists a finished item at the next free position of its copy. */
       copy_revision > 0 && copy_listed != 3 && revision < MAX_REVISION &&
       ((finished[0] && !(copy_listed & 1)) || (finished[1] && !(copy_listed & 2))) ->
       if
       :: finished[0] && !(copy_listed & 1) -> item = 0
       :: finished[1] && !(copy_listed & 2) -> item = 1
       fi;
       if
#ifdef UNCONDITIONAL_LIST
       :: true -> list_item(item, NEXT_POSITION(copy_listed))
#else
       :: revision == copy_revision -> list_item(item, NEXT_POSITION(copy_listed))
#endif
       :: pending == 0 -> pending = LIST; pending_by = self; pending_revision = copy_revision; pending_item = item;
          pending_position = NEXT_POSITION(copy_listed)
       :: else -> skip
       fi;
       item = 0
     }
  :: atomic {
       /* Ends the job; acknowledged only if the write is known to have taken effect. */
       copy_revision > 0 && !copy_ended && revision == copy_revision && revision < MAX_REVISION ->
       ended = true;
       revision++;
       end_acknowledged = true
     }
  od
}

/* Applies a pending write if its condition still holds, or drops it. */
proctype Store() {
  do
  :: atomic {
       pending > 0 ->
       if
       :: pending_revision == revision && pending == CREATE -> create_job(pending_by)
       :: pending_revision == revision && pending == ADOPT -> owner = pending_by; revision++
       :: pending_revision == revision && pending == LIST -> list_item(pending_item, pending_position)
       :: else -> skip
       fi;
       pending = 0; pending_by = 0; pending_revision = 0; pending_item = 0; pending_position = 0
     }
  od
}

/* After an acknowledged end, earlier proofs expire first, and then the bound on late starts passes. */
proctype Clock() {
  atomic { end_acknowledged -> has_proof[0] = false; has_proof[1] = false };
  start_bound_passed = true
}

init {
  atomic {
    run Daemon(0);
    run Daemon(1);
    run Store();
    run Clock()
  }
}
