#include "net/rpc_budget.h"

#define JUDGE_INTERVAL_MS 1000

/* After a longer interval the process was paused, and says nothing about its peers. */
#define JUDGE_INTERVAL_MAX_MS 2000

/* A connection that holds at least this much throughout an interval, and moves less in it, is
 * stalled. No link on which sessions work is that slow. */
#define STALLED_BYTES 65536

/* A new peer may hold this much, enough for the hello and the list of gateways that are queued for
 * it. Otherwise no peer could connect while known ones exceed the budget. */
#define UNKNOWN_ALLOWANCE_BYTES 65536

/* While the budget is exceeded, incomplete records that hold less than their share of this part of
 * it are read, so that large ones don't hold up short ones. */
#define SHARE_PART 2

void
az_rpc_budget_add (struct az_rpc_budget *budget, struct az_rpc_holder *holder)
{
  holder->link.data = holder;
  g_queue_push_tail_link (&budget->holders, &holder->link);
}

void
az_rpc_budget_remove (struct az_rpc_budget *budget, struct az_rpc_holder *holder)
{
  az_rpc_budget_update (budget, holder, 0, 0);
  g_queue_unlink (&budget->holders, &holder->link);
}

void
az_rpc_budget_update (struct az_rpc_budget *budget,
                      struct az_rpc_holder *holder,
                      size_t in,
                      size_t out)
{
  budget->in += in - holder->in.held;
  budget->out += out - holder->out.held;
  holder->in.held = in;
  holder->out.held = out;
}

static void
judge_flow (struct az_rpc_flow *flow)
{
  flow->is_stalled
      = MIN (flow->held, flow->held_before) >= STALLED_BYTES && flow->moved < STALLED_BYTES;
  flow->held_before = flow->held;
  flow->moved = 0;
}

static void
restart_flow (struct az_rpc_flow *flow)
{
  flow->is_stalled = false;
  flow->held_before = 0;
  flow->moved = 0;
}

static void
judge_holder (struct az_rpc_holder *holder, bool was_paused)
{
  judge_flow (&holder->in);
  judge_flow (&holder->out);
  if (was_paused || holder->is_waiting)
    restart_flow (&holder->in);
  if (was_paused)
    restart_flow (&holder->out);
}

void
az_rpc_budget_judge (struct az_rpc_budget *budget, int64_t now_ms)
{
  int64_t interval_ms = now_ms - budget->judged_ms;

  if (interval_ms < JUDGE_INTERVAL_MS)
    return;
  budget->judged_ms = now_ms;
  for (GList *link = budget->holders.head; link; link = link->next)
    judge_holder (link->data, interval_ms > JUDGE_INTERVAL_MAX_MS);
}

bool
az_rpc_budget_is_exceeded (const struct az_rpc_budget *budget)
{
  return budget->in + budget->out > budget->bytes_max;
}

static size_t
held_by_unknown (const struct az_rpc_holder *holder)
{
  size_t bytes = holder->in.held + holder->out.held;

  return !holder->is_known && bytes > UNKNOWN_ALLOWANCE_BYTES ? bytes : 0;
}

static bool
is_still_stalled (const struct az_rpc_flow *flow)
{
  return flow->is_stalled && flow->moved < STALLED_BYTES;
}

static size_t
held_by_stalled (const struct az_rpc_holder *holder)
{
  if (!is_still_stalled (&holder->in) && !is_still_stalled (&holder->out))
    return 0;
  return holder->in.held + holder->out.held;
}

static size_t
held_unsent (const struct az_rpc_holder *holder)
{
  return holder->out.held;
}

static size_t
held_unread (const struct az_rpc_holder *holder)
{
  return holder->is_known ? holder->in.held : 0;
}

/* Returns NULL if @held is 0 for all connections. */
static struct az_rpc_holder *
find_largest (const struct az_rpc_budget *budget,
              size_t (*held) (const struct az_rpc_holder *holder))
{
  struct az_rpc_holder *largest = NULL;
  size_t bytes = 0;

  for (GList *link = budget->holders.head; link; link = link->next)
    {
      struct az_rpc_holder *holder = link->data;

      if (holder->is_cut || held (holder) <= bytes)
        continue;
      bytes = held (holder);
      largest = holder;
    }
  return largest;
}

struct az_rpc_holder *
az_rpc_budget_choose (const struct az_rpc_budget *budget)
{
  struct az_rpc_holder *holder;

  if (!az_rpc_budget_is_exceeded (budget))
    return NULL;
  holder = find_largest (budget, held_by_unknown);
  if (!holder)
    holder = find_largest (budget, held_by_stalled);
  if (!holder && budget->out > budget->bytes_max)
    holder = find_largest (budget, held_unsent);
  return holder;
}

bool
az_rpc_budget_is_in_turn (const struct az_rpc_budget *budget, const struct az_rpc_holder *holder)
{
  return az_rpc_budget_is_exceeded (budget) && holder == find_largest (budget, held_unread);
}

bool
az_rpc_budget_may_read (const struct az_rpc_budget *budget, const struct az_rpc_holder *holder)
{
  return !az_rpc_budget_is_exceeded (budget)
         || holder->in.held < budget->bytes_max / SHARE_PART / budget->holders.length
         || az_rpc_budget_is_in_turn (budget, holder);
}
