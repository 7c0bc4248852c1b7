#include "agent/state.h"

static void
handle_state_message (struct az_agent_state *state,
                      uint32_t entry,
                      const struct az_message *message)
{
  const struct az_message *m = message;

  switch (message->proc)
    {
    case AZ_WELCOME:
      az_agent_welcome_received (state, entry, &m->az_message_u.welcome);
      break;
    case AZ_HEARTBEAT_ACK:
      az_agent_heartbeat_ack_received (state, entry, &m->az_message_u.heartbeat_ack);
      break;
    case AZ_VIEW:
      az_agent_view_received (state, &m->az_message_u.view);
      break;
    case AZ_TABLE:
      az_agent_table_received (state, &m->az_message_u.table);
      break;
    default:
      az_counters_add (state->counters, state->metrics.late_messages, 1);
    }
}

static void
handle_task_message (struct az_agent_state *state, uint32_t entry, const struct az_message *message)
{
  const struct az_message *m = message;

  switch (message->proc)
    {
    case AZ_START:
      az_agent_start_received (state, entry, &m->az_message_u.start);
      break;
    case AZ_DEMAND:
      az_agent_demand_received (state, entry, &m->az_message_u.demand);
      break;
    case AZ_RETURN:
      az_agent_grants_returned (state, entry, &m->az_message_u.returned);
      break;
    case AZ_CANCEL:
      az_agent_tasks_cancel_job (state, m->az_message_u.cancel.job);
      break;
    case AZ_QUERY:
      az_agent_query_received (state, entry, &m->az_message_u.query);
      break;
    case AZ_RECOVER:
      az_agent_recover_received (state, entry, &m->az_message_u.recover);
      break;
    default:
      handle_state_message (state, entry, message);
    }
}

void
az_agent_message_received (struct az_agent_state *state,
                           uint32_t connection,
                           const struct az_message *message)
{
  uint32_t handle = az_agent_entry_by_connection (state, connection);
  struct az_agent_entry *entry = az_agent_entry_get (state, handle);

  if (!entry || (!entry->incarnation && message->proc != AZ_WELCOME))
    {
      az_counters_add (state->counters, state->metrics.late_messages, 1);
      return;
    }
  entry->is_awaiting_reply = false;
  handle_task_message (state, handle, message);
}
