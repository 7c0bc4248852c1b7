#include "azurerock/log.h"
#include "entry/cluster.h"
#include "entry/jobs.h"
#include "entry/send.h"
#include <string.h>

/* Delay before the next attempt to connect to a peer. */
#define RECONNECT_DELAY_MS 500

struct az_entry_peer *
az_entry_peer_find (const struct az_entry_state *state, uint64_t incarnation)
{
  for (uint32_t h = az_table_rows_next (state->peers, 0); h;
       h = az_table_rows_next (state->peers, h))
    {
      struct az_entry_peer *peer = az_entry_state_peer (state, h);

      if (peer->incarnation == incarnation)
        return peer;
    }
  return NULL;
}

static struct az_entry_peer *
add_peer (struct az_entry_state *state, uint64_t incarnation, const char *instance)
{
  struct az_entry_peer *peer;
  void *row;
  uint32_t handle = az_table_rows_add (state->peers, &row);

  peer = row;
  peer->handle = handle;
  peer->incarnation = incarnation;
  peer->instance = g_strdup (instance);
  peer->retry_at = state->now;
  peer->claims = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  return peer;
}

static void
remove_peer (struct az_entry_state *state, struct az_entry_peer *peer)
{
  g_free (peer->instance);
  g_free (peer->rpc_address);
  g_hash_table_destroy (peer->claims);
  az_table_rows_remove (state->peers, peer->handle);
}

static void
update_member (struct az_entry_state *state, const struct az_roster_entry *member)
{
  struct az_entry_peer *peer = az_entry_peer_find (state, member->incarnation);

  if (member->incarnation == state->incarnation)
    return;
  if (!peer)
    peer = add_peer (state, member->incarnation, member->instance);
  peer->in_roster = true;
  g_free (peer->rpc_address);
  peer->rpc_address = g_strdup (member->rpc_address);
}

void
az_entry_peers_update (struct az_entry_state *state)
{
  uint32_t next;

  for (uint32_t h = az_table_rows_next (state->peers, 0); h;
       h = az_table_rows_next (state->peers, h))
    az_entry_state_peer (state, h)->in_roster = false;
  for (uint32_t i = 0; i < state->table.roster.roster_len; i++)
    update_member (state, &state->table.roster.roster_val[i]);
  for (uint32_t h = az_table_rows_next (state->peers, 0); h; h = next)
    {
      struct az_entry_peer *peer = az_entry_state_peer (state, h);

      next = az_table_rows_next (state->peers, h);
      if (!peer->in_roster && !peer->connection)
        remove_peer (state, peer);
    }
}

static void
send_hello (struct az_entry_state *state, uint32_t connection)
{
  struct az_message message = { .proc = AZ_PEER_HELLO };

  message.az_message_u.peer_hello.incarnation = state->incarnation;
  message.az_message_u.peer_hello.instance = (char *)state->settings.instance;
  az_entry_send (state, connection, &message);
}

void
az_entry_peer_opened (struct az_entry_state *state, uint32_t connection)
{
  send_hello (state, connection);
}

static void
send_state (struct az_entry_state *state, const struct az_entry_peer *peer);

const char *
az_entry_handle_peer_hello (struct az_entry_state *state,
                            uint32_t connection,
                            const struct az_peer_hello *hello)
{
  struct az_entry_connection *row
      = g_hash_table_lookup (state->connections, GUINT_TO_POINTER (connection));
  struct az_entry_peer *peer = az_entry_peer_find (state, hello->incarnation);

  if (row->kind != AZ_ENTRY_CONNECTION_NEW)
    return "PEER_HELLO on an identified connection";
  if (hello->incarnation == state->incarnation)
    return "PEER_HELLO with this entry's own incarnation";
  if (!peer)
    peer = add_peer (state, hello->incarnation, hello->instance);
  /* If two entries connect to each other at once, both connections carry messages. Each message
   * is idempotent or is ordered by its own fields. */
  row->kind = AZ_ENTRY_CONNECTION_PEER;
  row->handle = peer->handle;
  peer->connection = connection;
  peer->connecting = false;
  peer->sent_revision = 0;
  peer->sent_table_version = 0;
  if (!row->outgoing)
    send_hello (state, connection);
  send_state (state, peer);
  az_entry_forward_all (state, peer->incarnation);
  return NULL;
}

