/* Takeovers of one thing: three daemons, one record, an owner that is held for gone whether or not it is.

   The record (owner, challenger, epoch, revision, and whether the thing's one item is listed) changes only under its
   revision. Daemons do not hear each other: each may hold the owner for gone at any time, whatever is true. Who does
   writes itself into the record as challenger. The owner hears of the record by a watch that may be late for as long
   as it likes; it refutes a challenge by any write, be it a refutation or the listing of the item. A challenge that
   stands until its time-out is followed by a takeover, by its challenger or by anybody else. A daemon may die. It may
   be stopped at any step, a cut from the store among them, and goes on with what it knew.

   Assumed of time, and only this: the time-out of a challenge is longer than an owner that lives and reaches the store
   needs to answer. So a time-out runs out only if the record has changed meanwhile, if the owner is dead, or if it has
   been stopped at some time since the challenge was written. How long the time-out must be for that is no matter of
   this model. Time between a time-out and the write of the takeover is not bounded.

   Checked: the item is listed once; an owner loses the thing only if it is dead or was stopped, and once for each stop;
   no state is without a way on while the item is not listed and a daemon lives (invalid end states), so a dead owner is
   followed. Broken variants: BY_VIEW takes without a challenge; BLIND_TAKE takes not under the challenge's revision;
   NO_FENCE lists without the revision; ONLY_CHALLENGER leaves the takeover to who wrote the challenge, which may die;
   FOLLOWED claims that no dead owner is ever followed, and so shows that the model comes to it. Left out: things that
   their owner gives up, and rests after a refutation, which bound writes and not safety. */

#define DAEMONS 3
#define NOBODY 3
#define MOST_FALSE_CHALLENGES 2   /* of owners that live */
#define MOST_STOPS 2
#define MOST_DEATHS 2

/* The record. */
byte owner = 0;
byte challenger = NOBODY;
byte epoch = 1;
byte revision = 1;
bool listed = false;

/* What is true of the daemons, which none of them knows. */
bool dead[DAEMONS];
bool stopped[DAEMONS];
byte stops[DAEMONS];              /* that have not yet cost the thing */
bool was_stopped = false;         /* the owner, since the challenge in the record */
byte false_challenges = 0;
byte stops_so_far = 0;
byte deaths = 0;

#define ACTS(daemon) (!dead[daemon] && !stopped[daemon])

inline take_over(by) {
#ifdef FOLLOWED
  assert(!dead[owner]);
#endif
  assert(dead[owner] || stops[owner] > 0);
  if
  :: dead[owner] -> skip
  :: else -> stops[owner]--
  fi;
  owner = by;
  challenger = NOBODY;
  was_stopped = false;
  epoch++;
  revision++
}

inline list() {
  assert(!listed);
  listed = true;
  challenger = NOBODY;
  was_stopped = false;
  revision++
}

proctype Daemon(byte self) {
  byte known = 0;                 /* revision of the copy */
  byte known_owner = NOBODY;
  byte known_challenger = NOBODY;
  bool known_listed = false;
  byte due = 0;                   /* revision under which the thing is to be taken */

  end: do
  :: atomic {
       /* The watch: the copy is as of now. */
       ACTS(self) && known != revision ->
       known = revision;
       known_owner = owner;
       known_challenger = challenger;
       known_listed = listed
     }
  :: atomic {
       /* Holds the owner for gone, and challenges it. */
       ACTS(self) && known > 0 && known == revision && !listed && owner != self && challenger == NOBODY &&
       (dead[owner] || false_challenges < MOST_FALSE_CHALLENGES) ->
       if
       :: dead[owner] -> skip
       :: else -> false_challenges++
       fi;
       challenger = self;
       was_stopped = stopped[owner];
       revision++
     }
  :: atomic {
       /* The owner refutes a challenge that its watch shows; a copy that is not the newest changes nothing. */
       ACTS(self) && known == revision && known_owner == self && known_challenger != NOBODY ->
       challenger = NOBODY;
       was_stopped = false;
       revision++
     }
  :: atomic {
       /* The owner lists the item, by its copy. */
#ifdef NO_FENCE
       ACTS(self) && known_owner == self && !known_listed ->
#else
       ACTS(self) && known_owner == self && !known_listed && known == revision ->
#endif
       list()
     }
#ifdef BY_VIEW
  :: atomic {
       ACTS(self) && known > 0 && !known_listed && known_owner != self && due == 0 -> due = known
     }
#else
  :: atomic {
       /* The challenge that the copy shows has stood for its time. */
       ACTS(self) && due == 0 && !known_listed && known_owner != self && known_challenger != NOBODY &&
#ifdef ONLY_CHALLENGER
       known_challenger == self &&
#endif
       (known != revision || dead[owner] || was_stopped) ->
       due = known
     }
#endif
  :: atomic {
       /* The write of the takeover. */
       ACTS(self) && due > 0 ->
       if
#ifdef BLIND_TAKE
       :: !listed && owner != self -> take_over(self)
#else
       :: due == revision -> take_over(self)
#endif
       :: else -> skip
       fi;
       due = 0
     }
  :: atomic {
       ACTS(self) && stops_so_far < MOST_STOPS ->
       stops_so_far++;
       stopped[self] = true;
       stops[self]++;
       was_stopped = was_stopped || (owner == self && challenger != NOBODY)
     }
  :: atomic { stopped[self] -> stopped[self] = false }
  :: atomic {
       deaths < MOST_DEATHS ->
       deaths++;
       dead[self] = true;
       stopped[self] = false;
       stops[self] = 0;
       known = 0; known_owner = NOBODY; known_challenger = NOBODY; known_listed = false; due = 0;
       break
     }
  od
}

/* Waits for the item; a state in which nothing can go on before that is an invalid end state. */
proctype Client() {
  listed
}

init {
  atomic {
    run Daemon(0);
    run Daemon(1);
    run Daemon(2);
    run Client()
  }
}
