#include "entry/cluster.h"
#include "entry/core.h"

static bool
has_open_job (const struct az_entry_board *board)
{
  return az_table_rows_count (board->jobs) > board->answered.length;
}

/* Ids of an interval can arrive until its end plus the clock skew. */
static bool
is_handed_over (const struct az_entry_board *board)
{
  for (uint32_t i = 0; i < board->table.partitions.partitions_len; i++)
    {
      const struct az_partition *partition = &board->table.partitions.partitions_val[i];

      if (partition->owner == board->incarnation)
        return false;
      if (partition->previous == board->incarnation
          && board->wall_ms <= (int64_t)partition->from_ms + board->settings.clock_skew_max_ms)
        return false;
    }
  return true;
}

bool
az_entry_is_drained (const struct az_entry_board *board)
{
  return board->stopping && !has_open_job (board)
         && (is_handed_over (board) || !az_entry_has_live_peer (board));
}

static json_t *
agent_status (const struct az_entry_board *board, const struct az_entry_agent *agent)
{
  return json_pack (
      "{s:s, s:s, s:s, s:b, s:b, s:b, s:b, s:I, s:I, s:I}", "instance", agent->instance, "upstream",
      az_entry_board_pool (board, agent->pool)->name, "domain", agent->domain, "connected",
      agent->connection != 0, "in_service", agent->in_service, "suspected", agent->suspected,
      "ejected",
      az_ejector_is_ejected (az_entry_board_pool (board, agent->pool)->ejector, agent->handle),
      "slots", (json_int_t)agent->slots, "grants", (json_int_t)agent->idle->len, "open",
      (json_int_t)agent->open->len);
}

static json_t *
agents_status (const struct az_entry_board *board)
{
  json_t *list = json_array ();

  for (uint32_t h = az_table_rows_next (board->agents, 0); h;
       h = az_table_rows_next (board->agents, h))
    json_array_append_new (list, agent_status (board, az_entry_board_agent (board, h)));
  return list;
}

static json_t *
roster_status (const struct az_entry_board *board)
{
  json_t *list = json_array ();

  for (uint32_t i = 0; i < board->table.roster.roster_len; i++)
    {
      const struct az_roster_entry *member = &board->table.roster.roster_val[i];
      const struct az_entry_peer *peer = az_entry_peer_find (board, member->incarnation);
      uint32_t owned = 0;

      for (uint32_t p = 0; p < board->table.partitions.partitions_len; p++)
        owned += board->table.partitions.partitions_val[p].owner == member->incarnation;
      json_array_append_new (
          list,
          json_pack ("{s:s, s:s, s:I, s:b}", "instance", member->instance, "http_address",
                     member->http_address, "partitions", (json_int_t)owned, "connected",
                     member->incarnation == board->incarnation || (peer && peer->connection != 0)));
    }
  return list;
}

static json_t *
jobs_status (const struct az_entry_board *board)
{
  json_int_t waiting = 0;

  for (uint32_t i = 0; i < board->groups->len; i++)
    waiting += (json_int_t)az_entry_board_group (board, i)->waiting;
  return json_pack ("{s:I, s:I, s:I, s:I}", "open",
                    (json_int_t)az_table_rows_count (board->jobs) - board->answered.length,
                    "answered", (json_int_t)board->answered.length, "answered_bytes",
                    (json_int_t)board->answered_bytes, "tasks_waiting", waiting);
}

json_t *
az_entry_status (struct az_entry_board *board)
{
  char incarnation[24];
  uint32_t age_ms = az_entry_evidence_age_ms (board);
  json_t *status;

  g_snprintf (incarnation, sizeof incarnation, "%" G_GUINT64_FORMAT, board->incarnation);
  status = json_pack ("{s:s, s:s, s:I, s:I, s:I, s:b, s:b, s:o, s:o, s:o}", "instance",
                      board->settings.instance, "incarnation", incarnation, "revision",
                      (json_int_t)board->revision, "table_version",
                      (json_int_t)board->table.table_version, "confirmed_table_version",
                      (json_int_t)board->confirmed_version, "restored", board->restored, "stopping",
                      board->stopping, "roster", roster_status (board), "agents",
                      agents_status (board), "jobs", jobs_status (board));
  json_object_set_new (status, "evidence_age_ms",
                       age_ms == G_MAXUINT32 ? json_null () : json_integer (age_ms));
  return status;
}
