#include "entry/jobs.h"

/*
 * "Not run" promises that nothing starts unless the caller submits the job again. An earlier
 * submission of the id may still be on its way through another entry, so the owner remembers the
 * attempt that it answered and refuses it and those before it. Before a first attempt there is
 * none, so most refusals leave nothing here.
 */

/* Beyond this number the oldest id is forgotten and the horizon covers it. */
#define CLOSED_MAX 50000

struct closed_id
{
  char *id;
  uint32_t partition;
  int64_t id_time_ms;
  uint32_t attempt;
  const char *code; /* a literal */
  struct timespec until;
};

static void
free_closed (void *data)
{
  struct closed_id *closed = data;

  g_free (closed->id);
  g_free (closed);
}

void
az_entry_closed_create (struct az_entry_board *board)
{
  board->closed = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_closed);
  g_queue_init (&board->closed_order);
}

void
az_entry_closed_destroy (struct az_entry_board *board)
{
  g_queue_clear (&board->closed_order);
  g_hash_table_destroy (board->closed);
}

static void
remove_oldest (struct az_entry_board *board)
{
  const struct closed_id *closed = g_queue_pop_head (&board->closed_order);

  g_hash_table_remove (board->closed, closed->id);
}

static void
make_room (struct az_entry_board *board)
{
  const struct closed_id *oldest = g_queue_peek_head (&board->closed_order);

  if (board->closed_order.length < CLOSED_MAX)
    return;
  az_entry_forget (&board->owned[oldest->partition], oldest->id_time_ms);
  remove_oldest (board);
}

void
az_entry_closed_add (struct az_entry_board *board,
                     const struct az_entry_closing *closing,
                     const char *code)
{
  struct closed_id *closed = g_hash_table_lookup (board->closed, closing->id);

  if (closing->is_first)
    return;
  if (!closed)
    {
      make_room (board);
      closed = g_new0 (struct closed_id, 1);
      closed->id = g_strdup (closing->id);
      closed->partition = closing->partition;
      closed->id_time_ms = closing->id_time_ms;
      /* By then the id is older than its retention and is not run any more. */
      closed->until = az_time_add_ms (board->now, az_entry_retention_ms (board, closing->service)
                                                      + board->settings.clock_skew_max_ms);
      g_hash_table_insert (board->closed, closed->id, closed);
      g_queue_push_tail (&board->closed_order, closed);
    }
  closed->attempt = MAX (closed->attempt, closing->attempt);
  closed->code = code;
}

const char *
az_entry_closed_code (const struct az_entry_board *board, const struct az_submit *submit)
{
  const struct closed_id *closed = g_hash_table_lookup (board->closed, submit->job);

  return closed && submit->attempt <= closed->attempt ? closed->code : NULL;
}

void
az_entry_closed_tick (struct az_entry_board *board)
{
  while (board->closed_order.length)
    {
      const struct closed_id *oldest = g_queue_peek_head (&board->closed_order);

      if (az_time_compare (board->now, oldest->until) < 0)
        return;
      remove_oldest (board);
    }
}
