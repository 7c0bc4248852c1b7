#include "entry/jobs.h"

/* Ids for which this entry sent a SUBMIT without seeing its answer. ANSWER names only the id, and
 * the owner may process that SUBMIT late, so a later "not run" of the id can't be relied on. */

void
az_entry_unanswered_create (struct az_entry_board *board)
{
  board->unanswered = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

void
az_entry_unanswered_add (struct az_entry_board *board, const struct az_entry_job *job)
{
  const char *service = job->request ? job->request->service : NULL;
  struct timespec expires_at = az_time_add_ms (board->now, az_entry_retention_ms (board, service));

  g_hash_table_replace (board->unanswered, g_strdup (job->id),
                        g_memdup2 (&expires_at, sizeof expires_at));
}

bool
az_entry_unanswered_has (const struct az_entry_board *board, const char *id)
{
  return g_hash_table_contains (board->unanswered, id);
}

/* After its retention an id is not run any more. */
void
az_entry_unanswered_tick (struct az_entry_board *board)
{
  GHashTableIter iter;
  void *expires_at;

  g_hash_table_iter_init (&iter, board->unanswered);
  while (g_hash_table_iter_next (&iter, NULL, &expires_at))
    if (az_time_compare (board->now, *(const struct timespec *)expires_at) >= 0)
      g_hash_table_iter_remove (&iter);
}
