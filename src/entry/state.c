#include "entry/state.h"
#include "entry/jobs.h"
#include <string.h>

static void
free_connection (void *data)
{
  struct az_entry_connection *row = data;

  g_free (row->address);
  g_free (row);
}

static void
free_service (void *data)
{
  struct az_entry_service *service = data;

  g_free (service->name);
  g_array_unref (service->upstream_indexes);
  az_run_time_destroy (service->run_times);
  g_queue_clear (&service->arrivals);
  g_free (service);
}

static void
free_upstream (void *data)
{
  struct az_entry_upstream *upstream = data;

  g_free (upstream->name);
  g_array_unref (upstream->service_indexes);
  g_array_unref (upstream->agents);
  az_ejector_destroy (upstream->ejector);
  g_free (upstream);
}

static void
free_team (void *data)
{
  struct az_entry_team *team = data;

  g_free (team->name);
  g_hash_table_destroy (team->services);
  g_free (team);
}

static void
free_recovery (void *data)
{
  struct az_entry_recovery *recovery = data;

  for (uint32_t i = 0; i < recovery->n_tasks; i++)
    g_free (recovery->tasks[i].result.az_payload_val);
  g_free (recovery->tasks);
  g_free (recovery);
}

static void
create_tables (struct az_entry_state *state)
{
  state->connections = g_hash_table_new_full (NULL, NULL, NULL, free_connection);
  state->agents = az_table_rows_create (sizeof (struct az_entry_agent));
  state->agents_by_instance = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  state->peers = az_table_rows_create (sizeof (struct az_entry_peer));
  state->jobs = az_table_rows_create (sizeof (struct az_entry_job));
  state->jobs_by_id = g_hash_table_new (g_str_hash, g_str_equal);
  state->requests = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  az_entry_unanswered_submits_create (state);
  az_entry_not_run_create (state);
  state->recoveries = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_recovery);
  state->store.sessions = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  state->store.session_lost_at
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  state->services = g_ptr_array_new_with_free_func (free_service);
  state->service_by_name = g_hash_table_new (g_str_hash, g_str_equal);
  state->upstreams = g_ptr_array_new_with_free_func (free_upstream);
  state->upstream_by_name = g_hash_table_new (g_str_hash, g_str_equal);
  state->teams = g_ptr_array_new_with_free_func (free_team);
  state->team_by_name = g_hash_table_new (g_str_hash, g_str_equal);
  state->batched_agents = g_array_new (FALSE, FALSE, sizeof (uint32_t));
  state->timers = az_entry_timers_create ();
  g_queue_init (&state->answered);
  g_queue_init (&state->delayed);
}

struct az_entry_state *
az_entry_state_create (const struct az_entry_settings *settings,
                       uint64_t incarnation,
                       const struct az_clock *clock,
                       GRand *random,
                       const struct az_entry_io *io)
{
  struct az_entry_state *state = g_new0 (struct az_entry_state, 1);

  state->settings = *settings;
  state->settings.instance = g_strdup (settings->instance);
  state->settings.domain = g_strdup (settings->domain);
  state->settings.rpc_address = g_strdup (settings->rpc_address);
  state->settings.http_address = g_strdup (settings->http_address);
  state->incarnation = incarnation;
  state->clock = clock;
  state->random = random;
  state->io = *io;
  for (uint32_t i = 0; i < AZ_PARTITIONS; i++)
    {
      state->owned[i].horizon_ms = INT64_MAX;
      state->owned[i].from_ms = -1;
    }
  state->next_attempt = 1;
  create_tables (state);
  state->queue = az_team_queue_create ();
  az_entry_state_update_time (state);
  return state;
}

