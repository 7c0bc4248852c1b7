/*
 * Model of publication: two operators publish concurrently; answers of the store can be lost, and a
 * write whose answer was lost may take effect later. One entry reads the store and a peer that may
 * be stale.
 *
 * Names follow the code: revision, publish id, history, conflict, accepted.
 *
 * Guards, removed one at a time with -D:
 *   NO_CAS        the write ignores the expected revision
 *   NO_HISTORY    read-back looks only at the current document, not at history/<revision>
 *   NO_RETRY      "not applied" after read-back is reported as a conflict although the write may
 *                 still be in flight
 *   NO_ORDER      an entry adopts any revision that it reads, even a lower one
 */
#define OPERATORS 2
#define REVISIONS 4
#define NOBODY 3

#define IDLE 0
#define WRITING 1   /* sent, no answer yet */
#define LOST 2      /* answer lost: the operator doesn't know whether the write took effect */
#define TOLD_OK 3
#define TOLD_CONFLICT 4

byte revision = 0;             /* in the store */
byte publisher = NOBODY;       /* publish id of the current document */
byte history[REVISIONS];       /* publish id by revision */

byte state[OPERATORS];
byte expected[OPERATORS];
byte in_flight[OPERATORS];     /* copies of the write that may still take effect */
byte applied[OPERATORS];       /* times that the write took effect */
byte losses = 0;

byte entry_revision = 0;
byte peer_revision = 0;

#ifdef NO_CAS
#define MATCHES(o) true
#else
#define MATCHES(o) (revision == expected[o])
#endif
#ifdef NO_HISTORY
#define IS_MINE(o) (publisher == o && revision == expected[o] + 1)
#else
#define IS_MINE(o) (history[expected[o] + 1] == o)
#endif
#ifdef NO_RETRY
#define IS_DECIDED(o) true
#else
#define IS_DECIDED(o) (revision != expected[o])
#endif
#ifdef NO_ORDER
#define IS_NEWER(r) true
#else
#define IS_NEWER(r) ((r) > entry_revision)
#endif

inline begin_write (o)
{
  state[o] == IDLE -> expected[o] = revision; state[o] = WRITING; in_flight[o] = 1;
}

/* The store processes one copy of the write; the operator gets the answer or it is lost. */
inline process_write (o)
{
  in_flight[o] > 0 && revision < REVISIONS - 1 ->
  in_flight[o]--;
  if
  :: MATCHES (o) ->
     revision++;
     publisher = o;
     history[revision] = o;
     applied[o]++;
     if
     :: state[o] == WRITING -> state[o] = TOLD_OK;
     :: state[o] == WRITING && losses < 2 -> losses++; state[o] = LOST;
     :: else -> skip;
     fi;
  :: else ->
     if
     :: state[o] == WRITING -> state[o] = TOLD_CONFLICT;
     :: state[o] == WRITING && losses < 2 -> losses++; state[o] = LOST;
     :: else -> skip;
     fi;
  fi;
}

/* The operator times out; the write may still reach the store. */
inline time_out (o)
{
  state[o] == WRITING && losses < 2 -> losses++; state[o] = LOST;
}

/* Read-back resends the write with the same expected revision only while the store still holds that
 * revision, so at most one copy can match. */
inline read_back (o)
{
  state[o] == LOST ->
  if
  :: IS_MINE (o) -> state[o] = TOLD_OK;
  :: !IS_MINE (o) && IS_DECIDED (o) -> state[o] = TOLD_CONFLICT;
  :: else ->
     if
     :: in_flight[o] < 2 -> in_flight[o]++; state[o] = WRITING;
     :: else -> skip;
     fi;
  fi;
}

inline entry_reads (r)
{
  if
  :: IS_NEWER (r) -> assert (r >= entry_revision); entry_revision = r;
  :: else -> skip;
  fi;
}

active proctype system ()
{
  byte o;

  d_step { history[0] = NOBODY; history[1] = NOBODY; history[2] = NOBODY; history[3] = NOBODY; }
  do
  :: atomic { select (o : 0 .. 1);
       if
       :: begin_write (o)
       :: process_write (o)
       :: time_out (o)
       :: read_back (o)
       :: else -> skip
       fi;
       assert (applied[o] <= 1);
       assert (state[o] != TOLD_OK || applied[o] == 1);
       assert (state[o] != TOLD_CONFLICT || applied[o] == 0);
       o = 0 }
  :: atomic { true -> entry_reads (revision) }
  :: atomic { true -> entry_reads (peer_revision) }
  :: d_step { peer_revision = revision }
  od
}
