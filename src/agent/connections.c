#include "agent/board.h"
#include <string.h>

#define BACKOFF_MIN_MS 100
#define BACKOFF_MAX_MS 5000

/* An entry that leaves this many of the slow heartbeats unanswered is asked over a new
 * connection: a path that drops packets silently is not reported by TCP for minutes. */
#define SILENT_HEARTBEATS 3

struct az_agent_entry *
az_agent_entry_get (const struct az_agent_board *board, uint32_t handle)
{
  return az_table_rows_get (board->entries, handle);
}

uint32_t
az_agent_entry_by_connection (const struct az_agent_board *board, uint32_t connection)
{
  for (uint32_t handle = az_table_rows_next (board->entries, 0); handle;
       handle = az_table_rows_next (board->entries, handle))
    if (connection && az_agent_entry_get (board, handle)->connection == connection)
      return handle;
  return 0;
}

uint32_t
az_agent_entry_by_incarnation (const struct az_agent_board *board, uint64_t incarnation)
{
  for (uint32_t handle = az_table_rows_next (board->entries, 0); handle;
       handle = az_table_rows_next (board->entries, handle))
    if (incarnation && az_agent_entry_get (board, handle)->incarnation == incarnation)
      return handle;
  return 0;
}

static uint32_t
find_address (const struct az_agent_board *board, const char *address)
{
  for (uint32_t handle = az_table_rows_next (board->entries, 0); handle;
       handle = az_table_rows_next (board->entries, handle))
    if (!strcmp (az_agent_entry_get (board, handle)->address, address))
      return handle;
  return 0;
}

static void
clear_refused (void *task)
{
  g_free (((struct az_refused_task *)task)->id.job);
}

uint32_t
az_agent_entry_add (struct az_agent_board *board, const char *address)
{
  uint32_t handle = find_address (board, address);
  struct az_agent_entry *entry;
  void *row;

  if (handle)
    return handle;
  handle = az_table_rows_add (board->entries, &row);
  entry = row;
  entry->address = g_strdup (address);
  entry->results = g_ptr_array_new ();
  entry->grants = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  entry->refused = g_array_new (FALSE, TRUE, sizeof (struct az_refused_task));
  g_array_set_clear_func (entry->refused, clear_refused);
  return handle;
}

void
az_agent_entry_clear (struct az_agent_entry *entry)
{
  g_free (entry->address);
  g_ptr_array_unref (entry->results);
  g_array_unref (entry->grants);
  g_array_unref (entry->refused);
}

/* Results stay in the records and are sent again after WELCOME; a refusal that is lost here is
 * proved again by QUERY. */
static void
forget_connection (struct az_agent_board *board, uint32_t handle)
{
  struct az_agent_entry *entry = az_agent_entry_get (board, handle);

  az_agent_grants_drop_entry (board, handle);
  if (entry->incarnation)
    az_agent_origin_get (board, entry->incarnation)->gone = az_agent_now (board);
  g_ptr_array_set_size (entry->results, 0);
  g_array_set_size (entry->grants, 0);
  g_array_set_size (entry->refused, 0);
  entry->connection = 0;
  entry->incarnation = 0;
  entry->waiting = 0;
}

static void
close_connection (struct az_agent_board *board, uint32_t handle)
{
  uint32_t connection = az_agent_entry_get (board, handle)->connection;

  forget_connection (board, handle);
  if (board->io.close)
    board->io.close (board->io.context, connection);
}

/* Jitter of half of the delay keeps agents from reconnecting at the same moment. */
static void
back_off (struct az_agent_board *board, struct az_agent_entry *entry)
{
  uint32_t delay_ms = CLAMP (2 * entry->backoff_ms, BACKOFF_MIN_MS, BACKOFF_MAX_MS);
  int64_t jitter_ms = g_rand_int_range (board->random, 0, (gint32)(delay_ms / 2));

  entry->backoff_ms = delay_ms;
  entry->connecting = false;
  entry->next_attempt = az_time_add_ms (az_agent_now (board), delay_ms - jitter_ms);
}

