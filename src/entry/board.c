#include "entry/board.h"
#include "entry/jobs.h"
#include <string.h>

static void
free_link (void *data)
{
  struct az_entry_link *link = data;

  g_free (link->address);
  g_free (link);
}

static void
free_group (void *data)
{
  struct az_entry_group *group = data;

  g_free (group->name);
  g_array_unref (group->pools);
  az_run_time_destroy (group->run_times);
  g_queue_clear (&group->arrivals);
  g_free (group);
}

static void
free_pool (void *data)
{
  struct az_entry_pool *pool = data;

  g_free (pool->name);
  g_array_unref (pool->groups);
  g_array_unref (pool->agents);
  az_ejector_destroy (pool->ejector);
  g_free (pool);
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
create_tables (struct az_entry_board *board)
{
  board->links = g_hash_table_new_full (NULL, NULL, NULL, free_link);
  board->agents = az_table_rows_create (sizeof (struct az_entry_agent));
  board->agents_by_instance = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  board->peers = az_table_rows_create (sizeof (struct az_entry_peer));
  board->jobs = az_table_rows_create (sizeof (struct az_entry_job));
  board->jobs_by_id = g_hash_table_new (g_str_hash, g_str_equal);
  board->requests = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  az_entry_unanswered_create (board);
  az_entry_not_run_create (board);
  board->recoveries = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_recovery);
  board->store.sessions = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  board->store.missing = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  board->groups = g_ptr_array_new_with_free_func (free_group);
  board->group_by_name = g_hash_table_new (g_str_hash, g_str_equal);
  board->pools = g_ptr_array_new_with_free_func (free_pool);
  board->pool_by_name = g_hash_table_new (g_str_hash, g_str_equal);
  board->teams = g_ptr_array_new_with_free_func (free_team);
  board->team_by_name = g_hash_table_new (g_str_hash, g_str_equal);
  board->batched_agents = g_array_new (FALSE, FALSE, sizeof (uint32_t));
  board->timers = az_entry_heap_create ();
  g_queue_init (&board->answered);
  g_queue_init (&board->delayed);
}

struct az_entry_board *
az_entry_board_create (const struct az_entry_settings *settings,
                       uint64_t incarnation,
                       const struct az_clock *clock,
                       GRand *random,
                       const struct az_entry_io *io)
{
  struct az_entry_board *board = g_new0 (struct az_entry_board, 1);

  board->settings = *settings;
  board->settings.instance = g_strdup (settings->instance);
  board->settings.domain = g_strdup (settings->domain);
  board->settings.rpc_address = g_strdup (settings->rpc_address);
  board->settings.http_address = g_strdup (settings->http_address);
  board->incarnation = incarnation;
  board->clock = clock;
  board->random = random;
  board->io = *io;
  for (uint32_t i = 0; i < AZ_PARTITIONS; i++)
    {
      board->owned[i].horizon_ms = INT64_MAX;
      board->owned[i].from_ms = -1;
    }
  board->next_attempt = 1;
  create_tables (board);
  board->queue = az_team_queue_create ();
  az_entry_board_update_time (board);
  return board;
}

static void
free_agents (struct az_entry_board *board)
{
  for (uint32_t h = az_table_rows_next (board->agents, 0); h;
       h = az_table_rows_next (board->agents, h))
    {
      struct az_entry_agent *agent = az_entry_board_agent (board, h);

      g_free (agent->instance);
      g_free (agent->domain);
      g_array_unref (agent->idle);
      g_array_unref (agent->open);
      g_array_unref (agent->batch);
    }
  az_table_rows_destroy (board->agents);
}

static void
free_peers (struct az_entry_board *board)
{
  for (uint32_t h = az_table_rows_next (board->peers, 0); h;
       h = az_table_rows_next (board->peers, h))
    {
      struct az_entry_peer *peer = az_entry_board_peer (board, h);

      g_free (peer->instance);
      g_free (peer->rpc_address);
      g_hash_table_destroy (peer->claims);
    }
  az_table_rows_destroy (board->peers);
}

static void
free_jobs (struct az_entry_board *board)
{
  for (uint32_t h = az_table_rows_next (board->jobs, 0); h; h = az_table_rows_next (board->jobs, h))
    az_entry_job_clear (az_entry_board_job (board, h));
  az_table_rows_destroy (board->jobs);
}

static void
free_tables (struct az_entry_board *board)
{
  g_hash_table_destroy (board->links);
  g_hash_table_destroy (board->agents_by_instance);
  g_hash_table_destroy (board->jobs_by_id);
  g_hash_table_destroy (board->requests);
  g_hash_table_destroy (board->unanswered);
  az_entry_not_run_destroy (board);
  g_hash_table_destroy (board->recoveries);
  g_hash_table_destroy (board->store.sessions);
  g_hash_table_destroy (board->store.missing);
  g_hash_table_destroy (board->group_by_name);
  g_hash_table_destroy (board->pool_by_name);
  g_hash_table_destroy (board->team_by_name);
  g_ptr_array_unref (board->groups);
  g_ptr_array_unref (board->pools);
  g_ptr_array_unref (board->teams);
  g_array_unref (board->batched_agents);
  g_queue_clear (&board->answered);
  g_queue_clear_full (&board->delayed, g_free);
  az_entry_heap_destroy (board->timers);
}

void
az_entry_board_destroy (struct az_entry_board *board)
{
  free_agents (board);
  free_peers (board);
  free_jobs (board);
  free_tables (board);
  az_team_queue_destroy (board->queue);
  if (board->retry_budget)
    az_retry_budget_destroy (board->retry_budget);
  if (board->configuration)
    az_configuration_destroy (board->configuration);
  if (board->has_table)
    az_owner_table_clear (&board->table);
  g_free (board->document);
  g_free ((char *)board->settings.instance);
  g_free ((char *)board->settings.domain);
  g_free ((char *)board->settings.rpc_address);
  g_free ((char *)board->settings.http_address);
  g_free (board);
}

void
az_entry_board_update_time (struct az_entry_board *board)
{
  board->now = az_clock_now (board->clock);
  board->wall_ms = az_clock_wall_ms (board->clock);
}

struct az_entry_job *
az_entry_board_job (const struct az_entry_board *board, uint32_t handle)
{
  return az_table_rows_get (board->jobs, handle);
}

struct az_entry_agent *
az_entry_board_agent (const struct az_entry_board *board, uint32_t handle)
{
  return az_table_rows_get (board->agents, handle);
}

struct az_entry_peer *
az_entry_board_peer (const struct az_entry_board *board, uint32_t handle)
{
  return az_table_rows_get (board->peers, handle);
}

struct az_entry_group *
az_entry_board_group (const struct az_entry_board *board, uint32_t group)
{
  return g_ptr_array_index (board->groups, group);
}

struct az_entry_pool *
az_entry_board_pool (const struct az_entry_board *board, uint32_t pool)
{
  return g_ptr_array_index (board->pools, pool);
}

struct az_entry_team *
az_entry_board_team (const struct az_entry_board *board, uint32_t team)
{
  return g_ptr_array_index (board->teams, team);
}
