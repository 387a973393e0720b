/* The quota fence: daemons accept jobs of one route at the same moment, and together never more than the limit.

   A fence row names the coordinator of the route's quota. A job is kept only under the revision of the fence that its
   grant names, in one transaction. Who makes itself the coordinator writes the fence under the condition of the one it
   knows, and then reads all headers; its count is that of the headers it has seen and of its own grants that it has not
   seen yet. Every daemon's copy of the fence and of the headers may lag. A write may be done and not answered, or be
   held by the store and done later if its conditions still hold. An earlier coordinator may go on granting.

   Checked: the jobs kept never exceed the limit. Broken variants: NO_FENCE keeps a job whatever the fence is;
   READ_FIRST reads the headers before it writes the fence; FORGET counts a grant only once its header is seen. */

#define DAEMONS 2
#define JOBS 3
#define LIMIT 2
#define MOST_FENCE 2

byte fence = 0;              /* revision of the fence row; 0 if there is none */
byte coordinator = DAEMONS;  /* whom it names */
byte kept = 0;               /* jobs in the store, one bit each */
byte number_kept = 0;

/* One write that the store holds: job + 1 (0 if none) and the fence of its grant. */
byte held_job = 0;
byte held_fence;

/* Each daemon's copies, and the grants of the fence that it coordinates under. */
byte seen_fence[DAEMONS];
byte seen_coordinator[DAEMONS];
byte seen[DAEMONS];
byte book_fence[DAEMONS];
byte granted[DAEMONS];

inline keep(job, under) {
  if
#ifdef NO_FENCE
  :: !(kept & (1 << job)) ->
#else
  :: !(kept & (1 << job)) && fence == under ->
#endif
     kept = kept | (1 << job);
     number_kept++;
     assert(number_kept <= LIMIT)
  :: else -> skip
  fi
}

/* Number of bits, for three jobs. */
#define COUNT(set) (((set) & 1) + (((set) >> 1) & 1) + (((set) >> 2) & 1))

#ifdef FORGET
#define TAKEN(who) COUNT(seen[who])
#else
#define TAKEN(who) COUNT(seen[who] | granted[who])
#endif

proctype Daemon(byte self) {
  byte job = 0;
  byte under = 0;
  byte asked;
  byte before;

  do
  :: /* The watch brings the copies up to date, one or the other. */
     atomic { seen_fence[self] = fence; seen_coordinator[self] = coordinator }
  :: atomic { seen[self] = kept }
  :: job < JOBS ->
     /* Another daemon, or this one, is asked for the job's tokens: decided where the asked one believes itself to
        be the coordinator, by what it has seen. */
     atomic {
       asked = seen_coordinator[self];
       under = 0;
       if
       :: asked < DAEMONS && seen_coordinator[asked] == asked && book_fence[asked] == seen_fence[asked] &&
          book_fence[asked] > 0 ->
          if
          :: (seen[asked] | granted[asked]) & (1 << job) -> under = book_fence[asked]
          :: !((seen[asked] | granted[asked]) & (1 << job)) && TAKEN(asked) < LIMIT ->
             granted[asked] = granted[asked] | (1 << job);
             under = book_fence[asked]
          :: else -> skip
          fi
       :: else -> skip
       fi
     };
     if
     :: under > 0 ->
        /* The transaction is done now, or held and done later, or never. */
        if
        :: atomic { keep(job, under) }
        :: atomic { held_job == 0 -> held_job = job + 1; held_fence = under }
        :: skip
        fi
     :: else -> skip
     fi;
     job++
  :: job > 0 -> job = 0
  :: fence < MOST_FENCE ->
     /* Makes itself the coordinator under the fence that it knows. */
#ifdef READ_FIRST
     before = kept;
#endif
     atomic {
       if
       :: fence == seen_fence[self] ->
          fence++;
          coordinator = self;
          seen_fence[self] = fence;
          seen_coordinator[self] = self;
          asked = 1
       :: else -> asked = 0
       fi
     };
     if
     :: asked == 1 ->
        /* Reads the headers; no grant is given before that. A newer fence may have been written meanwhile. */
        atomic {
#ifdef READ_FIRST
          seen[self] = before;
#else
          seen[self] = kept;
#endif
          granted[self] = 0;
          book_fence[self] = seen_fence[self]
        }
     :: else -> skip
     fi;
     asked = 0
  od
}

proctype Store() {
  do
  :: atomic { held_job > 0 -> keep((held_job - 1), held_fence); held_job = 0; held_fence = 0 }
  :: atomic { held_job > 0 -> held_job = 0; held_fence = 0 }
  od
}

init {
  atomic {
    seen_coordinator[0] = DAEMONS;
    seen_coordinator[1] = DAEMONS;
    run Daemon(0);
    run Daemon(1);
    run Store()
  }
}
