/* The rate limit of one tenant over the whole fleet: coordinators together grant no more than the limit, also while a
   member is partitioned from the others or members restart.

   Modelled: time is counted in ticks. In each tick the tenant may be granted LIMIT tokens, one per member of the full
   fleet. A member is the coordinator if it ranks first in its view. It grants at most its share of the limit: the
   number of members in its view, divided by the largest fleet size that it observed or that was reported to it.
   Views lag behind actual reachability. One member at a time may be partitioned from the others; any may restart and
   lose its state. At most one partition, end of a partition, or restart happens in a tick.

   Checked: in a tick that starts with all views current and has no partition, end of one, or update of a view, at most
   LIMIT tokens are granted, also if members restart in it. Other ticks are not bounded here: they are covered by the
   permitted excess.

   Broken variants: IGNORE_SHARE grants the full limit whatever the view is; ALONE_IS_FLEET lets a restarted member
   without others in its view consider itself the whole fleet; NO_SIZE_REPORT lets a restarted member with others in
   its view grant before one of them has reported the fleet's size; NO_START_DELAY lets a member grant its share
   already in the tick in which it restarted or became the coordinator. */

#define DAEMONS 3
#define LIMIT 3
#define ALL_MEMBERS 7
#define NO_MEMBER 3

byte isolated = NO_MEMBER;
byte view[DAEMONS];
byte largest_size[DAEMONS];
bit size_known[DAEMONS];       /* has run since the start, or was reported the fleet's size since its restart */
bit new_coordinator[DAEMONS];  /* restarted or became the coordinator in this tick */
byte granted[DAEMONS];
byte total_granted = 0;
bit views_current = 1;
bit unchanged = 1;             /* no partition, end of one, or restart in this tick yet */
byte faults = 0;

#define COUNT(set) (((set) & 1) + (((set) >> 1) & 1) + (((set) >> 2) & 1))
#define REACHABLE_FROM(member) \
  (isolated == NO_MEMBER -> ALL_MEMBERS : (isolated == (member) -> (1 << (member)) : (ALL_MEMBERS & ~(1 << isolated))))
#define CAN_REACH(a, b) ((a) == (b) || (isolated != (a) && isolated != (b)))
#define COORDINATOR(set) ((set) & 1 -> 0 : ((set) & 2 -> 1 : 2))
#ifdef IGNORE_SHARE
#define SHARE(member) LIMIT
#else
#define SHARE(member) (COUNT(view[member]) * LIMIT / largest_size[member])
#endif

#ifdef ALONE_IS_FLEET
#define MAY_GRANT(member) (size_known[member] || COUNT(view[member]) == 1)
#else
#ifdef NO_SIZE_REPORT
#define MAY_GRANT(member) (size_known[member] || COUNT(view[member]) > 1)
#else
#define MAY_GRANT(member) (size_known[member])
#endif
#endif

inline update_view(member) {
  if
  :: COORDINATOR(view[member]) != member && COORDINATOR(REACHABLE_FROM(member)) == member ->
#ifndef NO_START_DELAY
     new_coordinator[member] = 1
#endif
  :: else -> skip
  fi;
  view[member] = REACHABLE_FROM(member);
  if
  :: COUNT(view[member]) > largest_size[member] -> largest_size[member] = COUNT(view[member])
  :: else -> skip
  fi
}

init {
  byte member = 0;
  byte other;

  do
  :: member < DAEMONS -> view[member] = ALL_MEMBERS; largest_size[member] = DAEMONS; size_known[member] = 1; member++
  :: else -> break
  od;

  do
  :: /* The next tick. */
     atomic {
       total_granted = 0;
       views_current = 1;
       unchanged = 1;
       member = 0;
       do
       :: member < DAEMONS ->
          granted[member] = 0;
          new_coordinator[member] = 0;
          if
          :: view[member] != REACHABLE_FROM(member) -> views_current = 0
          :: else -> skip
          fi;
          member++
       :: else -> break
       od
     }
  :: isolated == NO_MEMBER && faults < 3 && unchanged ->
     atomic { views_current = 0; unchanged = 0; faults++; select(member : 0 .. 2); isolated = member }
  :: isolated != NO_MEMBER && unchanged -> atomic { views_current = 0; unchanged = 0; isolated = NO_MEMBER }
  :: atomic { views_current = 0; select(member : 0 .. 2); update_view(member) }
  :: faults < 3 && unchanged ->
     /* A member restarts: its view is current at once, and earlier fleet sizes are lost. */
     atomic {
       unchanged = 0;
       faults++;
       select(member : 0 .. 2);
       view[member] = REACHABLE_FROM(member);
       largest_size[member] = COUNT(view[member]);
       size_known[member] = 0;
       granted[member] = 0;
#ifndef NO_START_DELAY
       new_coordinator[member] = 1
#endif
     }
  :: /* A member that can be reached reports the fleet's size. */
     atomic {
       select(member : 0 .. 2);
       select(other : 0 .. 2);
       if
       :: member != other && CAN_REACH(member, other) && size_known[other] ->
          size_known[member] = 1;
          if
          :: largest_size[other] > largest_size[member] -> largest_size[member] = largest_size[other]
          :: else -> skip
          fi
       :: else -> skip
       fi
     }
  :: /* Grants a token for a request. */
     atomic {
       select(member : 0 .. 2);
       if
       :: COORDINATOR(view[member]) == member && !new_coordinator[member] && MAY_GRANT(member) &&
          granted[member] < SHARE(member) ->
          granted[member]++;
          total_granted++;
          assert(!views_current || total_granted <= LIMIT)
       :: else -> skip
       fi
     }
  od
}
