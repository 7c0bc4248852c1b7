/*
 * Model of withdrawal and freshness: no task starts later than the freshness limit after a
 * withdrawing publication was accepted, with network cuts, store outages and a roster that grows
 * from one entry to three. The same rule confirms owner table versions, so the model also covers a
 * new owner that waits for the confirmation.
 *
 * Names follow the code: revision, roster, joined, evidence, exchange, accepted, confirmed.
 * Evidence is stored as its age; all ages beyond the limit are one state. Any step may be skipped
 * for any time, which models pauses, cuts between any two processes and store outages for any of
 * them.
 *
 * Guards, removed one at a time with -D:
 *   NO_FRESHNESS   the agent ignores the age of its evidence
 *   NO_MAJORITY    an entry takes its own state as evidence without replies of a majority
 *   NO_ACCEPT      a publication is accepted without confirmations by half of the members
 *   NO_OLD_MEMBERS half of the older members need not confirm
 *   NO_NEW_MEMBERS half of all members need not confirm
 *   NO_CONFIRM     a roster version is written before the current one is confirmed
 */
#define ENTRIES 3
#define LIMIT 1          /* freshness limit */
#define OLD (LIMIT + 1)
#define NEVER OLD

/* Roster version r holds entries 0 to r - 1; entry e joined in version e + 1. */
byte stored_roster = 1;
bool stored_withdrawn = false; /* newest revision in the store */

bool in_roster[ENTRIES];
byte roster[ENTRIES];
bool withdrawn[ENTRIES];       /* the entry knows the newest revision */
byte evidence[ENTRIES];        /* age */
byte exchange[ENTRIES * ENTRIES]; /* age of the last request of e that peer f has answered */

bool accepted = false;
byte accepted_age = 0;

bool agent_withdrawn = false;
byte agent_evidence = NEVER;

#define EXCHANGE(e, f) exchange[(e) * ENTRIES + (f)]
#define MAJORITY(n) ((n) / 2 + 1)
#define HALF(n) (((n) + 1) / 2)

#ifdef NO_FRESHNESS
#define IS_FRESH true
#else
#define IS_FRESH (agent_evidence <= LIMIT)
#endif
#ifdef NO_MAJORITY
#define NEEDED(n) 1
#define COUNTS_PEER(e, f) true
#else
#define NEEDED(n) MAJORITY (n)
#define COUNTS_PEER(e, f) (f < roster[e])
#endif
/* At least half, rounded up, of all members and half of those that were in the roster before its
 * current version must confirm. Every majority of the current or of the previous roster, from which
 * an entry could get evidence, then includes a member that has confirmed. */
#define OLD_MEMBERS ((stored_roster > 1) -> stored_roster - 1 : 1)
#ifdef NO_OLD_MEMBERS
#define IS_CONFIRMED (count >= HALF (stored_roster))
#else
#ifdef NO_NEW_MEMBERS
#define IS_CONFIRMED (age >= HALF (OLD_MEMBERS))
#else
#define IS_CONFIRMED (count >= HALF (stored_roster) && age >= HALF (OLD_MEMBERS))
#endif
#endif

#ifdef NO_ACCEPT
#define ACCEPTED_BY_HALF true
#else
#define ACCEPTED_BY_HALF IS_CONFIRMED
#endif
#ifdef NO_CONFIRM
#define ROSTER_CONFIRMED true
#else
#define ROSTER_CONFIRMED IS_CONFIRMED
#endif

#define INCREMENT(age) age = ((age < OLD) -> age + 1 : age)

inline tick ()
{
  INCREMENT (agent_evidence);
  for (e : 0 .. 2) {
    INCREMENT (evidence[e]);
    for (f : 0 .. 2) { INCREMENT (EXCHANGE (e, f)); }
  }
  if
  :: accepted && accepted_age <= LIMIT -> accepted_age++;
  :: else -> skip;
  fi;
}