void
az_agent_connections_replace (struct az_agent_board *board, uint32_t handle)
{
  struct az_agent_entry *entry = az_agent_entry_get (board, handle);

  close_connection (board, handle);
  entry->backoff_ms = BACKOFF_MAX_MS;
  back_off (board, entry);
}

static void
send_hello (struct az_agent_board *board, const struct az_agent_entry *entry)
{
  struct az_message message = { .proc = AZ_HELLO };
  struct az_hello *hello = &message.az_message_u.hello;

  hello->incarnation = board->incarnation;
  hello->instance = (char *)board->settings.instance;
  hello->upstream = (char *)board->settings.upstream;
  hello->domain = (char *)board->settings.domain;
  hello->slots = board->settings.slots;
  hello->revision = board->view.revision;
  hello->table_version = board->owners.table_version;
  az_agent_send (board, entry, &message);
}

void
az_agent_connections_opened (struct az_agent_board *board, uint32_t connection, const char *address)
{
  uint32_t handle = az_agent_entry_add (board, address);
  struct az_agent_entry *entry = az_agent_entry_get (board, handle);

  if (entry->connection)
    close_connection (board, handle);
  entry->connecting = false;
  entry->connection = connection;
  entry->opened = az_agent_now (board);
  entry->awaiting = true;
  entry->awaiting_since = entry->opened;
  entry->last_heartbeat = entry->opened;
  entry->last_start = (struct timespec){ 0 };
  send_hello (board, entry);
}

void
az_agent_connections_closed (struct az_agent_board *board, uint32_t connection)
{
  uint32_t handle = az_agent_entry_by_connection (board, connection);

  if (!handle)
    return;
  forget_connection (board, handle);
  back_off (board, az_agent_entry_get (board, handle));
  az_agent_grants_offer (board, 0);
}

void
az_agent_connections_unreachable (struct az_agent_board *board, const char *address)
{
  uint32_t handle = find_address (board, address);
  struct az_agent_entry *entry = az_agent_entry_get (board, handle);

  if (entry && !entry->connection)
    back_off (board, entry);
}

static bool
has_welcomed_entry (const struct az_agent_board *board)
{
  for (uint32_t handle = az_table_rows_next (board->entries, 0); handle;
       handle = az_table_rows_next (board->entries, handle))
    if (az_agent_entry_get (board, handle)->incarnation)
      return true;
  return false;
}

static void
check_silence (struct az_agent_board *board, uint32_t handle, struct timespec now)
{
  struct az_agent_entry *entry = az_agent_entry_get (board, handle);
  int64_t limit_ms = SILENT_HEARTBEATS * board->settings.heartbeat_other_ms;

  /* After a stall of this process the answers may still wait in the socket. */
  if (!entry->awaiting || az_time_diff_ms (now, entry->awaiting_since) <= limit_ms)
    return;
  if (board->stall_ms > limit_ms / 2)
    return;
  close_connection (board, handle);
  back_off (board, az_agent_entry_get (board, handle));
}

static void
tick_entry (struct az_agent_board *board, uint32_t handle, bool want_seeds)
{
  struct az_agent_entry *entry = az_agent_entry_get (board, handle);
  struct timespec now = az_agent_now (board);

  if (entry->connection)
    {
      check_silence (board, handle, now);
      return;
    }
  if (entry->connecting || az_time_compare (now, entry->next_attempt) < 0)
    return;
  if (!entry->in_roster && !entry->is_seed)
    {
      az_agent_entry_clear (entry);
      az_table_rows_remove (board->entries, handle);
      return;
    }
  if (!entry->in_roster && !want_seeds)
    return;
  entry->connecting = true;
  board->io.connect (board->io.context, entry->address);
}

void
az_agent_connections_tick (struct az_agent_board *board)
{
  bool want_seeds = !has_welcomed_entry (board);

  for (uint32_t handle = az_table_rows_next (board->entries, 0); handle;
       handle = az_table_rows_next (board->entries, handle))
    tick_entry (board, handle, want_seeds);
}
