#include "agent/state.h"
#include <string.h>

static guint
hash_record (gconstpointer key)
{
  const struct az_agent_record *record = key;

  return g_str_hash (record->id.job) * 31 + record->id.task;
}

static gboolean
equal_records (gconstpointer a, gconstpointer b)
{
  const struct az_agent_record *first = a;
  const struct az_agent_record *second = b;

  return first->id.task == second->id.task && !strcmp (first->id.job, second->id.job);
}

static void
free_record (void *data)
{
  struct az_agent_record *record = data;

  g_free (record->id.job);
  g_free (record->payload);
  g_free (record);
}

void
az_agent_records_create (struct az_agent_state *state)
{
  state->records = g_hash_table_new_full (hash_record, equal_records, free_record, NULL);
  state->origins = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  g_queue_init (&state->acknowledged);
}

void
az_agent_records_destroy (struct az_agent_state *state)
{
  g_hash_table_destroy (state->records);
  g_hash_table_destroy (state->origins);
}

struct az_agent_record *
az_agent_record_find (const struct az_agent_state *state, const char *job, uint32_t task)
{
  struct az_agent_record key = { .id = { .job = (char *)job, .task = task } };

  return g_hash_table_lookup (state->records, &key);
}

static uint64_t
record_size (const struct az_agent_record *record)
{
  return sizeof *record + strlen (record->id.job) + 1 + record->payload_length;
}

struct az_agent_record *
az_agent_record_add (struct az_agent_state *state,
                     uint64_t origin,
                     const struct az_start_task *task)
{
  struct az_agent_record *former = az_agent_record_find (state, task->id.job, task->id.task);
  struct az_agent_record *record = g_new0 (struct az_agent_record, 1);

  if (former) /* possible only if a test has disabled the check for records */
    az_agent_record_remove (state, former);
  record->id = task->id;
  record->id.job = g_strdup (task->id.job);
  record->origin = origin;
  record->job_tasks = task->job_tasks;
  record->status = AZ_STATUS_RUNNING;
  record->link.data = record;
  state->record_bytes += record_size (record);
  g_hash_table_add (state->records, record);
  return record;
}

static void
unlink_finished (struct az_agent_state *state, struct az_agent_record *record)
{
  if (!record->sequence)
    return;
  if (record->acknowledged)
    {
      g_queue_unlink (&state->acknowledged, &record->link);
      return;
    }
  state->unacknowledged_bytes -= record_size (record);
  g_queue_unlink (&az_agent_origin_get (state, record->origin)->unacknowledged, &record->link);
}

void
az_agent_record_remove (struct az_agent_state *state, struct az_agent_record *record)
{
  unlink_finished (state, record);
  az_agent_results_remove (state, record);
  state->record_bytes -= record_size (record);
  g_hash_table_remove (state->records, record);
}

/** az_agent_record_finish - stores the result, to be kept until the origin acknowledges it */
void
az_agent_record_finish (struct az_agent_state *state,
                        struct az_agent_record *record,
                        az_status status,
                        const uint8_t *payload,
                        size_t length)
{
  struct az_agent_origin *origin = az_agent_origin_get (state, record->origin);

  record->status = status;
  record->payload = g_memdup2 (payload, length);
  record->payload_length = length;
  record->sequence = ++state->last_sequence;
  state->record_bytes += length;
  state->unacknowledged_bytes += record_size (record);
  g_queue_push_tail_link (&origin->unacknowledged, &record->link);
  az_agent_retention_evict (state);
}

/**
 * az_agent_records_acknowledge - marks the results of an origin up to @sequence as acknowledged
 *
 * Acknowledgements are cumulative: results are sent in order, and on a new connection all
 * unacknowledged results are sent again before any new one.
 */
void
az_agent_records_acknowledge (struct az_agent_state *state, uint64_t incarnation, uint64_t sequence)
{
  struct az_agent_origin *origin = az_agent_origin_get (state, incarnation);
  struct az_agent_record *record;

  while ((record = g_queue_peek_head (&origin->unacknowledged)) && record->sequence <= sequence)
    {
      g_queue_unlink (&origin->unacknowledged, &record->link);
      state->unacknowledged_bytes -= record_size (record);
      record->acknowledged = true;
      record->acknowledged_at = az_agent_now (state);
      g_queue_push_tail_link (&state->acknowledged, &record->link);
    }
}
