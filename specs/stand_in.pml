/* The rate limit of one tenant while its coordinator is unresponsive: the next member takes over as fallback
   coordinator. The initial allowances of fallback and new coordinators add up to no more than those of takeovers
   alone.

   Modelled: one window. The members have a fixed order, and member 0 has long been the coordinator. Each other member
   has one initial allowance. It grants the allowance when it becomes the first member in its view, or earlier as the
   fallback coordinator, when a requester reports that the first one does not respond. A requester may report this at
   any time: the first member may have crashed, be stalled, or be partitioned from some members or in one direction.
   Members crash or stall, and recover; views lag behind this, each by its own delay.

   Checked: the number of allowances granted in the window does not exceed the number of members that departed from any
   view in it, or one if none did.

   Broken variants: SECOND_ALLOWANCE gives a member another allowance when it becomes the first in its view;
   IGNORE_DEPARTED lets a member act as fallback whichever members departed from its view in the window. */

#define MEMBERS 3
#define ALL_MEMBERS 7

byte view[MEMBERS];
byte departed[MEMBERS];         /* members that departed from its view in this window and did not return */
bit responsive[MEMBERS];
bit allowance[MEMBERS];
bit second_allowance[MEMBERS];  /* used by the variant SECOND_ALLOWANCE only */
byte lost_members = 0;
byte allowances_granted = 0;

#define CONTAINS(set, member) (((set) >> (member)) & 1)
#define COUNT(set) (CONTAINS(set, 0) + CONTAINS(set, 1) + CONTAINS(set, 2))
#define FIRST(set) (CONTAINS(set, 0) -> 0 : (CONTAINS(set, 1) -> 1 : (CONTAINS(set, 2) -> 2 : MEMBERS)))
#define SECOND(set) FIRST((set) & ~(1 << FIRST(set)))
#define MAX_ALLOWANCES (lost_members == 0 -> 1 : COUNT(lost_members))

#ifdef IGNORE_DEPARTED
#define PRESENT_OR_DEPARTED(member) view[member]
#else
#define PRESENT_OR_DEPARTED(member) (view[member] | departed[member])
#endif
#define MAY_BE_FALLBACK(member) (SECOND(view[member]) == (member) && SECOND(PRESENT_OR_DEPARTED(member)) == (member))

init {
  byte member = 0;
  byte other;

  do
  :: member < MEMBERS ->
     view[member] = ALL_MEMBERS;
     responsive[member] = 1;
     allowance[member] = (member > 0);
     second_allowance[member] = (member > 0);
     member++
  :: else -> break
  od;

  do
  :: /* A member crashes or stalls, or recovers. */
     atomic { select(member : 0 .. 2); responsive[member] = 1 - responsive[member] }
  :: /* The departure or return of another member reaches a view. */
     atomic {
       select(member : 0 .. 2);
       select(other : 0 .. 2);
       if
       :: responsive[member] && member != other && CONTAINS(view[member], other) && !responsive[other] ->
          view[member] = view[member] & ~(1 << other);
          departed[member] = departed[member] | (1 << other);
          lost_members = lost_members | (1 << other)
       :: responsive[member] && !CONTAINS(view[member], other) && responsive[other] ->
          view[member] = view[member] | (1 << other);
          departed[member] = departed[member] & ~(1 << other)
       :: else -> skip
       fi
     }
  :: /* A requester that gets no response from the first member queries the fallback coordinator. */
     atomic {
       select(member : 0 .. 2);
       if
       :: responsive[member] && allowance[member] && MAY_BE_FALLBACK(member) ->
          allowance[member] = 0;
          allowances_granted++;
          assert(allowances_granted <= MAX_ALLOWANCES)
       :: else -> skip
       fi
     }
  :: /* A member that has become the first in its view grants its allowance. */
     atomic {
       select(member : 0 .. 2);
       if
       :: responsive[member] && allowance[member] && FIRST(view[member]) == member ->
          allowance[member] = 0;
#ifdef SECOND_ALLOWANCE
          second_allowance[member] = 0;
#endif
          allowances_granted++;
          assert(allowances_granted <= MAX_ALLOWANCES)
#ifdef SECOND_ALLOWANCE
       :: responsive[member] && !allowance[member] && second_allowance[member] && FIRST(view[member]) == member ->
          second_allowance[member] = 0;
          allowances_granted++;
          assert(allowances_granted <= MAX_ALLOWANCES)
#endif
       :: else -> skip
       fi
     }
  od
}