inline read_store (e)
{
  withdrawn[e] = stored_withdrawn;
  roster[e] = ((stored_roster > roster[e]) -> stored_roster : roster[e]);
  evidence[e] = 0;
}

/* The peers exchange the newer state, configuration and owner table together. */
inline exchange_with (e, f)
{
  withdrawn[e] = withdrawn[e] || withdrawn[f];
  withdrawn[f] = withdrawn[e];
  roster[e] = ((roster[f] > roster[e]) -> roster[f] : roster[e]);
  roster[f] = roster[e];
  EXCHANGE (e, f) = 0;
}

inline majority_evidence (e)
{
  count = 1;
  age = 0;
  for (f : 0 .. 2) {
    if
    :: f != e && COUNTS_PEER (e, f) && EXCHANGE (e, f) <= LIMIT ->
       count++;
       age = ((EXCHANGE (e, f) > age) -> EXCHANGE (e, f) : age);
    :: else -> skip;
    fi;
  }
  if
  :: count >= NEEDED (roster[e]) && age < evidence[e] -> evidence[e] = age;
  :: else -> skip;
  fi;
}

inline heartbeat (e)
{
  agent_withdrawn = agent_withdrawn || withdrawn[e];
  if
  :: evidence[e] < agent_evidence -> agent_evidence = evidence[e];
  :: else -> skip;
  fi;
}

inline start_task ()
{
  if
  :: IS_FRESH && !agent_withdrawn -> assert (!accepted || accepted_age <= LIMIT);
  :: else -> skip;
  fi;
}

inline publish ()
{
  stored_withdrawn = true;
}

/* Counts the members that confirm (count), and those of them that were in the roster before its
 * current version (age). */
inline count_confirmations (array)
{
  count = 0;
  age = 0;
  for (f : 0 .. 2) {
    if
    :: f < stored_roster && array ->
       count++;
       age = ((f < OLD_MEMBERS) -> age + 1 : age);
    :: else -> skip;
    fi;
  }
}

inline accept ()
{
  count_confirmations (withdrawn[f]);
  if
  :: stored_withdrawn && !accepted && ACCEPTED_BY_HALF -> accepted = true;
  :: else -> skip;
  fi;
}

/* Entry e reads the store, then writes the roster with itself added. */
inline join (e)
{
  count_confirmations (roster[f] >= stored_roster);
  if
  :: stored_roster == e && !in_roster[e] && ROSTER_CONFIRMED ->
     in_roster[e] = true;
     stored_roster = e + 1;
     read_store (e);
  :: else -> skip;
  fi;
}

active proctype system ()
{
  byte e;
  byte f;
  byte count;
  byte age;
  byte p;
  byte q;

  d_step {
    in_roster[0] = true;
    for (e : 0 .. 2) {
      roster[e] = 0;
      evidence[e] = NEVER;
      for (f : 0 .. 2) { EXCHANGE (e, f) = NEVER; }
    }
    roster[0] = 1;
    evidence[0] = 0;
  }
  do
  :: atomic { select (p : 0 .. 2); select (q : 0 .. 2);
       d_step {
         if
         :: p != q && in_roster[p] && in_roster[q] -> exchange_with (p, q);
         :: else -> skip;
         fi;
         count = 0; age = 0; e = 0; f = 0; p = 0; q = 0; } }
  :: atomic { select (p : 0 .. 2);
       if
       :: in_roster[p] -> d_step { read_store (p) }
       :: in_roster[p] -> d_step { majority_evidence (p) }
       :: in_roster[p] -> d_step { heartbeat (p) }
       :: else -> d_step { join (p) }
       fi;
       d_step { count = 0; age = 0; e = 0; f = 0; p = 0; } }
  :: d_step { tick (); count = 0; age = 0; e = 0; f = 0; }
  :: d_step { publish () }
  :: d_step { accept (); count = 0; age = 0; f = 0; }
  :: atomic { start_task () }
  od
}
