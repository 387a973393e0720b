/* The quota fence: daemons accept jobs of one route concurrently, and together never more than the limit.

   Modelled: a fence row names the coordinator of the route's quota. A job is stored in one transaction, conditional on
   the revision of the fence under which it was granted. A daemon becomes the coordinator by writing the fence,
   conditional on the revision in its copy, and then reads all job headers; usage is the headers that it knows and
   its own grants whose headers it does not know yet. The copies of the fence and of the headers may lag at every
   daemon. A write may take effect although its response is lost, or stay pending in the store and take effect later
   if its condition still holds. A former coordinator may continue to grant.

   Checked: the number of stored jobs never exceeds the limit.

   Broken variants: NO_FENCE stores a job whatever the fence's revision is; READ_FIRST reads the headers before it
   writes the fence; IGNORE_GRANTS counts only the known headers, not the grants. */

#define DAEMONS 2
#define JOBS 3
#define LIMIT 2
#define MAX_FENCE 2

byte fence = 0;              /* revision of the fence row; 0 if there is none */
byte coordinator = DAEMONS;  /* daemon that it names; DAEMONS if none */
byte stored = 0;             /* jobs in the store, one bit each */
byte stored_count = 0;

/* At most one write is pending in the store: job + 1 (0 if none) and the fence of its grant. */
byte pending_job = 0;
byte pending_fence;

/* Each daemon's copies of the fence and the headers, and its ledger: the fence under which it coordinates, and its
   grants under that fence. */
byte copy_fence[DAEMONS];
byte copy_coordinator[DAEMONS];
byte copy_jobs[DAEMONS];
byte ledger_fence[DAEMONS];
byte granted[DAEMONS];

inline store_job(job, grant_fence) {
  if
#ifdef NO_FENCE
  :: !(stored & (1 << job)) ->
#else
  :: !(stored & (1 << job)) && fence == grant_fence ->
#endif
     stored = stored | (1 << job);
     stored_count++;
     assert(stored_count <= LIMIT)
  :: else -> skip
  fi
}

/* Number of jobs in a set. */
#define COUNT(set) (((set) & 1) + (((set) >> 1) & 1) + (((set) >> 2) & 1))

#ifdef IGNORE_GRANTS
#define USAGE(daemon) COUNT(copy_jobs[daemon])
#else
#define USAGE(daemon) COUNT(copy_jobs[daemon] | granted[daemon])
#endif

proctype Daemon(byte self) {
  byte job = 0;
  byte grant_fence = 0;
  byte queried;
  byte jobs_before;

  do
  :: /* The watch updates the copy of the fence or that of the headers. */
     atomic { copy_fence[self] = fence; copy_coordinator[self] = coordinator }
  :: atomic { copy_jobs[self] = stored }
  :: job < JOBS ->
     /* Queries the coordinator in the own copy of the fence for the tokens of a job. That daemon decides if it
        considers itself the coordinator, by its own copies and ledger. */
     atomic {
       queried = copy_coordinator[self];
       grant_fence = 0;
       if
       :: queried < DAEMONS && copy_coordinator[queried] == queried && ledger_fence[queried] == copy_fence[queried] &&
          ledger_fence[queried] > 0 ->
          if
          :: (copy_jobs[queried] | granted[queried]) & (1 << job) -> grant_fence = ledger_fence[queried]
          :: !((copy_jobs[queried] | granted[queried]) & (1 << job)) && USAGE(queried) < LIMIT ->
             granted[queried] = granted[queried] | (1 << job);
             grant_fence = ledger_fence[queried]
          :: else -> skip
          fi
       :: else -> skip
       fi
     };
     if
     :: grant_fence > 0 ->
        /* The transaction takes effect now, stays pending, or is lost. */
        if
        :: atomic { store_job(job, grant_fence) }
        :: atomic { pending_job == 0 -> pending_job = job + 1; pending_fence = grant_fence }
        :: skip
        fi
     :: else -> skip
     fi;
     job++
  :: job > 0 -> job = 0
  :: fence < MAX_FENCE ->
     /* Becomes the coordinator by writing the fence, conditional on the revision in its copy. From here on
        `queried` holds whether the write took effect. */
#ifdef READ_FIRST
     jobs_before = stored;
#endif
     atomic {
       if
       :: fence == copy_fence[self] ->
          fence++;
          coordinator = self;
          copy_fence[self] = fence;
          copy_coordinator[self] = self;
          queried = 1
       :: else -> queried = 0
       fi
     };
     if
     :: queried == 1 ->
        /* Reads the headers, and grants nothing before. A newer fence may have been written meanwhile. */
        atomic {
#ifdef READ_FIRST
          copy_jobs[self] = jobs_before;
#else
          copy_jobs[self] = stored;
#endif
          granted[self] = 0;
          ledger_fence[self] = copy_fence[self]
        }
     :: else -> skip
     fi;
     queried = 0
  od
}

proctype Store() {
  do
  :: atomic { pending_job > 0 -> store_job((pending_job - 1), pending_fence); pending_job = 0; pending_fence = 0 }
  :: atomic { pending_job > 0 -> pending_job = 0; pending_fence = 0 }
  od
}

init {
  atomic {
    copy_coordinator[0] = DAEMONS;
    copy_coordinator[1] = DAEMONS;
    run Daemon(0);
    run Daemon(1);
    run Store()
  }
}
