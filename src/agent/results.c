#include "agent/state.h"

static bool
is_queued (const struct az_agent_entry *entry, const struct az_agent_record *record)
{
  return g_ptr_array_find (entry->results, record, NULL);
}

/** az_agent_results_queue - queues a result for the next flush if its origin is connected */
void
az_agent_results_queue (struct az_agent_state *state, struct az_agent_record *record)
{
  uint32_t handle = az_agent_entry_by_incarnation (state, record->origin);
  struct az_agent_entry *entry = az_agent_entry_get (state, handle);

  if (entry && !is_queued (entry, record))
    g_ptr_array_add (entry->results, record);
}

/** az_agent_results_resend - queues all unacknowledged results of an entry in order */
void
az_agent_results_resend (struct az_agent_state *state, uint32_t handle)
{
  const struct az_agent_entry *entry = az_agent_entry_get (state, handle);
  struct az_agent_origin *origin = az_agent_origin_get (state, entry->incarnation);

  for (GList *link = origin->unacknowledged.head; link; link = link->next)
    g_ptr_array_add (entry->results, link->data);
}

/** az_agent_results_remove - removes from the queue a result whose record is about to be freed */
void
az_agent_results_remove (struct az_agent_state *state, const struct az_agent_record *record)
{
  uint32_t handle = az_agent_entry_by_incarnation (state, record->origin);
  const struct az_agent_entry *entry = az_agent_entry_get (state, handle);
  guint index;

  if (entry && g_ptr_array_find (entry->results, record, &index))
    g_ptr_array_remove_index (entry->results, index);
}

static void
fill_result (struct az_result_task *task, const struct az_agent_record *record)
{
  task->sequence = record->sequence;
  task->id = record->id;
  task->status = record->status;
  task->run_us = record->run_us;
  task->payload.az_payload_val = (char *)record->payload;
  task->payload.az_payload_len = (u_int)record->payload_length;
}

/* Returns the number of results, beginning with @first, that are sent in one message. */
static guint
batch_length (const GPtrArray *results, guint first)
{
  size_t bytes = 0;
  guint n = 0;

  while (first + n < results->len && n < AZ_MAX_GRANTS && bytes < AZ_AGENT_BATCH_BYTES)
    {
      bytes += ((const struct az_agent_record *)results->pdata[first + n])->payload_length;
      n++;
    }
  return n;
}

static void
send_results (struct az_agent_state *state, uint32_t handle)
{
  struct az_agent_entry *entry = az_agent_entry_get (state, handle);
  struct az_message message = { .proc = AZ_RESULT };
  struct az_result *result = &message.az_message_u.result;
  guint n;

  az_agent_grants_renew_early (state, handle);
  result->grants.grants_val = az_agent_grants_take (state, handle, &result->grants.grants_len);
  for (guint first = 0; first < entry->results->len; first += n)
    {
      n = batch_length (entry->results, first);
      result->results.results_val = g_new0 (struct az_result_task, n);
      result->results.results_len = n;
      for (guint i = 0; i < n; i++)
        fill_result (&result->results.results_val[i], entry->results->pdata[first + i]);
      az_agent_send (state, entry, &message);
      g_free (result->results.results_val);
      result->grants.grants_len = 0;
    }
  az_counters_add (state->counters, state->metrics.results, entry->results->len);
  g_ptr_array_set_size (entry->results, 0);
  g_free (result->grants.grants_val);
}

static void
send_grants (struct az_agent_state *state, uint32_t handle)
{
  const struct az_agent_entry *entry = az_agent_entry_get (state, handle);
  struct az_message message = { .proc = AZ_GRANT };
  struct az_grants *grants = &message.az_message_u.grant;

  grants->grants.grants_val = az_agent_grants_take (state, handle, &grants->grants.grants_len);
  if (grants->grants.grants_len)
    az_agent_send (state, entry, &message);
  g_free (grants->grants.grants_val);
}

/** az_agent_flush - sends queued refusals, results and grants in as few messages as possible */
void
az_agent_flush (struct az_agent_state *state)
{
  for (uint32_t handle = az_table_rows_next (state->entries, 0); handle;
       handle = az_table_rows_next (state->entries, handle))
    {
      struct az_agent_entry *entry = az_agent_entry_get (state, handle);

      if (entry->refused->len)
        az_agent_refusals_flush (state, entry);
      if (entry->results->len)
        send_results (state, handle);
      else if (entry->grants->len)
        send_grants (state, handle);
    }
}
