#include "agent/state.h"
#include "azurerock/job_id.h"

static bool
is_selected (const struct az_agent_record *record, uint64_t partitions)
{
  return partitions >> az_job_id_partition (record->id.job) & 1;
}

static void
fill_record (struct az_record *to, const struct az_agent_record *from)
{
  to->id = from->id;
  to->job_tasks = from->job_tasks;
  to->status = from->status;
  to->payload.az_payload_val = (char *)from->payload;
  to->payload.az_payload_len = (u_int)from->payload_length;
}

static void
send_batch (struct az_agent_state *state,
            const struct az_agent_entry *entry,
            struct az_records *records,
            struct az_message *message)
{
  message->az_message_u.records = *records;
  az_agent_send (state, entry, message);
  records->records.records_len = 0;
}

/** az_agent_recover_received - sends the records of the requested partitions to an entry; only the
 * last message has "complete" set */
void
az_agent_recover_received (struct az_agent_state *state,
                           uint32_t handle,
                           const struct az_recover *recover)
{
  const struct az_agent_entry *entry = az_agent_entry_get (state, handle);
  struct az_message message = { .proc = AZ_RECORDS };
  struct az_records batch = { .partitions = recover->partitions };
  size_t bytes = 0;
  GHashTableIter iter;
  void *record;

  batch.records.records_val = g_new0 (struct az_record, AZ_MAX_TASKS);
  g_hash_table_iter_init (&iter, state->records);
  while (g_hash_table_iter_next (&iter, &record, NULL))
    {
      if (!is_selected (record, recover->partitions))
        continue;
      if (batch.records.records_len == AZ_MAX_TASKS || bytes >= AZ_AGENT_BATCH_BYTES)
        {
          send_batch (state, entry, &batch, &message);
          bytes = 0;
        }
      fill_record (&batch.records.records_val[batch.records.records_len++], record);
      bytes += ((const struct az_agent_record *)record)->payload_length;
    }
  batch.complete = TRUE;
  send_batch (state, entry, &batch, &message);
  g_free (batch.records.records_val);
}
