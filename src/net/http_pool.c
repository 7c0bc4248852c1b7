#include "net/http_pool.h"

struct az_http_pool
{
  struct az_http_ledger *ledger;
  GQueue phases[AZ_HTTP_N_PHASES];
  unsigned n_holders;
};

struct az_http_pool *
az_http_pool_create (struct az_http_ledger *ledger)
{
  struct az_http_pool *pool = g_new0 (struct az_http_pool, 1);

  pool->ledger = ledger;
  if (!ledger->pools)
    ledger->pools = g_ptr_array_new ();
  g_ptr_array_add (ledger->pools, pool);
  return pool;
}

void
az_http_pool_destroy (struct az_http_pool *pool)
{
  struct az_http_ledger *ledger = pool->ledger;

  g_ptr_array_remove (ledger->pools, pool);
  if (ledger->pools->len == 0)
    g_clear_pointer (&ledger->pools, g_ptr_array_unref);
  g_free (pool);
}

unsigned
az_http_pool_count (const struct az_http_pool *pool)
{
  return pool->n_holders;
}

static void
add_bytes (struct az_http_holder *holder, size_t bytes)
{
  struct az_http_ledger *ledger = holder->pool->ledger;

  holder->bytes = bytes;
  ledger->bytes += bytes;
  if (holder->phase == AZ_HTTP_CUT)
    ledger->cut_bytes += bytes;
}

static void
remove_bytes (struct az_http_holder *holder)
{
  struct az_http_ledger *ledger = holder->pool->ledger;

  ledger->bytes -= holder->bytes;
  if (holder->phase == AZ_HTTP_CUT)
    ledger->cut_bytes -= holder->bytes;
}

void
az_http_pool_add (struct az_http_pool *pool, struct az_http_holder *holder, int64_t now_ms)
{
  holder->pool = pool;
  holder->link.data = holder;
  holder->phase = AZ_HTTP_NEW;
  holder->since_ms = holder->held_since_ms = now_ms;
  g_queue_push_tail_link (&pool->phases[holder->phase], &holder->link);
  pool->n_holders++;
}

void
az_http_pool_remove (struct az_http_holder *holder)
{
  struct az_http_pool *pool = holder->pool;

  remove_bytes (holder);
  g_queue_unlink (&pool->phases[holder->phase], &holder->link);
  pool->n_holders--;
  holder->pool = NULL;
}

void
az_http_pool_update (struct az_http_holder *holder,
                     enum az_http_phase phase,
                     size_t bytes,
                     int64_t now_ms)
{
  struct az_http_pool *pool = holder->pool;

  remove_bytes (holder);
  if (phase != holder->phase)
    {
      /* A body continues the request that its head has begun. */
      if (phase != AZ_HTTP_BODY || holder->phase != AZ_HTTP_HEAD)
        holder->held_since_ms = now_ms;
      g_queue_unlink (&pool->phases[holder->phase], &holder->link);
      holder->phase = phase;
      holder->since_ms = now_ms;
      g_queue_push_tail_link (&pool->phases[phase], &holder->link);
    }
  add_bytes (holder, bytes);
}

static struct az_http_holder *
first (const struct az_http_pool *pool, enum az_http_phase phase)
{
  return pool->phases[phase].head ? pool->phases[phase].head->data : NULL;
}

bool
az_http_pool_is_closing (const struct az_http_pool *pool)
{
  return first (pool, AZ_HTTP_CUT) != NULL;
}

struct az_http_holder *
az_http_pool_choose_for_room (const struct az_http_pool *pool)
{
  static const enum az_http_phase phases[]
      = { AZ_HTTP_IDLE, AZ_HTTP_HEAD, AZ_HTTP_BODY, AZ_HTTP_ANSWER };
  struct az_http_holder *chosen = first (pool, AZ_HTTP_NEW);

  if (az_http_pool_is_closing (pool))
    return NULL;
  if (chosen)
    return chosen;
  for (size_t i = 0; i < G_N_ELEMENTS (phases); i++)
    {
      struct az_http_holder *holder = first (pool, phases[i]);

      if (holder && (!chosen || holder->since_ms < chosen->since_ms))
        chosen = holder;
    }
  return chosen;
}

struct az_http_holder *
az_http_pool_choose_expired (const struct az_http_pool *pool,
                             const struct az_http_limits *limits,
                             int64_t now_ms,
                             enum az_http_cause *cause)
{
  const struct
  {
    enum az_http_phase phase;
    int64_t timeout_ms;
    enum az_http_cause cause;
  } timeouts[] = {
    { AZ_HTTP_HEAD, limits->head_timeout_ms, AZ_HTTP_CAUSE_HEAD_TIMEOUT },
    { AZ_HTTP_BODY, limits->body_timeout_ms, AZ_HTTP_CAUSE_BODY_TIMEOUT },
    { AZ_HTTP_ANSWER, limits->body_timeout_ms, AZ_HTTP_CAUSE_ANSWER_TIMEOUT },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (timeouts); i++)
    {
      struct az_http_holder *holder = first (pool, timeouts[i].phase);

      if (!holder || now_ms - holder->since_ms < timeouts[i].timeout_ms)
        continue;
      *cause = timeouts[i].cause;
      return holder;
    }
  return NULL;
}

void
az_http_pool_postpone (struct az_http_pool *pool, int64_t by_ms, int64_t now_ms)
{
  for (int phase = 0; phase < AZ_HTTP_N_PHASES; phase++)
    for (GList *link = pool->phases[phase].head; link; link = link->next)
      {
        struct az_http_holder *holder = link->data;

        /* What began after the pause isn't postponed beyond the present. */
        holder->since_ms = MIN (holder->since_ms + by_ms, now_ms);
        holder->held_since_ms = MIN (holder->held_since_ms + by_ms, now_ms);
      }
}

static uint64_t
weight (const struct az_http_holder *holder, int64_t now_ms)
{
  return (uint64_t)holder->bytes * (uint64_t)(now_ms - holder->held_since_ms + 1);
}

static void
choose_heavier (const GQueue *queue, int64_t now_ms, struct az_http_holder **chosen)
{
  for (GList *link = queue->head; link; link = link->next)
    {
      struct az_http_holder *holder = link->data;

      if (holder->bytes > 0 && (!*chosen || weight (holder, now_ms) > weight (*chosen, now_ms)))
        *chosen = holder;
    }
}

struct az_http_holder *
az_http_ledger_choose (const struct az_http_ledger *ledger, size_t bytes_max, int64_t now_ms)
{
  struct az_http_holder *chosen = NULL;

  if (ledger->bytes - ledger->cut_bytes <= bytes_max)
    return NULL;
  for (guint i = 0; i < ledger->pools->len; i++)
    {
      const struct az_http_pool *pool = g_ptr_array_index (ledger->pools, i);

      choose_heavier (&pool->phases[AZ_HTTP_HEAD], now_ms, &chosen);
      choose_heavier (&pool->phases[AZ_HTTP_BODY], now_ms, &chosen);
      choose_heavier (&pool->phases[AZ_HTTP_ANSWER], now_ms, &chosen);
    }
  return chosen;
}

struct az_http_ledger *
az_http_ledger_process (void)
{
  static struct az_http_ledger ledger;

  return &ledger;
}
