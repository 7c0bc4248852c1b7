#include "agent/board.h"

static const char *const refusal_names[AZ_AGENT_N_REFUSALS] = {
  [AZ_REFUSAL_GRANT] = "grant",       [AZ_REFUSAL_OWNER] = "owner",
  [AZ_REFUSAL_EVIDENCE] = "evidence", [AZ_REFUSAL_WITHDRAWN] = "withdrawn",
  [AZ_REFUSAL_DEADLINE] = "deadline", [AZ_REFUSAL_DUPLICATE] = "duplicate",
  [AZ_REFUSAL_FENCED] = "fenced",     [AZ_REFUSAL_STOPPING] = "stopping",
  [AZ_REFUSAL_UPSTREAM] = "upstream",
};

const char *
az_agent_refusal_name (az_refusal reason)
{
  return refusal_names[reason];
}

static void
register_refusals (struct az_agent_board *board)
{
  for (uint32_t reason = 0; reason < AZ_AGENT_N_REFUSALS; reason++)
    {
      char *name
          = g_strdup_printf ("azurerock_agent_refused_total{reason=\"%s\"}", refusal_names[reason]);

      board->metrics.refused[reason]
          = az_counters_register (board->counters, name, "tasks refused as not started");
      g_free (name);
    }
}

void
az_agent_metrics_register (struct az_agent_board *board)
{
  struct az_agent_metrics *m = &board->metrics;
  struct az_counters *c = board->counters;

  register_refusals (board);
  m->starts = az_counters_register (c, "azurerock_agent_starts_total", "tasks started");
  m->results = az_counters_register (c, "azurerock_agent_results_total", "results sent");
  m->late = az_counters_register (c, "azurerock_agent_late_messages_total",
                                  "messages dropped as late or duplicate");
  m->grants = az_counters_register (c, "azurerock_agent_grants_total", "grants given");
  m->recalls = az_counters_register (c, "azurerock_agent_recalls_total", "grants recalled");
  m->timeouts
      = az_counters_register (c, "azurerock_agent_timeouts_total", "tasks past their timeout");
  m->running = az_counters_register (c, "azurerock_agent_running", "tasks running");
  m->record_bytes
      = az_counters_register (c, "azurerock_agent_record_bytes", "memory of task records");
  m->evidence_age = az_counters_register (c, "azurerock_agent_evidence_age_ms",
                                          "age of the evidence of freshness");
}

void
az_agent_metrics_update (struct az_agent_board *board)
{
  struct az_counters *c = board->counters;
  int64_t age_ms = az_agent_evidence_age_ms (board, az_agent_now (board));

  az_counters_set (c, board->metrics.running, az_table_rows_count (board->running));
  az_counters_set (c, board->metrics.record_bytes, board->record_bytes);
  az_counters_set (c, board->metrics.evidence_age, (uint64_t)age_ms);
}
