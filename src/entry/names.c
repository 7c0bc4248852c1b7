#include "entry/agents.h"

uint32_t
az_entry_service_of (struct az_entry_state *state, const char *service_name)
{
  struct az_entry_service *service;
  void *index;

  if (g_hash_table_lookup_extended (state->service_by_name, service_name, NULL, &index))
    return GPOINTER_TO_UINT (index);
  service = g_new0 (struct az_entry_service, 1);
  service->name = g_strdup (service_name);
  service->upstream_indexes = g_array_new (FALSE, FALSE, sizeof (uint32_t));
  service->run_times = az_run_time_create ();
  g_queue_init (&service->arrivals);
  g_ptr_array_add (state->services, service);
  g_hash_table_insert (state->service_by_name, service->name,
                       GUINT_TO_POINTER (state->services->len - 1));
  return state->services->len - 1;
}

uint32_t
az_entry_upstream_of (struct az_entry_state *state, const char *upstream_name)
{
  struct az_entry_upstream *upstream;
  void *index;

  if (g_hash_table_lookup_extended (state->upstream_by_name, upstream_name, NULL, &index))
    return GPOINTER_TO_UINT (index);
  upstream = g_new0 (struct az_entry_upstream, 1);
  upstream->name = g_strdup (upstream_name);
  upstream->service_indexes = g_array_new (FALSE, FALSE, sizeof (uint32_t));
  upstream->agents = g_array_new (FALSE, FALSE, sizeof (uint32_t));
  upstream->ejector = az_ejector_create (state->clock);
  g_ptr_array_add (state->upstreams, upstream);
  g_hash_table_insert (state->upstream_by_name, upstream->name,
                       GUINT_TO_POINTER (state->upstreams->len - 1));
  return state->upstreams->len - 1;
}

uint32_t
az_entry_team_of (struct az_entry_state *state, const char *name)
{
  struct az_entry_team *team;
  void *index;

  if (g_hash_table_lookup_extended (state->team_by_name, name, NULL, &index))
    return GPOINTER_TO_UINT (index);
  team = g_new0 (struct az_entry_team, 1);
  team->name = g_strdup (name);
  team->services = g_hash_table_new (NULL, NULL);
  g_ptr_array_add (state->teams, team);
  g_hash_table_insert (state->team_by_name, team->name, GUINT_TO_POINTER (state->teams->len - 1));
  return state->teams->len - 1;
}
