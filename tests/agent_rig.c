#include "agent_rig.h"
#include "message_copy.h"
#include <string.h>

static void
read_monotonic (void *context, struct timespec *now)
{
  *now = az_time_from_ns (((struct rig *)context)->now_ns);
}

static void
read_wall (void *context, struct timespec *now)
{
  *now = az_time_from_ns (((struct rig *)context)->now_ns + RIG_WALL_MS * 1000000ll);
}

static void
collect_grants (struct rig *rig, uint32_t connection, const struct az_grant *grants, u_int n)
{
  for (u_int i = 0; i < n; i++)
    {
      GQueue *queue = &rig->grants[connection];
      gpointer id = GSIZE_TO_POINTER (grants[i].id);

      if (!g_queue_find (queue, id))
        g_queue_push_tail (queue, id);
    }
}

static void
answer_heartbeat (struct rig *rig, uint32_t connection, uint64_t sent_ns)
{
  struct az_message message = { .proc = AZ_HEARTBEAT_ACK };
  struct az_heartbeat_ack *ack = &message.az_message_u.heartbeat_ack;

  ack->sent_ns = sent_ns;
  ack->revision = rig->revision;
  ack->table_version = rig->table_version;
  ack->result_sequence = rig->acknowledged;
  az_agent_core_message_received (rig->core, connection, &message);
}

static void
on_send (void *context, uint32_t connection, const struct az_message *message)
{
  struct rig *rig = context;
  struct rig_sent *sent = g_new0 (struct rig_sent, 1);

  sent->connection = connection;
  sent->message = message_copy (message);
  g_ptr_array_add (rig->sent, sent);
  if (message->proc == AZ_GRANT)
    collect_grants (rig, connection, message->az_message_u.grant.grants.grants_val,
                    message->az_message_u.grant.grants.grants_len);
  if (message->proc == AZ_RESULT)
    collect_grants (rig, connection, message->az_message_u.result.grants.grants_val,
                    message->az_message_u.result.grants.grants_len);
}

static void
on_connect (void *context, const char *address)
{
  g_ptr_array_add (((struct rig *)context)->connects, g_strdup (address));
}

static void
on_close (void *context, uint32_t connection)
{
  g_array_append_val (((struct rig *)context)->closed, connection);
}

static void
on_start (void *context, const struct az_agent_task *task)
{
  struct rig_started started
      = { task->handle, task->id->task, task->id->attempt, task->timeout_ms };

  g_array_append_val (((struct rig *)context)->started, started);
}

static void
on_cancel (void *context, uint32_t handle)
{
  g_array_append_val (((struct rig *)context)->cancelled, handle);
}

static void
free_sent (void *data)
{
  message_free (((struct rig_sent *)data)->message);
  g_free (data);
}

struct rig *
rig_create (void)
{
  struct rig *rig = g_new0 (struct rig, 1);
  struct az_agent_io io = { on_send, on_connect, on_close, on_start, on_cancel, rig };

  rig->now_ns = 1000000000000;
  rig->incarnation_a = 101;
  rig->clock = (struct az_clock){ read_monotonic, read_wall, rig };
  rig->random = g_rand_new_with_seed (1);
  rig->counters = az_counters_create ();
  az_agent_settings_init (&rig->settings);
  rig->settings.instance = "agent-1";
  rig->settings.upstream = "pool";
  rig->settings.domain = "d1";
  rig->settings.slots = RIG_SLOTS;
  rig->settings.record_bytes_max = 20000;
  rig->sent = g_ptr_array_new_with_free_func (free_sent);
  rig->started = g_array_new (FALSE, FALSE, sizeof (struct rig_started));
  rig->cancelled = g_array_new (FALSE, FALSE, sizeof (uint32_t));
  rig->closed = g_array_new (FALSE, FALSE, sizeof (uint32_t));
  rig->connects = g_ptr_array_new_with_free_func (g_free);
  rig->core = az_agent_core_create (&rig->settings, 0x1234, &rig->clock, rig->random, &io,
                                    rig->counters, NULL);
  return rig;
}

