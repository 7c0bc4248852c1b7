#include "entry/jobs.h"

/* Ids of forwarded jobs for which a SUBMIT was sent and no ANSWER was received. The owner may
 * process that SUBMIT late. Since ANSWER holds only the id, a later "not run" may belong to either
 * submission and is passed on to the caller as "unknown". */

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

/* A row is removed after the retention period, since an id of that age is refused. */
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
