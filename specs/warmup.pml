/* The rate limit of requests to one cold replica while its coordinators change: all grants of one window stay within
   WINDOW_LIMIT, which is twice the limit of one coordinator.

   Modelled: time is counted in windows. At most one fault or repair happens in each: a member is isolated from all
   others, all partitions end, a member restarts and loses its state, stalls, or resumes. Views are updated in the
   same window or, at the latest, in the next one. A member is the coordinator if it ranks first in its view. It
   grants at most its share: the number of members in its view, divided by the largest fleet size that it knows. A
   member that became the coordinator, restarted or resumed grants nothing until the end of the next window, and an
   increase of its share takes effect in the next window. A member counts with the larger of its grants before and
   after the update of its view.

   Checked: the grants of all members in one window never exceed WINDOW_LIMIT.

   Broken variants: IGNORE_SHARE grants the full limit whatever the view is; NO_WAIT grants without any wait;
   NO_WAIT_AFTER_STALL grants without a wait after a stall; GROW_AT_ONCE uses an increased share at once;
   NO_SIZE_REPORT lets a restarted member use the fleet size in its view, without reports from others. */

#define DAEMONS 4
#define COORDINATOR_LIMIT 4
#define WINDOW_LIMIT 8
#define ALL_MEMBERS 15
#define MAX_FAULTS 5

byte isolated = 0;             /* members that are partitioned from all others */
byte stalled = 0;
byte view[DAEMONS];
byte largest_size[DAEMONS];
byte windows_to_wait[DAEMONS];
byte previous_share[DAEMONS];  /* its share in the window before */
bit update_missed[DAEMONS];    /* its view was not updated in the window of the last change */
byte faults = 0;

#define COUNT(set) (((set) & 1) + (((set) >> 1) & 1) + (((set) >> 2) & 1) + (((set) >> 3) & 1))
#define CONTAINS(set, member) (((set) >> (member)) & 1)
#define REACHABLE_FROM(member) \
  (CONTAINS(isolated, member) -> (1 << (member)) : ((ALL_MEMBERS & ~isolated & ~stalled) | (1 << (member))))
#define COORDINATOR(set) ((set) & 1 -> 0 : ((set) & 2 -> 1 : ((set) & 4 -> 2 : 3)))
/* A member without others in its view has no share unless it knows of a larger fleet. */
#define KNOWS_FLEET(member) (COUNT(view[member]) > 1 || largest_size[member] > 1)
#define CURRENT_SHARE(member) \
  (KNOWS_FLEET(member) -> COUNT(view[member]) * COORDINATOR_LIMIT / largest_size[member] : 0)
#ifdef IGNORE_SHARE
#define SHARE(member) COORDINATOR_LIMIT
#else
#ifdef GROW_AT_ONCE
#define SHARE(member) CURRENT_SHARE(member)
#else
#define SHARE(member) \
  (CURRENT_SHARE(member) < previous_share[member] -> CURRENT_SHARE(member) : previous_share[member])
#endif
#endif
#define GRANTS(member) \
  ((COORDINATOR(view[member]) == member && windows_to_wait[member] == 0 && !CONTAINS(stalled, member)) -> \
   SHARE(member) : 0)

inline start_wait(member) {
#ifndef NO_WAIT
  windows_to_wait[member] = 2
#else
  skip
#endif
}

inline update_view(member) {
  if
  :: COORDINATOR(view[member]) != member && COORDINATOR(REACHABLE_FROM(member)) == member -> start_wait(member)
  :: else -> skip
  fi;
  view[member] = REACHABLE_FROM(member);
  update_missed[member] = 0;
  if
  :: COUNT(view[member]) > largest_size[member] -> largest_size[member] = COUNT(view[member])
  :: else -> skip
  fi
}

inline inject_fault(member) {
  if
  :: true -> skip
  :: faults < MAX_FAULTS ->
     faults++;
     select(member : 0 .. 3);
     if
     :: !CONTAINS(isolated, member) -> isolated = isolated | (1 << member)
     :: isolated -> isolated = 0
     :: !CONTAINS(stalled, member) ->
        /* Restarts: its view is current at once, and earlier fleet sizes are lost. The others report
           them during its wait. */
        view[member] = REACHABLE_FROM(member);
        largest_size[member] = COUNT(view[member]);
#ifndef NO_SIZE_REPORT
        other = 0;
        do
        :: other < DAEMONS ->
           if
           :: CONTAINS(view[member], other) && largest_size[other] > largest_size[member] ->
              largest_size[member] = largest_size[other]
           :: else -> skip
           fi;
           other++
        :: else -> break
        od;
        other = 0;
#endif
        previous_share[member] = COORDINATOR_LIMIT;
        update_missed[member] = 0;
        start_wait(member)
     :: !CONTAINS(stalled, member) -> stalled = stalled | (1 << member)
     :: CONTAINS(stalled, member) ->
        stalled = stalled & ~(1 << member);
        update_missed[member] = 0;
#ifndef NO_WAIT_AFTER_STALL
        start_wait(member)
#endif
     fi
  fi
}

init {
  byte member = 0;
  byte other = 0;
  byte grants_before;
  byte grants_after;
  byte total_grants;

  atomic {
    do
    :: member < DAEMONS ->
       view[member] = ALL_MEMBERS;
       largest_size[member] = DAEMONS;
       previous_share[member] = COORDINATOR_LIMIT;
       member++
    :: else -> break
    od
  }

  do
  :: atomic {
       inject_fault(member);
       total_grants = 0;
       member = 0;
       do
       :: member < DAEMONS ->
          grants_before = GRANTS(member);
          if
          :: CONTAINS(stalled, member) || view[member] == REACHABLE_FROM(member) -> skip
          :: !CONTAINS(stalled, member) && view[member] != REACHABLE_FROM(member) -> update_view(member)
          :: !CONTAINS(stalled, member) && view[member] != REACHABLE_FROM(member) && !update_missed[member] ->
             update_missed[member] = 1
          fi;
          grants_after = GRANTS(member);
          total_grants = total_grants + (grants_before > grants_after -> grants_before : grants_after);
          member++
       :: else -> break
       od;
       assert(total_grants <= WINDOW_LIMIT);
       member = 0;
       do
       :: member < DAEMONS ->
          previous_share[member] = CURRENT_SHARE(member);
          if
          :: windows_to_wait[member] > 0 && !CONTAINS(stalled, member) -> windows_to_wait[member]--
          :: else -> skip
          fi;
          member++
       :: else -> break
       od;
       member = 0;
       grants_before = 0;
       grants_after = 0;
       total_grants = 0
     }
  od
}
