/* Where a stream that its caller takes up may go on, if no record of it is left: replicas of several software versions
   replace each other, and the store holds a row with each version at which a stream may have begun.

   Modelled: one stream, two daemons, versions as bits of sets. Versions start and stop to serve in any order. Both daemons
   list them as of now or any earlier moment, since reads may be behind, and store listed ones. The first daemon passes on
   the first event of the stream only after the row holds its version, as far as it knows from reads, or by a transaction
   of its own. Transactions are decided on the current row; their responses take any time. Once its caller has an event, it
   takes the stream up at the second daemon, any number of times. With a record of the stream that one goes on at the
   version that began it. Else it goes on at a version that it lists if a check, a transaction sent after the take-up
   arrived, shows that version alone, and it has seen and lists no other one. Take-ups share checks, also those sent for
   other streams. A record reaches the second daemon at any time, or never. Daemons are killed at any step, also together,
   and lose all that they know; the row stays. One that is suspended, or partitioned from the other one or the store, takes
   no step for any time; the first event waits as long.

   Not modelled: records of other daemons and of the store, which are asked for after the check and name the version that
   began the stream; services; replicas of another version than their entry says.

   Checked: the stream goes on only at the version that began it.

   Broken variants: CONCLUDE_FROM_LIST concludes from the daemon's own list, without the store; BELIEVE_READ from a read
   that was sent after the take-up arrived, but may be behind; CHECK_BEFORE_TAKE_UP from a check that was sent before;
   EVENT_BEFORE_ROW passes the first event on without the row; FORGET_VERSION removes versions that a daemon does not list
   from the row. PASS_ON_UNSTORED passes the first event on without the row while the store gives the first daemon no
   response, as daemons do after a bounded wait; PASS_ON_IN_OUTAGE only while it gives no daemon one. */

#if defined(PASS_ON_UNSTORED) || defined(PASS_ON_IN_OUTAGE)
#define HAS_OUTAGES
#endif

#define VERSIONS 2
#define FIRST_VERSION 1
#define MAX_CHANGES 4
#ifdef FORGET_VERSION
#define MAX_REVISION 4
#else
#define MAX_REVISION VERSIONS
#endif

/* Daemons. */
#define FIRST 0
#define SECOND 1

/* Steps of a check. */
#define NONE 0
#define SENT 1
#define DECIDED 2

byte serving = FIRST_VERSION;      /* versions that serve */
byte served[MAX_CHANGES + 1];      /* the same after each change */
byte changes = 0;
byte row = 0;                      /* versions at which a stream may have begun, in the store */
byte rows[MAX_REVISION + 1];       /* the same at each revision */
byte revision = 0;
#ifdef HAS_OUTAGES
bit unresponsive[2];               /* the store gives a daemon no response */
#endif

byte listed[2];                    /* versions in the list of a daemon */
byte seen[2];                      /* versions that it has seen in the row */

byte beginning = 0;                /* version of a first event that the first daemon received, and did not pass on */
bit stored = 0;                    /* the row holds it, by a transaction */
byte began = 0;                    /* version that began the stream, once its caller has an event */

bit recorded = 0;                  /* the second daemon has a record */
bit asked = 0;                     /* a take-up has arrived, and was not answered */
byte check = NONE;
byte checked_row = 0;
bit sent_after = 0;                /* the check was sent after the take-up had arrived */

#define IS_ONE(set) ((set) && !((set) & ((set) - 1)))

#ifdef CHECK_BEFORE_TAKE_UP
#define IS_USABLE true
#else
#define IS_USABLE sent_after
#endif
#ifdef HAS_OUTAGES
#define RESPONDS(daemon) (!unresponsive[daemon])
#else
#define RESPONDS(daemon) true
#endif
#ifdef EVENT_BEFORE_ROW
#define PASSES_ON_UNSTORED true
#else
#ifdef PASS_ON_UNSTORED
#define PASSES_ON_UNSTORED (unresponsive[FIRST])
#else
#ifdef PASS_ON_IN_OUTAGE
#define PASSES_ON_UNSTORED (unresponsive[FIRST] && unresponsive[SECOND])
#else
#define PASSES_ON_UNSTORED false
#endif
#endif
#endif

inline write_row(versions) {
  row = versions;
  revision++;
  rows[revision] = row
}

inline add(version) {
  if
  :: !(row & version) && revision < MAX_REVISION -> write_row(row | version)
  :: else -> skip
  fi
}

/* Sets `choice` to a number of at most `last`. */
inline choose(last) {
  choice = 0;
  do
  :: choice < last -> choice++
  :: break
  od
}

