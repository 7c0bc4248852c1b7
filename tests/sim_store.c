#include "azurerock/configuration.h"
#include "sim.h"
#include <stdlib.h>
#include <string.h>

#define SESSION_MS 5000
#define RENEW_MS 1000
#define POLL_MS 250
#define CLIENT_TIMEOUT_MS 2000

/** struct request - a read, a write or a session renewal in transit, or its answer */
struct request
{
  int node;
  uint32_t generation;
  uint64_t incarnation;
  struct timespec sent;
  char *config;
  char *owners;
  uint64_t revision;
  uint64_t index;
  GArray *sessions;
  enum az_table_write result;
};

static void
free_request (void *data)
{
  struct request *request = data;

  g_free (request->config);
  free (request->owners);
  if (request->sessions)
    g_array_unref (request->sessions);
  g_free (request);
}

static struct request *
create_request (const struct sim_node *node)
{
  struct request *request = g_new0 (struct request, 1);

  request->node = node->index;
  request->generation = node->generation;
  request->incarnation = node->incarnation;
  request->sent = az_clock_now (&node->clock);
  return request;
}

static int64_t
random_delay (struct sim *sim)
{
  return sim->store.is_slow ? sim_random_ns (sim, 50, 1500) : sim_random_ns (sim, 1, 6);
}

static bool
is_reachable (const struct sim *sim, int node)
{
  return !sim->store.is_down && sim->store_disconnected_until[node] <= sim->now;
}

static bool
loses_answer (struct sim *sim)
{
  return sim->store.loses_answers && sim_chance (sim, 0.3);
}

static void
remove_expired_sessions (struct sim *sim)
{
  GHashTableIter iter;
  void *expiry;

  g_hash_table_iter_init (&iter, sim->store.sessions);
  while (g_hash_table_iter_next (&iter, NULL, &expiry))
    if (*(int64_t *)expiry <= sim->now)
      g_hash_table_iter_remove (&iter);
}

static int
compare_incarnations (const void *a, const void *b)
{
  uint64_t first = *(const uint64_t *)a;
  uint64_t second = *(const uint64_t *)b;

  return first < second ? -1 : first > second;
}

static void
take_snapshot (struct sim *sim, struct request *request)
{
  GHashTableIter iter;
  void *incarnation;

  remove_expired_sessions (sim);
  request->config = g_strdup (sim->store.config);
  request->revision = sim->store.revision;
  request->owners = sim->store.owners ? strdup (sim->store.owners) : NULL;
  request->index = sim->store.owners_index;
  request->sessions = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  g_hash_table_iter_init (&iter, sim->store.sessions);
  while (g_hash_table_iter_next (&iter, &incarnation, NULL))
    g_array_append_vals (request->sessions, incarnation, 1);
  g_array_sort (request->sessions, compare_incarnations);
}

static void
expire_read (struct sim *sim, struct sim_node *node, void *data)
{
  (void)sim;
  (void)data;
  node->store_read_pending = false;
}

static void
receive_read_answer (struct sim *sim, struct sim_node *node, void *data)
{
  struct request *request = data;
  struct az_store_reading reading = { .sent = request->sent };

  (void)sim;
  node->store_read_pending = false;
  if (request->config && request->revision != node->last_read_revision)
    reading.config = request->config;
  reading.config_length = reading.config ? strlen (reading.config) : 0;
  reading.config_absent = !request->config;
  if (request->owners && request->index != node->last_read_owners_index)
    reading.owners = request->owners;
  reading.owners_length = reading.owners ? strlen (reading.owners) : 0;
  node->last_read_revision = request->revision;
  node->last_read_owners_index = request->index;
  reading.owners_absent = !request->owners;
  reading.owners_index = request->index;
  reading.sessions = (const uint64_t *)(void *)request->sessions->data;
  reading.n_sessions = request->sessions->len;
  az_entry_core_store_read (node->entry, &reading);
}

static void
read_at_store (struct sim *sim, struct sim_node *no_node, void *data)
{
  struct request *request = data;
  struct sim_node *node = &sim->nodes[request->node];
  struct request *answer;

  (void)no_node;
  if (!is_reachable (sim, request->node) || loses_answer (sim)
      || node->generation != request->generation)
    return;
  answer = g_memdup2 (request, sizeof *request);
  take_snapshot (sim, answer);
  sim_schedule (sim, sim->now + random_delay (sim), node, receive_read_answer, answer,
                free_request);
}

