#include "entry/agents.h"

uint32_t
az_entry_group_of (struct az_entry_board *board, const char *service)
{
  struct az_entry_group *group;
  void *index;

  if (g_hash_table_lookup_extended (board->group_by_name, service, NULL, &index))
    return GPOINTER_TO_UINT (index);
  group = g_new0 (struct az_entry_group, 1);
  group->name = g_strdup (service);
  group->pools = g_array_new (FALSE, FALSE, sizeof (uint32_t));
  group->run_times = az_run_time_create ();
  g_queue_init (&group->arrivals);
  g_ptr_array_add (board->groups, group);
  g_hash_table_insert (board->group_by_name, group->name,
                       GUINT_TO_POINTER (board->groups->len - 1));
  return board->groups->len - 1;
}

uint32_t
az_entry_pool_of (struct az_entry_board *board, const char *upstream)
{
  struct az_entry_pool *pool;
  void *index;

  if (g_hash_table_lookup_extended (board->pool_by_name, upstream, NULL, &index))
    return GPOINTER_TO_UINT (index);
  pool = g_new0 (struct az_entry_pool, 1);
  pool->name = g_strdup (upstream);
  pool->groups = g_array_new (FALSE, FALSE, sizeof (uint32_t));
  pool->agents = g_array_new (FALSE, FALSE, sizeof (uint32_t));
  pool->ejector = az_ejector_create (board->clock);
  g_ptr_array_add (board->pools, pool);
  g_hash_table_insert (board->pool_by_name, pool->name, GUINT_TO_POINTER (board->pools->len - 1));
  return board->pools->len - 1;
}

uint32_t
az_entry_team_of (struct az_entry_board *board, const char *name)
{
  struct az_entry_team *team;
  void *index;

  if (g_hash_table_lookup_extended (board->team_by_name, name, NULL, &index))
    return GPOINTER_TO_UINT (index);
  team = g_new0 (struct az_entry_team, 1);
  team->name = g_strdup (name);
  team->services = g_hash_table_new (NULL, NULL);
  g_ptr_array_add (board->teams, team);
  g_hash_table_insert (board->team_by_name, team->name, GUINT_TO_POINTER (board->teams->len - 1));
  return board->teams->len - 1;
}