inline choose_version() {
  if
  :: choice = 1
  :: choice = 2
  :: VERSIONS > 2 -> choice = 4
  fi
}

inline end_check() {
  check = NONE;
  checked_row = 0;
  sent_after = 0
}

/* The stream goes on at a version, if it is listed and serves. */
inline go_on(version) {
  if
  :: version & listed[SECOND] & serving -> assert(version == began)
  :: else -> skip
  fi
}

/* What both daemons do. */
proctype Daemon(byte self) {
  byte choice = 0;
  do
  :: /* Reads the list, as of now or earlier. */
     atomic { choose(changes); listed[self] = served[choice]; choice = 0 }
  :: /* Reads the row, as of now or earlier. */
     atomic { choose(revision); seen[self] = seen[self] | rows[choice]; choice = 0 }
  :: /* Stores a listed version. */
     atomic {
       RESPONDS(self) && (listed[self] & ~seen[self]);
       choose_version();
       if
       :: (listed[self] & ~seen[self]) & choice -> add(choice)
       :: else -> skip
       fi;
       choice = 0
     }
#ifdef FORGET_VERSION
  :: /* Removes versions that it does not list. */
     atomic {
       RESPONDS(self) && listed[self] && (row & ~listed[self]) && revision < MAX_REVISION ->
       write_row(row & listed[self])
     }
#endif
  od
}

/* The daemon at which the stream begins. */
proctype First() {
  byte choice = 0;
  do
  :: /* Receives the first event. */
     atomic {
       !began && !beginning && (listed[FIRST] & serving);
       choose_version();
       if
       :: listed[FIRST] & serving & choice -> beginning = choice
       :: else -> skip
       fi;
       choice = 0
     }
  :: /* Its transaction is decided. */
     atomic { beginning && !stored && RESPONDS(FIRST) -> add(beginning); stored = 1 }
  :: /* Passes it on. */
     atomic {
       beginning && (stored || (seen[FIRST] & beginning) || PASSES_ON_UNSTORED) ->
       began = beginning;
       beginning = 0;
       stored = 0
     }
  :: /* Is killed, and starts again. */
     atomic { listed[FIRST] = 0; seen[FIRST] = 0; beginning = 0; stored = 0 }
  od
}

/* The daemon at which the stream is taken up. */
proctype Second() {
  do
  :: /* Receives a record. */
     atomic { began && !recorded -> recorded = 1 }
  :: /* The caller takes the stream up. */
     atomic { began && !asked && !recorded -> asked = 1; sent_after = 0 }
  :: /* Sends a check, for this stream or another one. */
     atomic { check != SENT -> end_check(); check = SENT; sent_after = asked }
  :: /* The check is decided. */
     atomic {
       check == SENT && RESPONDS(SECOND) ->
       check = DECIDED;
#ifdef BELIEVE_READ
       do
       :: checked_row < revision -> checked_row++
       :: break
       od;
       checked_row = rows[checked_row]
#else
       checked_row = row
#endif
     }
  :: /* A record has arrived meanwhile. */
     atomic { asked && recorded -> asked = 0; end_check() }
#ifdef CONCLUDE_FROM_LIST
  :: /* Its list answers the take-up. */
     atomic { asked && !recorded && IS_ONE(listed[SECOND]) -> go_on(listed[SECOND]); asked = 0; end_check() }
#endif
  :: /* The response to the check arrives. */
     atomic {
       asked && !recorded && check == DECIDED && IS_USABLE ->
       seen[SECOND] = seen[SECOND] | checked_row;
       if
       :: seen[SECOND] && IS_ONE(seen[SECOND] | listed[SECOND]) -> go_on(seen[SECOND])
       :: else -> skip
       fi;
       asked = 0;
       end_check()
     }
  :: /* Is killed, and starts again. */
     atomic { listed[SECOND] = 0; seen[SECOND] = 0; recorded = 0; asked = 0; end_check() }
  od
}

/* Versions that start and stop to serve, and the store's faults. */
proctype Environment() {
  byte choice = 0;
  do
  :: atomic {
       changes < MAX_CHANGES ->
       choose_version();
       serving = serving ^ choice;
       changes++;
       served[changes] = serving;
       choice = 0
     }
#ifdef HAS_OUTAGES
  :: unresponsive[FIRST] = 1 - unresponsive[FIRST]
  :: unresponsive[SECOND] = 1 - unresponsive[SECOND]
#endif
  od
}

init {
  atomic {
    served[0] = serving;
    run Environment();
    run Daemon(FIRST);
    run Daemon(SECOND);
    run First();
    run Second()
  }
}
