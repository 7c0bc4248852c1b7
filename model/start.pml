/*
 * Model of "a task starts at most once" with one task of one job, two entries, two agents and the
 * owner table.
 *
 * Names follow the code: table version, from, previous, horizon, evidence, fence. A process that
 * takes no steps while time advances models a pause of any length. Time is counted in units of
 * the freshness limit. Evidence is stored as its age; all ages beyond the limit are one state. The
 * client may resubmit the same id to any entry at any time.
 *
 * Guards, removed one at a time with -D:
 *   NO_FRESHNESS   an agent ignores the age of its evidence
 *   NO_OWNER       an agent ignores its owner table
 *   NO_HORIZON     a new owner runs unknown ids older than its horizon
 *   NO_RECORD      an entry resends an attempt of unknown fate without fencing it
 *   NO_INCARNATION an entry takes "no record" from a restarted agent as proof of "not started"
 */
#define ENTRIES 2
#define AGENTS 2
#define FRESHNESS 1
#define HANDOVER 2
#define TIME_MAX 5
#define VERSIONS 2
#define NONE 7

#define READY 1
#define SENT 2
#define CLOSED 3

byte now = 0;

/* Owner table in the store, by version. */
byte owner[VERSIONS];
byte from[VERSIONS];
byte previous[VERSIONS];
byte stored = 0;

bool alive[ENTRIES];
byte entry_table[ENTRIES];
byte entry_age[ENTRIES];
byte task[ENTRIES];      /* 0 no record, READY, SENT, CLOSED */
byte sent_to[ENTRIES];
byte sent_incarnation[ENTRIES];
byte horizon[ENTRIES];
byte proposed_from = 0;  /* computed before the compare-and-swap takes effect */
bool proposing = false;
byte proposer = NONE;
byte pending_owner = NONE; /* its compare-and-swap took effect, but it has not learned so yet */

bool start_message[ENTRIES * AGENTS];
byte agent_table[AGENTS];
byte agent_age[AGENTS];
bool agent_informed[AGENTS];
bool record[AGENTS];
byte incarnation[AGENTS];

bool submitted = false;
byte id_time = 0;
byte starts = 0;
byte agent_crashes = 0;

#ifdef NO_HORIZON
#define WITHIN_HORIZON(e) true
#else
#define WITHIN_HORIZON(e) (id_time >= horizon[e])
#endif
#ifdef NO_FRESHNESS
#define IS_FRESH(a) true
#else
#define IS_FRESH(a) (agent_age[a] <= FRESHNESS)
#endif
#ifdef NO_OWNER
#define IS_OWNER(e, a) true
#else
#define IS_OWNER(e, a) (OWNER_OF (agent_table[a]) == e)
#endif
#ifdef NO_RECORD
#define IS_FENCED(a) true
#define DROP_OLD(e, a) skip
#else
#define IS_FENCED(a) (!record[a])
#define DROP_OLD(e, a) MSG (e, a) = false
#endif
#ifdef NO_INCARNATION
#define SAME_INCARNATION(e, a) true
#else
#define SAME_INCARNATION(e, a) (sent_incarnation[e] == incarnation[a])
#endif

#define MSG(e, a) start_message[(e) * AGENTS + (a)]
#define OWNER_OF(version) ((id_time >= from[version]) -> owner[version] : previous[version])

#define INCREMENT(age) age = ((age <= FRESHNESS) -> age + 1 : age)

inline tick ()
{
  now < TIME_MAX ->
  now++;
  INCREMENT (entry_age[0]);
  INCREMENT (entry_age[1]);
  INCREMENT (agent_age[0]);
  INCREMENT (agent_age[1]);
}

inline submit (e)
{
  alive[e] && (!submitted || id_time <= now) ->
  if
  :: !submitted -> submitted = true; id_time = now;
  :: else -> skip;
  fi;
  if
  :: OWNER_OF (entry_table[e]) == e && task[e] == 0 && WITHIN_HORIZON (e) -> task[e] = READY;
  :: else -> skip;
  fi;
}

inline dispatch (e, a)
{
  alive[e] && task[e] == READY && agent_informed[a] ->
  MSG (e, a) = true;
  task[e] = SENT;
  sent_to[e] = a;
  sent_incarnation[e] = incarnation[a];
}

