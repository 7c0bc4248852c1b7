#include "agent/state.h"
#include <string.h>

#define BACKOFF_MIN_MS 100
#define BACKOFF_MAX_MS 5000

/* A connection without any reply for this many of the longer heartbeat intervals is replaced: TCP
 * takes minutes to report a path that drops all packets. */
#define UNANSWERED_HEARTBEATS_MAX 3

struct az_agent_entry *
az_agent_entry_get (const struct az_agent_state *state, uint32_t handle)
{
  return az_table_rows_get (state->entries, handle);
}

uint32_t
az_agent_entry_by_connection (const struct az_agent_state *state, uint32_t connection)
{
  for (uint32_t handle = az_table_rows_next (state->entries, 0); handle;
       handle = az_table_rows_next (state->entries, handle))
    if (connection && az_agent_entry_get (state, handle)->connection == connection)
      return handle;
  return 0;
}

uint32_t
az_agent_entry_by_incarnation (const struct az_agent_state *state, uint64_t incarnation)
{
  for (uint32_t handle = az_table_rows_next (state->entries, 0); handle;
       handle = az_table_rows_next (state->entries, handle))
    if (incarnation && az_agent_entry_get (state, handle)->incarnation == incarnation)
      return handle;
  return 0;
}

static uint32_t
find_address (const struct az_agent_state *state, const char *address)
{
  for (uint32_t handle = az_table_rows_next (state->entries, 0); handle;
       handle = az_table_rows_next (state->entries, handle))
    if (!strcmp (az_agent_entry_get (state, handle)->address, address))
      return handle;
  return 0;
}

static void
clear_refused (void *task)
{
  g_free (((struct az_refused_task *)task)->id.job);
}