static void
free_agents (struct az_entry_state *state)
{
  for (uint32_t h = az_table_rows_next (state->agents, 0); h;
       h = az_table_rows_next (state->agents, h))
    {
      struct az_entry_agent *agent = az_entry_state_agent (state, h);

      g_free (agent->instance);
      g_free (agent->domain);
      g_array_unref (agent->idle_grants);
      g_array_unref (agent->open);
      g_array_unref (agent->batch);
    }
  az_table_rows_destroy (state->agents);
}

static void
free_peers (struct az_entry_state *state)
{
  for (uint32_t h = az_table_rows_next (state->peers, 0); h;
       h = az_table_rows_next (state->peers, h))
    {
      struct az_entry_peer *peer = az_entry_state_peer (state, h);

      g_free (peer->instance);
      g_free (peer->rpc_address);
      g_hash_table_destroy (peer->claims);
    }
  az_table_rows_destroy (state->peers);
}

static void
free_jobs (struct az_entry_state *state)
{
  for (uint32_t h = az_table_rows_next (state->jobs, 0); h; h = az_table_rows_next (state->jobs, h))
    az_entry_job_clear (az_entry_state_job (state, h));
  az_table_rows_destroy (state->jobs);
}

static void
free_tables (struct az_entry_state *state)
{
  g_hash_table_destroy (state->connections);
  g_hash_table_destroy (state->agents_by_instance);
  g_hash_table_destroy (state->jobs_by_id);
  g_hash_table_destroy (state->requests);
  g_hash_table_destroy (state->unanswered);
  az_entry_not_run_destroy (state);
  g_hash_table_destroy (state->recoveries);
  g_hash_table_destroy (state->store.sessions);
  g_hash_table_destroy (state->store.session_lost_at);
  g_hash_table_destroy (state->service_by_name);
  g_hash_table_destroy (state->upstream_by_name);
  g_hash_table_destroy (state->team_by_name);
  g_ptr_array_unref (state->services);
  g_ptr_array_unref (state->upstreams);
  g_ptr_array_unref (state->teams);
  g_array_unref (state->batched_agents);
  g_queue_clear (&state->answered);
  g_queue_clear_full (&state->delayed, g_free);
  az_entry_timers_destroy (state->timers);
}

void
az_entry_state_destroy (struct az_entry_state *state)
{
  free_agents (state);
  free_peers (state);
  free_jobs (state);
  free_tables (state);
  az_team_queue_destroy (state->queue);
  if (state->retry_budget)
    az_retry_budget_destroy (state->retry_budget);
  if (state->configuration)
    az_configuration_destroy (state->configuration);
  if (state->has_table)
    az_owner_table_clear (&state->table);
  g_free (state->document);
  g_free ((char *)state->settings.instance);
  g_free ((char *)state->settings.domain);
  g_free ((char *)state->settings.rpc_address);
  g_free ((char *)state->settings.http_address);
  g_free (state);
}

void
az_entry_state_update_time (struct az_entry_state *state)
{
  state->now = az_clock_now (state->clock);
  state->wall_ms = az_clock_wall_ms (state->clock);
}

struct az_entry_job *
az_entry_state_job (const struct az_entry_state *state, uint32_t handle)
{
  return az_table_rows_get (state->jobs, handle);
}

struct az_entry_agent *
az_entry_state_agent (const struct az_entry_state *state, uint32_t handle)
{
  return az_table_rows_get (state->agents, handle);
}

struct az_entry_peer *
az_entry_state_peer (const struct az_entry_state *state, uint32_t handle)
{
  return az_table_rows_get (state->peers, handle);
}

struct az_entry_service *
az_entry_state_service (const struct az_entry_state *state, uint32_t service)
{
  return g_ptr_array_index (state->services, service);
}

struct az_entry_upstream *
az_entry_state_upstream (const struct az_entry_state *state, uint32_t upstream)
{
  return g_ptr_array_index (state->upstreams, upstream);
}

struct az_entry_team *
az_entry_state_team (const struct az_entry_state *state, uint32_t team)
{
  return g_ptr_array_index (state->teams, team);
}
