/* A tenant's rate while its coordinator is silent: the member that follows stands in for it, and the stocks that members
   begin with do not add up faster by that than by members following each other.

   One window. The members are in a fixed order; member 0 has been the coordinator for long. Each other one has a stock
   that it gives out when it becomes the first of the members that it sees, or earlier, when an asker says that the first
   does not answer it. An asker may say so at any time: the first may be dead, stand still, be cut off one way or from
   some. Members die or stand still, and go on; what a member sees of that lags, member by member.

   Checked: the stocks that are given out in the window are no more than the members that were lost in it, in any view,
   or one, if none was. Broken variants: REFILL gives a member a second stock when it becomes the first; IN_A_ROW lets
   one stand in whoever went before it in the window. */

#define MEMBERS 3
#define ALL 7

byte view[MEMBERS];
byte gone[MEMBERS];   /* members that it saw go in this window, and not come back */
bit answers[MEMBERS];
bit stock[MEMBERS];
bit extra[MEMBERS];   /* the second stock of the broken variant */
byte lost = 0;
byte given = 0;

#define HAS(set, who) (((set) >> (who)) & 1)
#define COUNT(set) (HAS(set, 0) + HAS(set, 1) + HAS(set, 2))
#define FIRST(set) (HAS(set, 0) -> 0 : (HAS(set, 1) -> 1 : (HAS(set, 2) -> 2 : MEMBERS)))
#define SECOND(set) FIRST((set) & ~(1 << FIRST(set)))
#define MOST (lost == 0 -> 1 : COUNT(lost))

#ifdef IN_A_ROW
#define LATELY(who) view[who]
#else
#define LATELY(who) (view[who] | gone[who])
#endif
#define MAY_STAND_IN(who) (SECOND(view[who]) == (who) && SECOND(LATELY(who)) == (who))

init {
  byte who = 0;
  byte other;

  do
  :: who < MEMBERS -> view[who] = ALL; answers[who] = 1; stock[who] = (who > 0); extra[who] = (who > 0); who++
  :: else -> break
  od;

  do
  :: /* A member dies or stands still, or goes on. */
     atomic { select(who : 0 .. 2); answers[who] = 1 - answers[who] }
  :: /* A member sees that another one went, or came back. */
     atomic {
       select(who : 0 .. 2);
       select(other : 0 .. 2);
       if
       :: answers[who] && who != other && HAS(view[who], other) && !answers[other] ->
          view[who] = view[who] & ~(1 << other);
          gone[who] = gone[who] | (1 << other);
          lost = lost | (1 << other)
       :: answers[who] && !HAS(view[who], other) && answers[other] ->
          view[who] = view[who] | (1 << other);
          gone[who] = gone[who] & ~(1 << other)
       :: else -> skip
       fi
     }
  :: /* An asker, to which the first is silent, asks the one that follows. */
     atomic {
       select(who : 0 .. 2);
       if
       :: answers[who] && stock[who] && MAY_STAND_IN(who) ->
          stock[who] = 0;
          given++;
          assert(given <= MOST)
       :: else -> skip
       fi
     }
  :: /* One that has become the first begins. */
     atomic {
       select(who : 0 .. 2);
       if
       :: answers[who] && stock[who] && FIRST(view[who]) == who ->
          stock[who] = 0;
#ifdef REFILL
          extra[who] = 0;
#endif
          given++;
          assert(given <= MOST)
#ifdef REFILL
       :: answers[who] && !stock[who] && extra[who] && FIRST(view[who]) == who ->
          extra[who] = 0;
          given++;
          assert(given <= MOST)
#endif
       :: else -> skip
       fi
     }
  od
}
