#include "entry/jobs.h"

/* Estimated memory of an answered job without its results. */
#define RECORD_OVERHEAD_BYTES 512

/* Applies to a service that is not configured; equals the default of the policy. */
#define RETENTION_DEFAULT_MS 60000

int64_t
az_entry_retention_ms (const struct az_entry_board *board, const char *service)
{
  void *index;

  if (service && g_hash_table_lookup_extended (board->group_by_name, service, NULL, &index))
    {
      const struct az_entry_group *group = az_entry_board_group (board, GPOINTER_TO_UINT (index));

      if (group->configured)
        return group->policy.result_retention_ms;
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
retention_of (const struct az_entry_board *board, const struct az_entry_job *job)
{
  if (job->group < board->groups->len)
    return az_entry_retention_ms (board, az_entry_board_group (board, job->group)->name);
  return RETENTION_DEFAULT_MS;
}

static void
evict_oldest (struct az_entry_board *board)
{
  uint32_t handle = GPOINTER_TO_UINT (g_queue_pop_head (&board->answered));
  const struct az_entry_job *job = az_entry_board_job (board, handle);

  board->answered_bytes -= job->answer_bytes;
  az_entry_job_remove (board, handle);
}

/* Removes the oldest answer although its id may still be young enough to be run. A later submission
 * would run the job again, so the horizon is moved past the id. An id older than the retention
 * period doesn't need that, since it is refused for its age. */
static void
evict_before_expiry (struct az_entry_board *board)
{
  uint32_t handle = GPOINTER_TO_UINT (g_queue_peek_head (&board->answered));
  const struct az_entry_job *job = az_entry_board_job (board, handle);

  az_entry_forget (&board->owned[job->partition], job->id_time_ms);
  evict_oldest (board);
}

void
az_entry_retain_answer (struct az_entry_board *board, uint32_t handle)
{
  struct az_entry_job *job = az_entry_board_job (board, handle);

  job->answered = board->now;
  job->answer_bytes = answer_bytes (job);
  board->answered_bytes += job->answer_bytes;
  g_queue_push_tail (&board->answered, GUINT_TO_POINTER (handle));
  while (board->answered_bytes > board->settings.answer_bytes_max && board->answered.length > 1)
    evict_before_expiry (board);
}

/* Answers are removed in the order in which they were given. An answer with a long retention period
 * therefore delays the removal of later ones. */
void
az_entry_retention_tick (struct az_entry_board *board)
{
  while (board->answered.length)
    {
      const struct az_entry_job *job
          = az_entry_board_job (board, GPOINTER_TO_UINT (g_queue_peek_head (&board->answered)));

      if (az_time_diff_ms (board->now, job->answered) <= retention_of (board, job))
        return;
      if (board->wall_ms - job->id_time_ms <= retention_of (board, job))
        evict_before_expiry (board);
      else
        evict_oldest (board);
    }
}
