#include "entry/jobs.h"

/*
 * Jobs that were answered "not run". The answer promises that no task starts unless the caller
 * submits the job again. An earlier submission of the same id may still be on its way through
 * another entry, so the owner keeps the attempt number of the answered submission and refuses
 * submissions up to that number. Nothing is kept for the caller's first submission, since there is
 * no earlier one.
 */

/* Maximum number of these ids. Beyond it, the oldest id is removed, and the horizon is moved past
 * the id so that its job is not run. */
#define NOT_RUN_MAX 50000

struct not_run_id
{
  char *id;
  uint32_t partition;
  int64_t id_time_ms;
  uint32_t attempt;
  const char *code; /* a string literal */
  struct timespec expires_at;
};

static void
free_not_run (void *data)
{
  struct not_run_id *not_run = data;

  g_free (not_run->id);
  g_free (not_run);
}

void
az_entry_not_run_create (struct az_entry_state *state)
{
  state->not_run = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_not_run);
  g_queue_init (&state->not_run_order);
}

void
az_entry_not_run_destroy (struct az_entry_state *state)
{
  g_queue_clear (&state->not_run_order);
  g_hash_table_destroy (state->not_run);
}

static void
remove_oldest (struct az_entry_state *state)
{
  const struct not_run_id *not_run = g_queue_pop_head (&state->not_run_order);

  g_hash_table_remove (state->not_run, not_run->id);
}

static void
remove_oldest_if_full (struct az_entry_state *state)
{
  const struct not_run_id *oldest = g_queue_peek_head (&state->not_run_order);

  if (state->not_run_order.length < NOT_RUN_MAX)
    return;
  az_entry_raise_horizon (&state->owned[oldest->partition], oldest->id_time_ms);
  remove_oldest (state);
}

void
az_entry_not_run_add (struct az_entry_state *state,
                      const struct az_entry_not_run_job *job,
                      const char *code)
{
  struct not_run_id *not_run = g_hash_table_lookup (state->not_run, job->id);

  if (job->is_first_attempt)
    return;
  if (!not_run)
    {
      remove_oldest_if_full (state);
      not_run = g_new0 (struct not_run_id, 1);
      not_run->id = g_strdup (job->id);
      not_run->partition = job->partition;
      not_run->id_time_ms = job->id_time_ms;
      /* When this row expires, the id is older than the retention period and is refused for its
       * age. */
      not_run->expires_at = az_time_add_ms (state->now, az_entry_retention_ms (state, job->service)
                                                            + state->settings.clock_skew_max_ms);
      g_hash_table_insert (state->not_run, not_run->id, not_run);
      g_queue_push_tail (&state->not_run_order, not_run);
    }
  not_run->attempt = MAX (not_run->attempt, job->attempt);
  not_run->code = code;
}

const char *
az_entry_not_run_code (const struct az_entry_state *state, const struct az_submit *submit)
{
  const struct not_run_id *not_run = g_hash_table_lookup (state->not_run, submit->job);

  return not_run && submit->attempt <= not_run->attempt ? not_run->code : NULL;
}

void
az_entry_not_run_tick (struct az_entry_state *state)
{
  while (state->not_run_order.length)
    {
      const struct not_run_id *oldest = g_queue_peek_head (&state->not_run_order);

      if (az_time_compare (state->now, oldest->expires_at) < 0)
        return;
      remove_oldest (state);
    }
}
