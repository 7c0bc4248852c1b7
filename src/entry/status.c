#include "entry/cluster.h"
#include "entry/core.h"

static bool
has_open_job (const struct az_entry_state *state)
{
  return az_table_rows_count (state->jobs) > state->answered.length;
}

/* Ids of an interval of this entry can arrive until the end of the interval plus the clock skew. */
static bool
is_handed_over (const struct az_entry_state *state)
{
  for (uint32_t i = 0; i < state->table.partitions.partitions_len; i++)
    {
      const struct az_partition *partition = &state->table.partitions.partitions_val[i];

      if (partition->owner == state->incarnation)
        return false;
      if (partition->previous == state->incarnation
          && state->wall_ms <= (int64_t)partition->from_ms + state->settings.clock_skew_max_ms)
        return false;
    }
  return true;
}

bool
az_entry_is_drained (const struct az_entry_state *state)
{
  return state->stopping && !has_open_job (state)
         && (is_handed_over (state) || !az_entry_has_live_peer (state));
}

static json_t *
agent_status (const struct az_entry_state *state, const struct az_entry_agent *agent)
{
  return json_pack (
      "{s:s, s:s, s:s, s:b, s:b, s:b, s:b, s:I, s:I, s:I}", "instance", agent->instance, "upstream",
      az_entry_state_upstream (state, agent->pool)->name, "domain", agent->domain, "connected",
      agent->connection != 0, "in_service", agent->in_service, "suspected", agent->suspected,
      "ejected",
      az_ejector_is_ejected (az_entry_state_upstream (state, agent->pool)->ejector, agent->handle),
      "slots", (json_int_t)agent->slots, "grants", (json_int_t)agent->idle_grants->len, "open",
      (json_int_t)agent->open->len);
}

static json_t *
agents_status (const struct az_entry_state *state)
{
  json_t *list = json_array ();

  for (uint32_t h = az_table_rows_next (state->agents, 0); h;
       h = az_table_rows_next (state->agents, h))
    json_array_append_new (list, agent_status (state, az_entry_state_agent (state, h)));
  return list;
}

static json_t *
roster_status (const struct az_entry_state *state)
{
  json_t *list = json_array ();

  for (uint32_t i = 0; i < state->table.roster.roster_len; i++)
    {
      const struct az_roster_entry *member = &state->table.roster.roster_val[i];
      const struct az_entry_peer *peer = az_entry_peer_find (state, member->incarnation);
      uint32_t owned = 0;

      for (uint32_t p = 0; p < state->table.partitions.partitions_len; p++)
        owned += state->table.partitions.partitions_val[p].owner == member->incarnation;
      json_array_append_new (
          list,
          json_pack ("{s:s, s:s, s:I, s:b}", "instance", member->instance, "http_address",
                     member->http_address, "partitions", (json_int_t)owned, "connected",
                     member->incarnation == state->incarnation || (peer && peer->connection != 0)));
    }
  return list;
}

static json_t *
jobs_status (const struct az_entry_state *state)
{
  json_int_t waiting = 0;

  for (uint32_t i = 0; i < state->services->len; i++)
    waiting += (json_int_t)az_entry_state_service (state, i)->waiting;
  return json_pack ("{s:I, s:I, s:I, s:I}", "open",
                    (json_int_t)az_table_rows_count (state->jobs) - state->answered.length,
                    "answered", (json_int_t)state->answered.length, "answered_bytes",
                    (json_int_t)state->answered_bytes, "tasks_waiting", waiting);
}

json_t *
az_entry_status (struct az_entry_state *state)
{
  char incarnation[24];
  uint32_t age_ms = az_entry_evidence_age_ms (state);
  json_t *status;

  g_snprintf (incarnation, sizeof incarnation, "%" G_GUINT64_FORMAT, state->incarnation);
  status = json_pack ("{s:s, s:s, s:I, s:I, s:I, s:b, s:b, s:o, s:o, s:o}", "instance",
                      state->settings.instance, "incarnation", incarnation, "revision",
                      (json_int_t)state->revision, "table_version",
                      (json_int_t)state->table.table_version, "confirmed_table_version",
                      (json_int_t)state->confirmed_version, "restored", state->restored, "stopping",
                      state->stopping, "roster", roster_status (state), "agents",
                      agents_status (state), "jobs", jobs_status (state));
  json_object_set_new (status, "evidence_age_ms",
                       age_ms == G_MAXUINT32 ? json_null () : json_integer (age_ms));
  return status;
}