struct rig *
rig_create_ready (void)
{
  struct rig *rig = rig_create ();

  rig_open (rig, RIG_A, "127.0.0.1:7001");
  rig_open (rig, RIG_B, "127.0.0.1:7002");
  rig_welcome (rig, RIG_A, 101);
  rig_welcome (rig, RIG_B, 102);
  rig_view (rig, RIG_A, 1, true);
  rig_table (rig, RIG_A, 101);
  rig_advance (rig, 1000);
  return rig;
}

void
rig_destroy (struct rig *rig)
{
  az_agent_core_destroy (rig->core);
  for (uint32_t i = 0; i < G_N_ELEMENTS (rig->grants); i++)
    g_queue_clear (&rig->grants[i]);
  g_ptr_array_unref (rig->sent);
  g_ptr_array_unref (rig->connects);
  g_array_unref (rig->started);
  g_array_unref (rig->cancelled);
  g_array_unref (rig->closed);
  g_rand_free (rig->random);
  az_counters_destroy (rig->counters);
  g_free (rig);
}

static void
answer_heartbeats (struct rig *rig, guint from)
{
  for (guint i = from; i < rig->sent->len; i++)
    {
      const struct rig_sent *sent = rig->sent->pdata[i];

      if (sent->message->proc == AZ_HEARTBEAT && !(rig->silent >> sent->connection & 1))
        answer_heartbeat (rig, sent->connection, sent->message->az_message_u.heartbeat.sent_ns);
    }
}

void
rig_advance (struct rig *rig, int64_t ms)
{
  for (int64_t passed = 0; passed < ms; passed += 20)
    {
      guint from = rig->sent->len;

      rig->now_ns += 20 * 1000000ll;
      az_agent_core_tick (rig->core);
      az_agent_core_flush (rig->core);
      answer_heartbeats (rig, from);
      az_agent_core_flush (rig->core);
    }
}

void
rig_freeze (struct rig *rig, int64_t ms)
{
  rig->now_ns += ms * 1000000ll;
}

void
rig_flush (struct rig *rig)
{
  az_agent_core_flush (rig->core);
}

void
rig_open (struct rig *rig, uint32_t connection, const char *address)
{
  g_queue_clear (&rig->grants[connection]);
  az_agent_core_connection_opened (rig->core, connection, address);
}

void
rig_receive (struct rig *rig, uint32_t connection, const struct az_message *message)
{
  struct az_message *copy = message_copy (message);

  az_agent_core_message_received (rig->core, connection, copy);
  message_free (copy);
}

void
rig_welcome (struct rig *rig, uint32_t connection, uint64_t incarnation)
{
  struct az_message message = { .proc = AZ_WELCOME };

  message.az_message_u.welcome.incarnation = incarnation;
  message.az_message_u.welcome.instance = "entry";
  rig_receive (rig, connection, &message);
}

void
rig_view (struct rig *rig, uint32_t connection, uint64_t revision, bool in_service)
{
  struct az_message message = { .proc = AZ_VIEW };
  struct az_view *view = &message.az_message_u.view;

  rig->revision = MAX (rig->revision, revision);
  *view = (struct az_view){ revision, in_service, RIG_SLOTS, 64, 3000 };
  rig_receive (rig, connection, &message);
}

void
rig_table (struct rig *rig, uint32_t connection, uint64_t owner)
{
  struct az_roster_entry roster[2] = {
    { rig->incarnation_a, "a", "d1", "127.0.0.1:7001", "127.0.0.1:8001", 0 },
    { 102, "b", "d2", "127.0.0.1:7002", "127.0.0.1:8002", 0 },
  };
  struct az_partition partitions[AZ_PARTITIONS];
  struct az_message message = { .proc = AZ_TABLE };
  struct az_table *table = &message.az_message_u.table;

  for (uint32_t i = 0; i < AZ_PARTITIONS; i++)
    partitions[i] = (struct az_partition){ owner, 0, 0 };
  table->table_version = ++rig->table_version;
  table->roster.roster_len = 2;
  table->roster.roster_val = roster;
  table->partitions.partitions_len = AZ_PARTITIONS;
  table->partitions.partitions_val = partitions;
  rig_receive (rig, connection, &message);
}

