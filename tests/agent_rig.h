#ifndef AZUREROCK_TESTS_AGENT_RIG_H
#define AZUREROCK_TESTS_AGENT_RIG_H

#include "azurerock/agent_core.h"
#include "azurerock/limits.h"

/* Test fixture: an agent core with a virtual clock and two entries that the test simulates. */
#define RIG_JOB "1700000000000-unittest1"
#define RIG_WALL_MS 1700000001000
#define RIG_SLOTS 8
#define RIG_NO_REFUSAL (-1)

enum
{
  RIG_A = 1, /* connection of the entry with incarnation 101, owner of all ids */
  RIG_B = 2, /* connection of the entry with incarnation 102 */
};

struct rig_sent
{
  uint32_t connection;
  struct az_message *message;
};

struct rig_started
{
  uint32_t handle;
  uint32_t task;
  uint32_t attempt;
  int64_t timeout_ms;
};

/**
 * struct rig - an agent core and what it has sent
 * @acknowledged: result sequence that the entries state in their heartbeat acknowledgements
 * @silent: bit mask of the connections on which heartbeats are not acknowledged
 * @incarnation_a: incarnation that rig_table() lists at the address of RIG_A
 */
struct rig
{
  int64_t now_ns;
  struct az_clock clock;
  GRand *random;
  struct az_counters *counters;
  struct az_agent_settings settings;
  struct az_agent_core *core;
  GPtrArray *sent;     /* struct rig_sent */
  GArray *started;     /* struct rig_started */
  GArray *cancelled;   /* uint32_t */
  GPtrArray *connects; /* char * */
  GArray *closed;      /* uint32_t */
  GQueue grants[4];    /* ids received per connection, oldest first */
  uint64_t revision;
  uint64_t table_version;
  uint64_t acknowledged;
  uint32_t silent;
  uint64_t incarnation_a;
};

struct rig *
rig_create (void);

/** rig_create_ready - creates a rig in which both entries are connected and tasks may start */
struct rig *
rig_create_ready (void);
void
rig_destroy (struct rig *rig);

/** rig_advance - advances the clock with a tick every 20 ms; heartbeats are acknowledged at once */
void
rig_advance (struct rig *rig, int64_t ms);

/** rig_freeze - advances the clock without a tick, as if the process was stopped */
void
rig_freeze (struct rig *rig, int64_t ms);
void
rig_flush (struct rig *rig);
void
rig_open (struct rig *rig, uint32_t connection, const char *address);
void
rig_welcome (struct rig *rig, uint32_t connection, uint64_t incarnation);
void
rig_view (struct rig *rig, uint32_t connection, uint64_t revision, bool in_service);
void
rig_table (struct rig *rig, uint32_t connection, uint64_t owner);
void
rig_acknowledge (struct rig *rig, uint32_t connection, uint64_t sequence);
void
rig_receive (struct rig *rig, uint32_t connection, const struct az_message *message);

/** rig_take_grant - takes the oldest unused grant of a connection; returns its id, 0 if none */
uint64_t
rig_take_grant (struct rig *rig, uint32_t connection);

/** rig_start - sends START for one task; returns the refusal reason or RIG_NO_REFUSAL */
int
rig_start (struct rig *rig, uint32_t connection, uint32_t task, uint32_t attempt, uint64_t grant);
int
rig_start_job (struct rig *rig,
               uint32_t connection,
               const char *job,
               uint32_t task,
               uint32_t attempt,
               uint64_t grant,
               uint32_t remaining_ms);
void
rig_demand (struct rig *rig, uint32_t connection, uint32_t waiting, uint32_t oldest_ms);
void
rig_finish (struct rig *rig, uint32_t index, az_status status);

/** rig_query - sends QUERY for one attempt; returns the status in the reply */
az_status
rig_query (struct rig *rig, uint32_t connection, uint32_t task, uint32_t attempt);

/** rig_count - number of messages of one kind that the agent has sent on a connection since
 * rig_clear() */
uint32_t
rig_count (const struct rig *rig, uint32_t connection, az_proc proc);
const struct az_message *
rig_last (const struct rig *rig, uint32_t connection, az_proc proc);
void
rig_clear (struct rig *rig);

#endif
