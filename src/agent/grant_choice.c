#include "agent/board.h"

/* A demand that was not repeated for this time was met elsewhere. */
#define DEMAND_LIFE_MS 2000

/* Moving an idle slot costs a GRANT message, and demand moves many slots in one message, so only a
 * large imbalance moves one without demand. */
#define IDLE_HYSTERESIS 8

/** az_agent_entry_need - waiting tasks that its idle grants can't take */
uint32_t
az_agent_entry_need (const struct az_agent_board *board, const struct az_agent_entry *entry)
{
  if (az_time_diff_ms (az_agent_now (board), entry->demanded) > DEMAND_LIFE_MS)
    return 0;
  return entry->waiting > entry->idle ? entry->waiting - entry->idle : 0;
}

/* Longest waiting demand; @preferred wins a tie. */
static uint32_t
choose_by_demand (const struct az_agent_board *board, uint32_t preferred)
{
  const struct az_agent_entry *best = NULL;
  uint32_t choice = 0;

  for (uint32_t handle = az_table_rows_next (board->entries, 0); handle;
       handle = az_table_rows_next (board->entries, handle))
    {
      const struct az_agent_entry *entry = az_agent_entry_get (board, handle);
      int order = best ? az_time_compare (entry->oldest, best->oldest) : -1;

      if (!entry->incarnation || !az_agent_entry_need (board, entry))
        continue;
      if (order > 0 || (order == 0 && handle != preferred))
        continue;
      best = entry;
      choice = handle;
    }
  return choice;
}

/* Equal entries come in another order at each agent: with more entries than slots, the same few
 * would otherwise hold the grants of every agent. */
static bool
has_fewer_idle (const struct az_agent_board *board,
                const struct az_agent_entry *entry,
                const struct az_agent_entry *best)
{
  if (entry->idle != best->idle)
    return entry->idle < best->idle;
  return az_agent_entry_weight (board, entry) > az_agent_entry_weight (board, best);
}

/**
 * az_agent_may_keep_idle - whether the grants of @entry are renewed without demand
 *
 * With more entries than slots, each agent keeps the grants of those that rank highest with it.
 * Otherwise the entries that connected first would hold the slots of every agent.
 */
bool
az_agent_may_keep_idle (const struct az_agent_board *board, const struct az_agent_entry *entry)
{
  uint32_t n_ahead = 0;

  if (!entry)
    return false;
  for (uint32_t handle = az_table_rows_next (board->entries, 0); handle;
       handle = az_table_rows_next (board->entries, handle))
    {
      const struct az_agent_entry *other = az_agent_entry_get (board, handle);

      n_ahead += other->incarnation
                 && az_agent_entry_weight (board, other) > az_agent_entry_weight (board, entry);
    }
  return n_ahead < az_agent_capacity (board);
}

static uint32_t
choose_by_idle (const struct az_agent_board *board, uint32_t preferred)
{
  const struct az_agent_entry *best = NULL;
  uint32_t choice = 0;

  for (uint32_t handle = az_table_rows_next (board->entries, 0); handle;
       handle = az_table_rows_next (board->entries, handle))
    {
      const struct az_agent_entry *entry = az_agent_entry_get (board, handle);

      if (!entry->incarnation || (best && !has_fewer_idle (board, entry, best)))
        continue;
      best = entry;
      choice = handle;
    }
  if (!best || !preferred)
    return choice;
  return az_agent_entry_get (board, preferred)->idle < best->idle + IDLE_HYSTERESIS ? preferred
                                                                                    : choice;
}

/**
 * az_agent_grant_choose - entry that gets the next free slot
 * @preferred: entry whose task has just freed it, or 0
 *
 * Return: 0 if no entry is connected.
 */
uint32_t
az_agent_grant_choose (const struct az_agent_board *board, uint32_t preferred)
{
  uint32_t choice = choose_by_demand (board, preferred);

  return choice ? choice : choose_by_idle (board, preferred);
}