static void
poll_store (struct sim *sim, struct sim_node *node, void *data)
{
  (void)data;
  sim_schedule (sim, sim->now + sim_random_ns (sim, POLL_MS / 2, POLL_MS), node, poll_store, NULL,
                NULL);
  if (node->store_read_pending)
    return;
  node->store_read_pending = true;
  sim_schedule (sim, sim->now + random_delay (sim), NULL, read_at_store, create_request (node),
                free_request);
  sim_schedule (sim, sim->now + CLIENT_TIMEOUT_MS * SIM_MS, node, expire_read, NULL, NULL);
}

static void
renew_session_at_store (struct sim *sim, struct sim_node *no_node, void *data)
{
  const struct request *request = data;
  int64_t expiry = sim->now + SESSION_MS * SIM_MS;

  (void)no_node;
  if (is_reachable (sim, request->node))
    g_hash_table_replace (sim->store.sessions, g_memdup2 (&request->incarnation, sizeof (uint64_t)),
                          g_memdup2 (&expiry, sizeof expiry));
}

static void
renew_session (struct sim *sim, struct sim_node *node, void *data)
{
  (void)data;
  sim_schedule (sim, sim->now + RENEW_MS * SIM_MS, node, renew_session, NULL, NULL);
  sim_schedule (sim, sim->now + random_delay (sim), NULL, renew_session_at_store,
                create_request (node), free_request);
}

void
sim_store_attach (struct sim *sim, struct sim_node *node)
{
  node->store_read_pending = false;
  node->last_read_revision = 0;
  node->last_read_owners_index = 0;
  sim_schedule (sim, sim->now, node, renew_session, NULL, NULL);
  sim_schedule (sim, sim->now + sim_random_ns (sim, 0, 20), node, poll_store, NULL, NULL);
}

static void
receive_write_answer (struct sim *sim, struct sim_node *node, void *data)
{
  const struct request *request = data;

  (void)sim;
  az_entry_core_table_written (node->entry, request->result, request->index);
}

static void
send_write_answer (struct sim *sim, struct request *request, enum az_table_write result)
{
  struct sim_node *node = &sim->nodes[request->node];
  struct request *answer;
  int64_t after = random_delay (sim);

  if (node->generation != request->generation)
    return;
  answer = create_request (node);
  if (result == AZ_TABLE_WRITE_UNKNOWN || loses_answer (sim))
    {
      result = AZ_TABLE_WRITE_UNKNOWN;
      after = sim_random_ns (sim, 100, 2000);
    }
  answer->result = result;
  answer->index = sim->store.owners_index;
  sim_schedule (sim, sim->now + after, node, receive_write_answer, answer, free_request);
}

static void
write_at_store (struct sim *sim, struct sim_node *no_node, void *data)
{
  struct request *request = data;

  (void)no_node;
  if (!is_reachable (sim, request->node))
    {
      send_write_answer (sim, request, AZ_TABLE_WRITE_UNKNOWN);
      return;
    }
  if (request->index != sim->store.owners_index)
    {
      send_write_answer (sim, request, AZ_TABLE_WRITE_CONFLICT);
      return;
    }
  sim_trace (sim, "table written by %d: %s", request->node, request->owners);
  free (sim->store.owners);
  sim->store.owners = strdup (request->owners);
  sim->store.owners_index += 7;
  az_owner_table_clear (&sim->store.table);
  g_assert_true (az_owner_table_parse (sim->store.owners, strlen (sim->store.owners),
                                       &sim->store.table, NULL));
  send_write_answer (sim, request, AZ_TABLE_WRITE_OK);
}

void
sim_store_write_table (struct sim *sim,
                       struct sim_node *node,
                       const struct az_table *table,
                       uint64_t expected_index)
{
  struct request *request = create_request (node);

  request->owners = az_owner_table_format (table);
  request->index = expected_index;
  sim_schedule (sim, sim->now + random_delay (sim), NULL, write_at_store, request, free_request);
}

void
sim_store_create (struct sim *sim)
{
  sim->store.sessions = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
}

void
sim_store_destroy (struct sim *sim)
{
  g_hash_table_destroy (sim->store.sessions);
  g_free (sim->store.config);
  az_owner_table_clear (&sim->store.table);
  free (sim->store.owners);
}
