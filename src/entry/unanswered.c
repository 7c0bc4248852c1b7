#include "entry/jobs.h"

/* Ids of forwarded jobs for which a SUBMIT was sent and no ANSWER was received. The owner may
 * process that SUBMIT late. Since ANSWER holds only the id, a "not run" for a later submission may
 * belong to the earlier one and is passed on to the caller as "unknown". */

void
az_entry_unanswered_submits_create (struct az_entry_state *state)
{
  state->unanswered = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

void
az_entry_unanswered_submits_add (struct az_entry_state *state, const struct az_entry_job *job)
{
  const char *service = job->request ? job->request->service : NULL;
  struct timespec expires_at = az_time_add_ms (state->now, az_entry_retention_ms (state, service));

  g_hash_table_replace (state->unanswered, g_strdup (job->id),
                        g_memdup2 (&expires_at, sizeof expires_at));
}

bool
az_entry_has_unanswered_submit (const struct az_entry_state *state, const char *id)
{
  return g_hash_table_contains (state->unanswered, id);
}

/* A row is removed after the retention period, since an id of that age is refused. */
void
az_entry_unanswered_submits_tick (struct az_entry_state *state)
{
  GHashTableIter iter;
  void *expires_at;

  g_hash_table_iter_init (&iter, state->unanswered);
  while (g_hash_table_iter_next (&iter, NULL, &expires_at))
    if (az_time_compare (state->now, *(const struct timespec *)expires_at) >= 0)
      g_hash_table_iter_remove (&iter);
}
