/* What a cold replica bears, over coordinators that take each other's place: all that give out in one window together
   stay within BOUND, which is twice what one of them may give.

   Time goes in windows. In each, at most one thing happens: a member is cut off alone, all cuts heal, a member starts
   anew without memory, freezes or wakes. Members learn of it in this window or, at the latest, in the next one. One gives
   out if it is the first of the members that it sees, at most its part: the members that it sees, of the most that it
   remembers. One that became the first, started or woke waits until the end of the next window; a part that has grown
   counts only then too.

   Broken variants: WHOLE gives out the whole whatever part of the fleet is seen; NO_WAIT gives out as soon as it is the
   first; AWAKE goes on after it stood still; GROWS uses a part that has grown at once; UNTOLD lets one that has started
   go by the members that it sees. */

#define DAEMONS 4
#define UNIT 4
#define BOUND 8
#define ALL 15
#define MOST_CHANGES 5

byte apart = 0;        /* members that are cut off, each alone */
byte frozen = 0;
byte view[DAEMONS];
byte most[DAEMONS];
byte waits[DAEMONS];
byte held[DAEMONS];    /* its part in the window before */
bit stale[DAEMONS];    /* did not learn of a change in the window in which it happened */
byte changes = 0;

#define COUNT(set) (((set) & 1) + (((set) >> 1) & 1) + (((set) >> 2) & 1) + (((set) >> 3) & 1))
#define HAS(set, who) (((set) >> (who)) & 1)
#define REACHED(who) (HAS(apart, who) -> (1 << (who)) : ((ALL & ~apart & ~frozen) | (1 << (who))))
#define FIRST(set) ((set) & 1 -> 0 : ((set) & 2 -> 1 : ((set) & 4 -> 2 : 3)))
/* One that sees nobody does not take itself for the fleet unless it remembers. */
#define KNOWS(who) (COUNT(view[who]) > 1 || most[who] > 1)
#define RAW(who) (KNOWS(who) -> COUNT(view[who]) * UNIT / most[who] : 0)
#ifdef WHOLE
#define PART(who) UNIT
#else
#ifdef GROWS
#define PART(who) RAW(who)
#else
#define PART(who) (RAW(who) < held[who] -> RAW(who) : held[who])
#endif
#endif
#define GIVES(who) ((FIRST(view[who]) == who && waits[who] == 0 && !HAS(frozen, who)) -> PART(who) : 0)

inline wait_for(who) {
#ifndef NO_WAIT
  waits[who] = 2
#else
  skip
#endif
}

inline see(who) {
  if
  :: FIRST(view[who]) != who && FIRST(REACHED(who)) == who -> wait_for(who)
  :: else -> skip
  fi;
  view[who] = REACHED(who);
  stale[who] = 0;
  if
  :: COUNT(view[who]) > most[who] -> most[who] = COUNT(view[who])
  :: else -> skip
  fi
}

inline strike(who) {
  if
  :: true -> skip
  :: changes < MOST_CHANGES ->
     changes++;
     select(who : 0 .. 3);
     if
     :: !HAS(apart, who) -> apart = apart | (1 << who)
     :: apart -> apart = 0
     :: !HAS(frozen, who) ->
        /* Starts anew: it sees at once whom it reaches, and remembers nothing. While it waits, others tell it with their
           questions how large the fleet was. */
        view[who] = REACHED(who);
        most[who] = COUNT(view[who]);
#ifndef UNTOLD
        other = 0;
        do
        :: other < DAEMONS ->
           if
           :: HAS(view[who], other) && most[other] > most[who] -> most[who] = most[other]
           :: else -> skip
           fi;
           other++
        :: else -> break
        od;
        other = 0;
#endif
        held[who] = UNIT;
        stale[who] = 0;
        wait_for(who)
     :: !HAS(frozen, who) -> frozen = frozen | (1 << who)
     :: HAS(frozen, who) ->
        frozen = frozen & ~(1 << who);
        stale[who] = 0;
#ifndef AWAKE
        wait_for(who)
#endif
     fi
  fi
}

init {
  byte who = 0;
  byte other = 0;
  byte gives;
  byte after;
  byte total;

  atomic {
    do
    :: who < DAEMONS -> view[who] = ALL; most[who] = DAEMONS; held[who] = UNIT; who++
    :: else -> break
    od
  }

  do
  :: atomic {
       strike(who);
       total = 0;
       who = 0;
       do
       :: who < DAEMONS ->
          gives = GIVES(who);
          if
          :: HAS(frozen, who) || view[who] == REACHED(who) -> skip
          :: !HAS(frozen, who) && view[who] != REACHED(who) -> see(who)
          :: !HAS(frozen, who) && view[who] != REACHED(who) && !stale[who] -> stale[who] = 1
          fi;
          after = GIVES(who);
          total = total + (gives > after -> gives : after);
          who++
       :: else -> break
       od;
       assert(total <= BOUND);
       who = 0;
       do
       :: who < DAEMONS ->
          held[who] = RAW(who);
          if
          :: waits[who] > 0 && !HAS(frozen, who) -> waits[who]--
          :: else -> skip
          fi;
          who++
       :: else -> break
       od;
       who = 0;
       gives = 0;
       after = 0;
       total = 0
     }
  od
}
