/* A tenant's rate over all daemons: coordinators that give out tokens while a member is cut off, and while members
   start anew, together stay within the limit.

   Time goes in ticks. In each tick the tenant may have LIMIT tokens, one for each member of the whole fleet. A daemon
   gives out tokens if it is the first of the members that it sees, at most its part: the members that it sees, of the
   most that it remembers or was told of. What it sees lags behind who reaches whom. One member may be cut off from the
   others; any may start anew, with no memory. At most one of these happens in a tick.

   Checked: in a tick in which all see the fleet as it is, no more than LIMIT tokens are given out, also where daemons
   start anew in it. Ticks in which views differ are not bounded here: they are what the permitted excess is for.
   Broken variants: WHOLE gives out the whole limit whatever is remembered; ALONE lets a member that has just
   started and sees nobody take itself for the fleet; NOT_TOLD lets one give out tokens before another one has told it
   how large the fleet was; FULL lets one that has just started, or become the first, begin with its whole part within the same tick. */

#define DAEMONS 3
#define LIMIT 3
#define ALL 7
#define NOBODY 3

byte isolated = NOBODY;
byte view[DAEMONS];
byte most[DAEMONS];
bit told[DAEMONS];    /* knows the fleet's size from itself or from another one */
bit fresh[DAEMONS];   /* became the first in this tick */
byte gave[DAEMONS];
byte total = 0;
bit settled = 1;
bit calm = 1;         /* nothing was cut, healed or started in this tick yet */
byte changes = 0;

#define COUNT(set) (((set) & 1) + (((set) >> 1) & 1) + (((set) >> 2) & 1))
#define REACHED(who) (isolated == NOBODY -> ALL : (isolated == (who) -> (1 << (who)) : (ALL & ~(1 << isolated))))
#define REACHES(a, b) ((a) == (b) || (isolated != (a) && isolated != (b)))
#define FIRST(set) ((set) & 1 -> 0 : ((set) & 2 -> 1 : 2))
#ifdef WHOLE
#define PART(who) LIMIT
#else
#define PART(who) (COUNT(view[who]) * LIMIT / most[who])
#endif

#ifdef ALONE
#define MAY_GIVE(who) (told[who] || COUNT(view[who]) == 1)
#else
#ifdef NOT_TOLD
#define MAY_GIVE(who) (told[who] || COUNT(view[who]) > 1)
#else
#define MAY_GIVE(who) (told[who])
#endif
#endif

inline see(who) {
  if
  :: FIRST(view[who]) != who && FIRST(REACHED(who)) == who ->
#ifndef FULL
     fresh[who] = 1
#endif
  :: else -> skip
  fi;
  view[who] = REACHED(who);
  if
  :: COUNT(view[who]) > most[who] -> most[who] = COUNT(view[who])
  :: else -> skip
  fi
}

init {
  byte who = 0;
  byte other;

  do
  :: who < DAEMONS -> view[who] = ALL; most[who] = DAEMONS; told[who] = 1; who++
  :: else -> break
  od;

  do
  :: /* The next tick. */
     atomic {
       total = 0;
       settled = 1;
       calm = 1;
       who = 0;
       do
       :: who < DAEMONS ->
          gave[who] = 0;
          fresh[who] = 0;
          if
          :: view[who] != REACHED(who) -> settled = 0
          :: else -> skip
          fi;
          who++
       :: else -> break
       od
     }
  :: isolated == NOBODY && changes < 3 && calm ->
     atomic { settled = 0; calm = 0; changes++; select(who : 0 .. 2); isolated = who }
  :: isolated != NOBODY && calm -> atomic { settled = 0; calm = 0; isolated = NOBODY }
  :: atomic { settled = 0; select(who : 0 .. 2); see(who) }
  :: changes < 3 && calm ->
     /* Starts anew: it sees at once whom it reaches, and remembers nothing. */
     atomic {
       calm = 0;
       changes++;
       select(who : 0 .. 2);
       view[who] = REACHED(who);
       most[who] = COUNT(view[who]);
       told[who] = 0;
       gave[who] = 0;
#ifndef FULL
       fresh[who] = 1
#endif
     }
  :: /* A member that reaches it tells how large the fleet was. */
     atomic {
       select(who : 0 .. 2);
       select(other : 0 .. 2);
       if
       :: who != other && REACHES(who, other) && told[other] ->
          told[who] = 1;
          if
          :: most[other] > most[who] -> most[who] = most[other]
          :: else -> skip
          fi
       :: else -> skip
       fi
     }
  :: /* A token for a request. */
     atomic {
       select(who : 0 .. 2);
       if
       :: FIRST(view[who]) == who && !fresh[who] && MAY_GIVE(who) && gave[who] < PART(who) ->
          gave[who]++;
          total++;
          assert(!settled || total <= LIMIT)
       :: else -> skip
       fi
     }
  od
}
