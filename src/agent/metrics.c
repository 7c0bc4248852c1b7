#include "agent/state.h"

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
register_refusals (struct az_agent_state *state)
{
  for (uint32_t reason = 0; reason < AZ_AGENT_N_REFUSALS; reason++)
    {
      char *name
          = g_strdup_printf ("azurerock_agent_refused_total{reason=\"%s\"}", refusal_names[reason]);

      state->metrics.refused[reason]
          = az_counters_register (state->counters, name, "tasks refused as not started");
      g_free (name);
    }
}

void
az_agent_metrics_register (struct az_agent_state *state)
{
  struct az_agent_metrics *m = &state->metrics;
  struct az_counters *c = state->counters;

  register_refusals (state);
  m->starts = az_counters_register (c, "azurerock_agent_starts_total", "tasks started");
  m->results = az_counters_register (c, "azurerock_agent_results_total", "results sent");
  m->late_messages = az_counters_register (c, "azurerock_agent_late_messages_total",
                                           "messages dropped as late or duplicate");
  m->grants = az_counters_register (c, "azurerock_agent_grants_total", "grants given");
  m->recalls = az_counters_register (c, "azurerock_agent_recalls_total", "grants recalled");
  m->timeouts
      = az_counters_register (c, "azurerock_agent_timeouts_total", "tasks past their timeout");
  m->running = az_counters_register (c, "azurerock_agent_running", "tasks running");
  m->record_bytes
      = az_counters_register (c, "azurerock_agent_record_bytes", "memory of task records");
  m->evidence_age_ms = az_counters_register (c, "azurerock_agent_evidence_age_ms",
                                             "age of the evidence of freshness");
}

void
az_agent_metrics_update (struct az_agent_state *state)
{
  struct az_counters *c = state->counters;
  int64_t age_ms = az_agent_evidence_age_ms (state, az_agent_now (state));

  az_counters_set (c, state->metrics.running, az_table_rows_count (state->running));
  az_counters_set (c, state->metrics.record_bytes, state->record_bytes);
  az_counters_set (c, state->metrics.evidence_age_ms, (uint64_t)age_ms);
}