void
rig_acknowledge (struct rig *rig, uint32_t connection, uint64_t sequence)
{
  rig->acknowledged = sequence;
  answer_heartbeat (rig, connection, (uint64_t)rig->now_ns);
}

uint64_t
rig_take_grant (struct rig *rig, uint32_t connection)
{
  return GPOINTER_TO_SIZE (g_queue_pop_head (&rig->grants[connection]));
}

static int
find_refusal (const struct rig *rig, guint from, uint32_t task, uint32_t attempt)
{
  for (guint i = from; i < rig->sent->len; i++)
    {
      const struct az_message *message = ((struct rig_sent *)rig->sent->pdata[i])->message;
      const struct az_refused *refused = &message->az_message_u.refused;

      if (message->proc != AZ_REFUSED)
        continue;
      for (u_int k = 0; k < refused->tasks.tasks_len; k++)
        if (refused->tasks.tasks_val[k].id.task == task
            && refused->tasks.tasks_val[k].id.attempt == attempt)
          return refused->tasks.tasks_val[k].reason;
    }
  return RIG_NO_REFUSAL;
}

int
rig_start_job (struct rig *rig,
               uint32_t connection,
               const char *job,
               uint32_t task,
               uint32_t attempt,
               uint64_t grant,
               uint32_t remaining_ms)
{
  struct az_start_task start
      = { { (char *)job, task, attempt }, 10, grant, remaining_ms, 2000, { 1, "x" } };
  struct az_message message = { .proc = AZ_START };
  guint from = rig->sent->len;

  message.az_message_u.start.team = "team";
  message.az_message_u.start.service = "service";
  message.az_message_u.start.tasks.tasks_len = 1;
  message.az_message_u.start.tasks.tasks_val = &start;
  rig_receive (rig, connection, &message);
  rig_flush (rig);
  return find_refusal (rig, from, task, attempt);
}

int
rig_start (struct rig *rig, uint32_t connection, uint32_t task, uint32_t attempt, uint64_t grant)
{
  return rig_start_job (rig, connection, RIG_JOB, task, attempt, grant, 5000);
}

void
rig_demand (struct rig *rig, uint32_t connection, uint32_t waiting, uint32_t oldest_ms)
{
  struct az_message message = { .proc = AZ_DEMAND };

  message.az_message_u.demand.waiting = waiting;
  message.az_message_u.demand.oldest_ms = oldest_ms;
  rig_receive (rig, connection, &message);
  rig_flush (rig);
}

void
rig_finish (struct rig *rig, uint32_t index, az_status status)
{
  uint32_t handle = g_array_index (rig->started, struct rig_started, index).handle;

  az_agent_core_task_finished (rig->core, handle, status, (const uint8_t *)"done", 4);
}

az_status
rig_query (struct rig *rig, uint32_t connection, uint32_t task, uint32_t attempt)
{
  struct az_attempt id = { RIG_JOB, task, attempt };
  struct az_message message = { .proc = AZ_QUERY };

  message.az_message_u.query.attempts.attempts_len = 1;
  message.az_message_u.query.attempts.attempts_val = &id;
  rig_receive (rig, connection, &message);
  return rig_last (rig, connection, AZ_FATE)->az_message_u.fate.tasks.tasks_val[0].status;
}

uint32_t
rig_count (const struct rig *rig, uint32_t connection, az_proc proc)
{
  uint32_t count = 0;

  for (guint i = 0; i < rig->sent->len; i++)
    {
      const struct rig_sent *sent = rig->sent->pdata[i];

      count += sent->connection == connection && sent->message->proc == proc;
    }
  return count;
}

const struct az_message *
rig_last (const struct rig *rig, uint32_t connection, az_proc proc)
{
  for (guint i = rig->sent->len; i > 0; i--)
    {
      const struct rig_sent *sent = rig->sent->pdata[i - 1];

      if (sent->connection == connection && sent->message->proc == proc)
        return sent->message;
    }
  return NULL;
}

void
rig_clear (struct rig *rig)
{
  g_ptr_array_set_size (rig->sent, 0);
}