void
az_entry_peer_closed (struct az_entry_state *state, uint32_t handle, uint32_t connection)
{
  struct az_entry_peer *peer = az_entry_state_peer (state, handle);

  if (!peer || peer->connection != connection)
    return;
  peer->connection = 0;
  peer->connecting = false;
  peer->retry_at = az_time_add_ms (state->now, RECONNECT_DELAY_MS);
  if (!peer->in_roster)
    remove_peer (state, peer);
}

void
az_entry_peer_unreachable (struct az_entry_state *state, const char *address)
{
  for (uint32_t h = az_table_rows_next (state->peers, 0); h;
       h = az_table_rows_next (state->peers, h))
    {
      struct az_entry_peer *peer = az_entry_state_peer (state, h);

      if (peer->connection || !peer->rpc_address || strcmp (peer->rpc_address, address) != 0)
        continue;
      peer->connecting = false;
      peer->retry_at = az_time_add_ms (state->now, RECONNECT_DELAY_MS);
    }
}

static void
fill_claims (const struct az_entry_state *state, struct az_peer_state *body)
{
  uint32_t count = MIN (state->teams->len, AZ_MAX_TEAMS);

  body->claims.claims_val = g_new0 (struct az_team_claim, count);
  for (uint32_t i = 0; i < count; i++)
    {
      const struct az_entry_team *team = az_entry_state_team (state, i);
      struct az_team_claim *claim = &body->claims.claims_val[body->claims.claims_len];

      if (!team->configured)
        continue;
      claim->team = team->name;
      claim->claim = team->claim;
      claim->running = az_team_queue_running (state->queue, i);
      claim->waiting = az_team_queue_waiting (state->queue, i);
      body->claims.claims_len++;
    }
}

static void
send_state (struct az_entry_state *state, const struct az_entry_peer *peer)
{
  struct az_message message = { .proc = AZ_PEER_STATE };
  struct az_peer_state *body = &message.az_message_u.peer_state;

  body->sent_ns = (u_quad_t)az_time_to_ns (state->now);
  body->revision = state->revision;
  body->table_version = state->table.table_version;
  body->restored = state->restored;
  fill_claims (state, body);
  az_entry_send (state, peer->connection, &message);
  g_free (body->claims.claims_val);
}

/* Of two members the one with the lower incarnation connects. An entry that is not in the roster
 * yet is unknown to the members and connects to all of them: it needs their reports to join. */
static bool
is_initiator (const struct az_entry_state *state, const struct az_entry_peer *peer)
{
  return state->incarnation < peer->incarnation
         || !az_owner_table_has_member (&state->table, state->incarnation);
}

static void
connect_peer (struct az_entry_state *state, struct az_entry_peer *peer)
{
  if (peer->connection || peer->connecting || !peer->in_roster || !is_initiator (state, peer)
      || az_time_compare (state->now, peer->retry_at) < 0)
    return;
  peer->connecting = true;
  state->io.connect (state->io.context, peer->rpc_address);
}

void
az_entry_peers_tick (struct az_entry_state *state)
{
  bool is_due = az_time_compare (state->now, state->next_exchange) >= 0;

  if (is_due)
    {
      state->next_exchange = az_time_add_ms (state->now, state->settings.peer_exchange_ms);
      az_entry_quota_update (state, true);
    }
  for (uint32_t h = az_table_rows_next (state->peers, 0); h;
       h = az_table_rows_next (state->peers, h))
    {
      struct az_entry_peer *peer = az_entry_state_peer (state, h);

      connect_peer (state, peer);
      if (is_due && peer->connection)
        send_state (state, peer);
    }
}
