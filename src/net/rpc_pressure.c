#include "net/rpc_pressure.h"

static struct az_rpc_connection *
connection_of (struct az_rpc_holder *holder)
{
  return (struct az_rpc_connection *)(void *)((char *)holder
                                              - offsetof (struct az_rpc_connection, holder));
}

static void
relieve (struct az_rpc *rpc)
{
  struct az_rpc_holder *holder;

  while ((holder = az_rpc_budget_choose (&rpc->budget)))
    az_rpc_connection_cut (connection_of (holder), AZ_RPC_CAUSE_MEMORY);
}

void
az_rpc_pressure_update (struct az_rpc_connection *connection)
{
  const GByteArray *pending = connection->pending_write;

  if (connection->state != AZ_RPC_OPEN || connection->holder.is_cut)
    return;
  az_rpc_budget_update (&connection->rpc->budget, &connection->holder, connection->unparsed->len,
                        connection->unsent->len + (pending ? pending->len : 0));
  relieve (connection->rpc);
}

/* While memory is short, growing the buffer of a record must not copy it. */
static void
reserve_in_turn (struct az_rpc_connection *connection)
{
  if (az_rpc_budget_is_in_turn (&connection->rpc->budget, &connection->holder))
    az_rpc_connection_reserve (connection);
}

void
az_rpc_pressure_limit_reading (struct az_rpc_connection *connection)
{
  struct az_rpc_holder *holder = &connection->holder;

  if (connection->state != AZ_RPC_OPEN || holder->is_cut)
    return;
  reserve_in_turn (connection);
  if (az_rpc_budget_may_read (&connection->rpc->budget, holder))
    return;
  holder->is_waiting = true;
  uv_read_stop ((uv_stream_t *)&connection->tcp);
}

void
az_rpc_pressure_observe_write (struct az_rpc_connection *connection)
{
  size_t queued = uv_stream_get_write_queue_size ((uv_stream_t *)&connection->tcp);

  if (queued < connection->write_queue_bytes)
    connection->holder.out.moved += connection->write_queue_bytes - queued;
  connection->write_queue_bytes = queued;
}

static void
resume_reading (struct az_rpc *rpc)
{
  for (GList *link = rpc->budget.holders.head; link; link = link->next)
    {
      struct az_rpc_holder *holder = link->data;

      if (!holder->is_waiting || holder->is_cut || !az_rpc_budget_may_read (&rpc->budget, holder))
        continue;
      holder->is_waiting = false;
      reserve_in_turn (connection_of (holder));
      az_rpc_connection_read (connection_of (holder));
    }
}

void
az_rpc_pressure_check (struct az_rpc *rpc)
{
  for (GList *link = rpc->budget.holders.head; link; link = link->next)
    az_rpc_pressure_observe_write (connection_of (link->data));
  az_rpc_budget_judge (&rpc->budget, (int64_t)uv_now (rpc->loop));
  relieve (rpc);
  resume_reading (rpc);
}
