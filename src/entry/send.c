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
az_entry_send (struct az_entry_board *board, uint32_t connection, const struct az_message *message)
{
  az_entry_count (board, board->count.sent[message->proc], 1);
  board->io.send (board->io.context, connection, message);
}

void
az_entry_count_received (struct az_entry_board *board, az_proc proc)
{
  az_entry_count (board, board->count.received[proc], 1);
}

void
az_entry_count (struct az_entry_board *board, uint32_t counter, uint64_t amount)
{
  az_counters_add (board->counters, counter, amount);
}

static uint32_t
register_labelled (struct az_entry_board *board,
                   const char *name,
                   const char *label,
                   const char *value,
                   const char *help)
{
  char *full = g_strdup_printf ("%s{%s=\"%s\"}", name, label, value);
  uint32_t counter = az_counters_register (board->counters, full, help);

  g_free (full);
  return counter;
}

static void
register_messages (struct az_entry_board *board)
{
  struct az_entry_counters *count = &board->count;
  const char *wasted_help = "Messages that led to no start, by cause";

  for (uint32_t i = 0; i <= AZ_CANCEL_JOB; i++)
    {
      count->sent[i] = register_labelled (board, "azurerock_messages_sent_total", "kind",
                                          message_kinds[i], "Messages sent, by kind");
      count->received[i] = register_labelled (board, "azurerock_messages_received_total", "kind",
                                              message_kinds[i], "Messages received, by kind");
    }
  count->refused = register_labelled (board, "azurerock_wasted_messages_total", "cause", "refused",
                                      wasted_help);
  count->cancelled = register_labelled (board, "azurerock_wasted_messages_total", "cause",
                                        "cancelled", wasted_help);
  count->duplicate = register_labelled (board, "azurerock_wasted_messages_total", "cause",
                                        "duplicate", wasted_help);
  count->late
      = register_labelled (board, "azurerock_wasted_messages_total", "cause", "late", wasted_help);
}

static void
register_tasks (struct az_entry_board *board)
{
  struct az_entry_counters *count = &board->count;
  struct az_counters *counters = board->counters;

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
    count->outcomes[i] = register_labelled (board, "azurerock_jobs_answered_total", "outcome",
                                            outcomes[i], "Answers, by outcome");
}

void
az_entry_register_counters (struct az_entry_board *board)
{
  struct az_entry_counters *count = &board->count;
  struct az_counters *counters = board->counters;

  register_messages (board);
  register_tasks (board);
  count->agents = az_counters_register (counters, "azurerock_agents", "Connected agents");
  count->ejected = az_counters_register (counters, "azurerock_agents_ejected", "Ejected agents");
  count->jobs = az_counters_register (counters, "azurerock_jobs", "Jobs held, open and answered");
  count->waiting = az_counters_register (counters, "azurerock_tasks_waiting", "Tasks in the queue");
  count->evidence_age = az_counters_register (counters, "azurerock_evidence_age_ms",
                                              "Age of the evidence of freshness");
}

void
az_entry_update_gauges (struct az_entry_board *board)
{
  uint64_t waiting = 0;
  uint64_t connected = 0;
  uint64_t ejected = 0;

  for (uint32_t i = 0; i < board->groups->len; i++)
    waiting += az_entry_board_group (board, i)->waiting;
  for (uint32_t i = 0; i < board->pools->len; i++)
    {
      connected += az_entry_board_pool (board, i)->agents->len;
      ejected += az_ejector_n_ejected (az_entry_board_pool (board, i)->ejector);
    }
  az_counters_set (board->counters, board->count.agents, connected);
  az_counters_set (board->counters, board->count.ejected, ejected);
  az_counters_set (board->counters, board->count.jobs, az_table_rows_count (board->jobs));
  az_counters_set (board->counters, board->count.waiting, waiting);
  az_counters_set (board->counters, board->count.evidence_age, az_entry_evidence_age_ms (board));
}
