#include "entry/jobs.h"

/* Estimated memory of an answered job without its results. */
#define RECORD_OVERHEAD_BYTES 512

/* Retention period for a service that is not configured. It equals the default of the policy field
 * result_retention_ms (see config/object_schema.c). */
#define RETENTION_DEFAULT_MS 60000

int64_t
az_entry_retention_ms (const struct az_entry_state *state, const char *service_name)
{
  void *index;

  if (service_name
      && g_hash_table_lookup_extended (state->service_by_name, service_name, NULL, &index))
    {
      const struct az_entry_service *service
          = az_entry_state_service (state, GPOINTER_TO_UINT (index));

      if (service->configured)
        return service->policy.result_retention_ms;
    }
  return RETENTION_DEFAULT_MS;
}

static size_t
answer_bytes (const struct az_entry_job *job)
{
  size_t bytes = RECORD_OVERHEAD_BYTES;

  for (uint32_t i = 0; i < job->answer->results.results_len; i++)
    bytes += sizeof (struct az_task_result)
             + job->answer->results.results_val[i].payload.az_payload_len;
  return bytes;
}

static int64_t
retention_of (const struct az_entry_state *state, const struct az_entry_job *job)
{
  if (job->group < state->services->len)
    return az_entry_retention_ms (state, az_entry_state_service (state, job->group)->name);
  return RETENTION_DEFAULT_MS;
}

static void
evict_oldest (struct az_entry_state *state)
{
  uint32_t handle = GPOINTER_TO_UINT (g_queue_pop_head (&state->answered));
  const struct az_entry_job *job = az_entry_state_job (state, handle);

  state->answered_bytes -= job->answer_bytes;
  az_entry_job_remove (state, handle);
}

/* Removes the oldest answer although its id may still be young enough to be run. A later submission
 * would run the job again, so the horizon is moved past the id. An id older than the retention
 * period doesn't need that, since it is refused for its age. */
static void
evict_before_expiry (struct az_entry_state *state)
{
  uint32_t handle = GPOINTER_TO_UINT (g_queue_peek_head (&state->answered));
  const struct az_entry_job *job = az_entry_state_job (state, handle);

  az_entry_raise_horizon (&state->owned[job->partition], job->id_time_ms);
  evict_oldest (state);
}

void
az_entry_retain_answer (struct az_entry_state *state, uint32_t handle)
{
  struct az_entry_job *job = az_entry_state_job (state, handle);

  job->answered = state->now;
  job->answer_bytes = answer_bytes (job);
  state->answered_bytes += job->answer_bytes;
  g_queue_push_tail (&state->answered, GUINT_TO_POINTER (handle));
  while (state->answered_bytes > state->settings.answer_bytes_max && state->answered.length > 1)
    evict_before_expiry (state);
}

/* Answers are removed in the order in which they were given. An answer with a long retention period
 * therefore delays the removal of later ones. */
void
az_entry_retention_tick (struct az_entry_state *state)
{
  while (state->answered.length)
    {
      const struct az_entry_job *job
          = az_entry_state_job (state, GPOINTER_TO_UINT (g_queue_peek_head (&state->answered)));

      if (az_time_diff_ms (state->now, job->answered) <= retention_of (state, job))
        return;
      if (state->wall_ms - job->id_time_ms <= retention_of (state, job))
        evict_before_expiry (state);
      else
        evict_oldest (state);
    }
}
