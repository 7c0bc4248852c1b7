#include "agent/state.h"
#include <string.h>

/* Lifetime of a fence; it exceeds the lifetime of a grant. */
#define FENCE_LIFETIME_MS 30000

/* Task and attempt number of a fence that covers all tasks of a job. */
#define ALL_TASKS UINT32_MAX

static guint
hash_fence (gconstpointer key)
{
  const struct az_agent_fence *fence = key;

  return (g_str_hash (fence->id.job) * 31 + fence->id.task) * 31 + fence->id.attempt;
}

static gboolean
equal_fences (gconstpointer a, gconstpointer b)
{
  const struct az_agent_fence *first = a;
  const struct az_agent_fence *second = b;

  return first->id.task == second->id.task && first->id.attempt == second->id.attempt
         && !strcmp (first->id.job, second->id.job);
}

static void
free_fence (void *data)
{
  struct az_agent_fence *fence = data;

  g_free (fence->id.job);
  g_free (fence);
}

void
az_agent_fences_create (struct az_agent_state *state)
{
  state->fences = g_hash_table_new_full (hash_fence, equal_fences, free_fence, NULL);
  g_queue_init (&state->fences_by_expiry);
}

void
az_agent_fences_destroy (struct az_agent_state *state)
{
  g_hash_table_destroy (state->fences);
}

static struct az_agent_fence *
find_fence (const struct az_agent_state *state, const char *job, uint32_t task, uint32_t attempt)
{
  struct az_agent_fence key = { .id = { (char *)job, task, attempt } };

  return g_hash_table_lookup (state->fences, &key);
}

static struct az_agent_fence *
add_fence (struct az_agent_state *state, const struct az_attempt *id)
{
  struct az_agent_fence *fence = g_new0 (struct az_agent_fence, 1);

  fence->id = *id;
  fence->id.job = g_strdup (id->job);
  fence->link.data = fence;
  g_hash_table_add (state->fences, fence);
  return fence;
}

/* All fences have the same lifetime, so appending keeps the queue in order of expiry. */
void
az_agent_fence_attempt (struct az_agent_state *state, const struct az_attempt *id)
{
  struct az_agent_fence *fence = find_fence (state, id->job, id->task, id->attempt);

  if (fence)
    g_queue_unlink (&state->fences_by_expiry, &fence->link);
  else
    fence = add_fence (state, id);
  fence->expires_at = az_time_add_ms (az_agent_now (state), FENCE_LIFETIME_MS);
  g_queue_push_tail_link (&state->fences_by_expiry, &fence->link);
}

void
az_agent_fence_job (struct az_agent_state *state, const char *job)
{
  struct az_attempt id = { (char *)job, ALL_TASKS, ALL_TASKS };

  az_agent_fence_attempt (state, &id);
}

bool
az_agent_is_fenced (const struct az_agent_state *state, const struct az_attempt *id)
{
  return find_fence (state, id->job, id->task, id->attempt)
         || find_fence (state, id->job, ALL_TASKS, ALL_TASKS);
}

void
az_agent_fences_tick (struct az_agent_state *state)
{
  struct timespec now = az_agent_now (state);
  struct az_agent_fence *fence;

  while ((fence = g_queue_peek_head (&state->fences_by_expiry))
         && az_time_compare (fence->expires_at, now) <= 0)
    {
      g_queue_unlink (&state->fences_by_expiry, &fence->link);
      g_hash_table_remove (state->fences, fence);
    }
}