uint32_t
az_agent_entry_add (struct az_agent_state *state, const char *address)
{
  uint32_t handle = find_address (state, address);
  struct az_agent_entry *entry;
  void *row;

  if (handle)
    return handle;
  handle = az_table_rows_add (state->entries, &row);
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

/* Discards pending messages. Results stay in the records and are sent again after the next WELCOME,
 * and the entry learns by QUERY that a refused attempt has not started. */
static void
reset_connection (struct az_agent_state *state, uint32_t handle)
{
  struct az_agent_entry *entry = az_agent_entry_get (state, handle);

  az_agent_grants_remove_by_entry (state, handle);
  if (entry->incarnation)
    az_agent_origin_get (state, entry->incarnation)->disconnected_at = az_agent_now (state);
  g_ptr_array_set_size (entry->results, 0);
  g_array_set_size (entry->grants, 0);
  g_array_set_size (entry->refused, 0);
  entry->connection = 0;
  entry->incarnation = 0;
  entry->waiting = 0;
}

static void
close_connection (struct az_agent_state *state, uint32_t handle)
{
  uint32_t connection = az_agent_entry_get (state, handle)->connection;

  reset_connection (state, handle);
  if (state->io.close)
    state->io.close (state->io.context, connection);
}

/* Uses exponential back-off with a jitter of up to half of the delay, which keeps agents from
 * reconnecting at the same time. */
static void
schedule_reconnect (struct az_agent_state *state, struct az_agent_entry *entry)
{
  uint32_t delay_ms = CLAMP (2 * entry->backoff_ms, BACKOFF_MIN_MS, BACKOFF_MAX_MS);
  int64_t jitter_ms = g_rand_int_range (state->random, 0, (gint32)(delay_ms / 2));

  entry->backoff_ms = delay_ms;
  entry->connecting = false;
  entry->next_connect_at = az_time_add_ms (az_agent_now (state), delay_ms - jitter_ms);
}

void
az_agent_connections_disconnect (struct az_agent_state *state, uint32_t handle)
{
  struct az_agent_entry *entry = az_agent_entry_get (state, handle);

  close_connection (state, handle);
  entry->backoff_ms = BACKOFF_MAX_MS;
  schedule_reconnect (state, entry);
}

static void
send_hello (struct az_agent_state *state, const struct az_agent_entry *entry)
{
  struct az_message message = { .proc = AZ_HELLO };
  struct az_hello *hello = &message.az_message_u.hello;

  hello->incarnation = state->incarnation;
  hello->instance = (char *)state->settings.instance;
  hello->upstream = (char *)state->settings.upstream;
  hello->domain = (char *)state->settings.domain;
  hello->slots = state->settings.slots;
  hello->revision = state->view.revision;
  hello->table_version = state->owner_table.table_version;
  az_agent_send (state, entry, &message);
}

void
az_agent_connections_opened (struct az_agent_state *state, uint32_t connection, const char *address)
{
  uint32_t handle = az_agent_entry_add (state, address);
  struct az_agent_entry *entry = az_agent_entry_get (state, handle);

  if (entry->connection)
    close_connection (state, handle);
  entry->connecting = false;
  entry->connection = connection;
  entry->opened_at = az_agent_now (state);
  entry->is_awaiting_reply = true;
  entry->awaiting_reply_since = entry->opened_at;
  entry->last_heartbeat_at = entry->opened_at;
  entry->last_start_at = (struct timespec){ 0 };
  send_hello (state, entry);
}

void
az_agent_connections_closed (struct az_agent_state *state, uint32_t connection)
{
  uint32_t handle = az_agent_entry_by_connection (state, connection);

  if (!handle)
    return;
  reset_connection (state, handle);
  schedule_reconnect (state, az_agent_entry_get (state, handle));
  az_agent_grants_issue (state, 0);
}

void
az_agent_connections_connect_failed (struct az_agent_state *state, const char *address)
{
  uint32_t handle = find_address (state, address);
  struct az_agent_entry *entry = az_agent_entry_get (state, handle);

  if (entry && !entry->connection)
    schedule_reconnect (state, entry);
}

static bool
has_welcomed_entry (const struct az_agent_state *state)
{
  for (uint32_t handle = az_table_rows_next (state->entries, 0); handle;
       handle = az_table_rows_next (state->entries, handle))
    if (az_agent_entry_get (state, handle)->incarnation)
      return true;
  return false;
}

static void
close_if_unresponsive (struct az_agent_state *state, uint32_t handle, struct timespec now)
{
  struct az_agent_entry *entry = az_agent_entry_get (state, handle);
  int64_t limit_ms = UNANSWERED_HEARTBEATS_MAX * state->settings.heartbeat_long_interval_ms;

  /* If this process was stopped, replies may still be unread in the socket. */
  if (!entry->is_awaiting_reply || az_time_diff_ms (now, entry->awaiting_reply_since) <= limit_ms)
    return;
  if (state->tick_gap_ms > limit_ms / 2)
    return;
  close_connection (state, handle);
  schedule_reconnect (state, az_agent_entry_get (state, handle));
}

static void
update_connection (struct az_agent_state *state, uint32_t handle, bool use_seeds)
{
  struct az_agent_entry *entry = az_agent_entry_get (state, handle);
  struct timespec now = az_agent_now (state);

  if (entry->connection)
    {
      close_if_unresponsive (state, handle, now);
      return;
    }
  if (entry->connecting || az_time_compare (now, entry->next_connect_at) < 0)
    return;
  if (!entry->in_roster && !entry->is_seed)
    {
      az_agent_entry_clear (entry);
      az_table_rows_remove (state->entries, handle);
      return;
    }
  if (!entry->in_roster && !use_seeds)
    return;
  entry->connecting = true;
  state->io.connect (state->io.context, entry->address);
}

void
az_agent_connections_tick (struct az_agent_state *state)
{
  bool use_seeds = !has_welcomed_entry (state);

  for (uint32_t handle = az_table_rows_next (state->entries, 0); handle;
       handle = az_table_rows_next (state->entries, handle))
    update_connection (state, handle, use_seeds);
}
