#include "entry/send.h"
#include "entry/cluster.h"

static const char *const message_kinds[AZ_CANCEL_JOB + 1] = {
  [AZ_PROC_NULL] = "null",
  [AZ_HELLO] = "hello",
  [AZ_WELCOME] = "welcome",
  [AZ_HEARTBEAT] = "heartbeat",
  [AZ_HEARTBEAT_ACK] = "heartbeat_ack",
  [AZ_VIEW] = "view",
  [AZ_TABLE] = "table",
  [AZ_GRANT] = "grant",
  [AZ_RECALL] = "recall",
  [AZ_RETURN] = "return",
  [AZ_DEMAND] = "demand",
  [AZ_START] = "start",
  [AZ_RESULT] = "result",
  [AZ_REFUSED] = "refused",
  [AZ_CANCEL] = "cancel",
  [AZ_QUERY] = "query",
  [AZ_FATE] = "fate",
  [AZ_RECOVER] = "recover",
  [AZ_RECORDS] = "records",
  [AZ_PEER_HELLO] = "peer_hello",
  [AZ_PEER_STATE] = "peer_state",
  [AZ_PEER_STATE_ACK] = "peer_state_ack",
  [AZ_CONFIG] = "config",
  [AZ_SUBMIT] = "submit",
  [AZ_ANSWER] = "answer",
  [AZ_CANCEL_JOB] = "cancel_job",
};

static const char *const outcomes[AZ_OUTCOME_UNKNOWN + 1] = {
  [AZ_OUTCOME_DONE] = "done",
  [AZ_OUTCOME_FAILED] = "failed",
  [AZ_OUTCOME_NOT_RUN] = "not_run",
  [AZ_OUTCOME_UNKNOWN] = "unknown",
};

void
az_entry_send (struct az_entry_state *state, uint32_t connection, const struct az_message *message)
{
  az_entry_count (state, state->count.sent[message->proc], 1);
  state->io.send (state->io.context, connection, message);
}

void
az_entry_count_received (struct az_entry_state *state, az_proc proc)
{
  az_entry_count (state, state->count.received[proc], 1);
}

void
az_entry_count (struct az_entry_state *state, uint32_t counter, uint64_t amount)
{
  az_counters_add (state->counters, counter, amount);
}

static uint32_t
register_labelled (struct az_entry_state *state,
                   const char *name,
                   const char *label,
                   const char *value,
                   const char *help)
{
  char *full = g_strdup_printf ("%s{%s=\"%s\"}", name, label, value);
  uint32_t counter = az_counters_register (state->counters, full, help);

  g_free (full);
  return counter;
}

static void
register_messages (struct az_entry_state *state)
{
  struct az_entry_counters *count = &state->count;
  const char *wasted_help = "Messages that led to no start, by cause";

  for (uint32_t i = 0; i <= AZ_CANCEL_JOB; i++)
    {
      count->sent[i] = register_labelled (state, "azurerock_messages_sent_total", "kind",
                                          message_kinds[i], "Messages sent, by kind");
      count->received[i] = register_labelled (state, "azurerock_messages_received_total", "kind",
                                              message_kinds[i], "Messages received, by kind");
    }
  count->refused = register_labelled (state, "azurerock_wasted_messages_total", "cause", "refused",
                                      wasted_help);
  count->cancelled = register_labelled (state, "azurerock_wasted_messages_total", "cause",
                                        "cancelled", wasted_help);
  count->duplicate = register_labelled (state, "azurerock_wasted_messages_total", "cause",
                                        "duplicate", wasted_help);
  count->late
      = register_labelled (state, "azurerock_wasted_messages_total", "cause", "late", wasted_help);
}

static void
register_tasks (struct az_entry_state *state)
{
  struct az_entry_counters *count = &state->count;
  struct az_counters *counters = state->counters;

  count->submitted = az_counters_register (counters, "azurerock_jobs_submitted_total",
                                           "Jobs received from callers and entries");
  count->forwarded = az_counters_register (counters, "azurerock_jobs_forwarded_total",
                                           "Jobs sent to their owner");
  count->started
      = az_counters_register (counters, "azurerock_tasks_sent_total", "Tasks sent in START");
  count->retried = az_counters_register (counters, "azurerock_tasks_retried_total",
                                         "Tasks sent again after proof that they had not started");
  count->dropped = az_counters_register (counters, "azurerock_jobs_dropped_total",
                                         "Queued jobs whose deadline could no longer be met");
  count->table_writes = az_counters_register (counters, "azurerock_table_writes_total",
                                              "Owner table versions that this entry wrote");
  for (uint32_t i = 0; i <= AZ_OUTCOME_UNKNOWN; i++)
    count->outcomes[i] = register_labelled (state, "azurerock_jobs_answered_total", "outcome",
                                            outcomes[i], "Answers, by outcome");
}

void
az_entry_register_counters (struct az_entry_state *state)
{
  struct az_entry_counters *count = &state->count;
  struct az_counters *counters = state->counters;

  register_messages (state);
  register_tasks (state);
  count->agents = az_counters_register (counters, "azurerock_agents", "Connected agents");
  count->ejected = az_counters_register (counters, "azurerock_agents_ejected", "Ejected agents");
  count->jobs = az_counters_register (counters, "azurerock_jobs", "Jobs held, open and answered");
  count->waiting = az_counters_register (counters, "azurerock_tasks_waiting", "Tasks in the queue");
  count->evidence_age = az_counters_register (counters, "azurerock_evidence_age_ms",
                                              "Age of the evidence of freshness");
}

void
az_entry_update_gauges (struct az_entry_state *state)
{
  uint64_t waiting = 0;
  uint64_t connected = 0;
  uint64_t ejected = 0;

  for (uint32_t i = 0; i < state->services->len; i++)
    waiting += az_entry_state_service (state, i)->waiting;
  for (uint32_t i = 0; i < state->upstreams->len; i++)
    {
      connected += az_entry_state_upstream (state, i)->agents->len;
      ejected += az_ejector_n_ejected (az_entry_state_upstream (state, i)->ejector);
    }
  az_counters_set (state->counters, state->count.agents, connected);
  az_counters_set (state->counters, state->count.ejected, ejected);
  az_counters_set (state->counters, state->count.jobs, az_table_rows_count (state->jobs));
  az_counters_set (state->counters, state->count.waiting, waiting);
  az_counters_set (state->counters, state->count.evidence_age, az_entry_evidence_age_ms (state));
}