inline deliver (e, a)
{
  MSG (e, a) ->
  MSG (e, a) = false;
  if
  :: agent_informed[a] && !record[a] && IS_FRESH (a) && IS_OWNER (e, a) ->
        record[a] = true;
        starts++;
        assert (starts <= 1);
        if
        :: alive[e] -> task[e] = CLOSED; /* result arrives */
        :: true -> skip;                 /* result is lost */
        fi;
  :: else ->
        if
        :: alive[e] && task[e] == SENT && sent_to[e] == a -> task[e] = READY;
        :: true -> skip;
        fi;
  fi;
}

inline cut (e, a)
{
  MSG (e, a) -> MSG (e, a) = false;
}

#define CLEAR_SENT(e) sent_to[e] = 0; sent_incarnation[e] = 0

/* The agent has closed the old connection, so no message sent on it can arrive (DROP_OLD). */
inline query (e, a)
{
  alive[e] && task[e] == SENT && sent_to[e] == a ->
  DROP_OLD (e, a);
  if
  :: IS_FENCED (a) && SAME_INCARNATION (e, a) -> task[e] = READY;
  :: else -> task[e] = CLOSED; /* started, or outcome unknown */
  fi;
  CLEAR_SENT (e);
}

inline read_store (e)
{
  alive[e] -> entry_table[e] = stored; entry_age[e] = 0;
}

inline heartbeat (e, a)
{
  alive[e] ->
  agent_informed[a] = true;
  if
  :: agent_table[a] < entry_table[e] -> agent_table[a] = entry_table[e];
  :: else -> skip;
  fi;
  if
  :: agent_age[a] > entry_age[e] -> agent_age[a] = entry_age[e];
  :: else -> skip;
  fi;
}

/* The session of the current owner has expired, because it crashed or paused. */
inline propose (e)
{
  alive[e] && !proposing && pending_owner == NONE && stored < VERSIONS - 1 && owner[stored] != e &&
  entry_table[e] == stored && task[e] == 0 && now + HANDOVER <= TIME_MAX ->
  proposing = true;
  proposer = e;
  proposed_from = now + HANDOVER;
}

inline table_written ()
{
  proposing ->
  owner[stored + 1] = proposer;
  from[stored + 1] = proposed_from;
  previous[stored + 1] = owner[stored];
  stored++;
  pending_owner = proposer;
  proposing = false;
}

inline learn_ownership (e)
{
  alive[e] && pending_owner == e ->
  entry_table[e] = stored;
  horizon[e] = ((now + HANDOVER > from[stored]) -> now + HANDOVER : from[stored]);
  pending_owner = NONE;
}

inline crash_entry (e)
{
  alive[e] -> alive[e] = false; task[e] = 0; entry_age[e] = FRESHNESS + 1; entry_table[e] = 0; CLEAR_SENT (e);
  if
  :: pending_owner == e -> pending_owner = NONE;
  :: else -> skip;
  fi;
}

inline crash_agent (a)
{
  agent_crashes < 1 ->
  agent_crashes++;
  incarnation[a]++;
  record[a] = false;
  agent_informed[a] = false;
  agent_table[a] = 0;
  agent_age[a] = FRESHNESS + 1;
  MSG (0, a) = false;
  MSG (1, a) = false;
}

active proctype system ()
{
  byte e;
  byte a;

  d_step {
    owner[0] = 0; from[0] = 0; previous[0] = NONE;
    alive[0] = true; alive[1] = true;
    horizon[1] = TIME_MAX + 1;
    agent_age[0] = FRESHNESS + 1; agent_age[1] = FRESHNESS + 1;
  }
  do
  :: atomic { tick () }
  :: atomic { table_written () }
  :: atomic { select (e : 0 .. 1);
       if
       :: submit (e)
       :: read_store (e)
       :: propose (e)
       :: learn_ownership (e)
       :: crash_entry (e)
       :: else -> skip
       fi; e = 0 }
  :: atomic { select (e : 0 .. 1); select (a : 0 .. 1);
       if
       :: dispatch (e, a)
       :: deliver (e, a)
       :: cut (e, a)
       :: query (e, a)
       :: heartbeat (e, a)
       :: else -> skip
       fi; e = 0; a = 0 }
  :: atomic { select (a : 0 .. 1);
       if
       :: crash_agent (a)
       :: else -> skip
       fi; a = 0 }
  od
}
