#include "gateway/interference.h"
#include "azurerock/log.h"
#include "dispatch/effect_moments.h"
#include <math.h>
#include <string.h>

#define UPDATE_INTERVAL_MS 1000

/* For how long the evidence of a lost session counts. */
#define LOST_EVIDENCE_MS 30000

/* A sidecar sends nothing while its evidence doesn't change, so the gateway lets it decay with the
 * half-life that sidecars use. */
#define HALF_LIFE_S 60.0

/* Bounds the memory if sidecars report ever new names. */
#define PAIRS_MAX 4096

struct row
{
  struct az_interfering_pair *pair;
  double weight;
  double effect;
};

/* Evidence of one upstream; @lost_us is 0 while its session is open. */
struct az_upstream_evidence
{
  int64_t received_us;
  int64_t lost_us;
  unsigned n_rows;
  struct row rows[AZ_MAX_KINDS * AZ_MAX_KINDS];
};

struct az_gateway_interference
{
  GHashTable *pairs; /* key -> struct az_interfering_pair * */
  int64_t updated_us;
  uint32_t c_malformed;
  uint32_t c_interfering;
};

static void
free_pair (gpointer value)
{
  struct az_interfering_pair *pair = value;

  g_free (pair->service);
  g_free (pair->slowed);
  g_free (pair->beside);
  g_free (pair);
}

void
az_gateway_open_interference (struct az_gateway *gateway)
{
  struct az_gateway_interference *state = g_new0 (struct az_gateway_interference, 1);

  state->pairs = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_pair);
  state->c_malformed = az_counters_register (
      gateway->counters, "azurerock_gateway_interference_malformed_total",
      "Messages of sidecars about interference that were ignored as malformed");
  state->c_interfering
      = az_counters_register (gateway->counters, "azurerock_gateway_interfering_pairs",
                              "Ordered pairs of queues that count as interfering");
  gateway->interference = state;
}

void
az_gateway_close_interference (struct az_gateway *gateway)
{
  g_hash_table_unref (gateway->interference->pairs);
  g_free (gateway->interference);
}

static bool
has_valid_kinds (const struct az_node_interference *message)
{
  for (u_int i = 0; i < message->kinds.kinds_len; i++)
    {
      if (!message->kinds.kinds_val[i][0])
        return false;
      for (u_int j = 0; j < i; j++)
        if (!strcmp (message->kinds.kinds_val[i], message->kinds.kinds_val[j]))
          return false;
    }
  return true;
}

static bool
has_valid_rows (const struct az_node_interference *message)
{
  uint64_t seen = 0;

  for (u_int i = 0; i < message->rows.rows_len; i++)
    {
      const struct az_interference_row *row = &message->rows.rows_val[i];
      uint64_t bit;

      if (row->slowed >= message->kinds.kinds_len || row->beside >= message->kinds.kinds_len
          || row->slowed == row->beside)
        return false;
      bit = (uint64_t)1 << (row->slowed * AZ_MAX_KINDS + row->beside);
      if (seen & bit)
        return false;
      seen |= bit;
    }
  return true;
}

/* An effect is a slope per unit of overlap, so that an estimate can be beyond the factor at which
 * single ratios are limited. */
static double
bounded_effect (int effect_milli)
{
  return CLAMP (effect_milli / 1000.0, -log (AZ_EFFECT_RATIO_MAX), log (AZ_EFFECT_RATIO_MAX));
}

/* Returns NULL if there are too many pairs. */
static struct az_interfering_pair *
get_or_add_pair (struct az_gateway_interference *state,
                 const char *service,
                 const char *slowed,
                 const char *beside)
{
  g_autofree char *key = g_strdup_printf ("%s\n%s\n%s", service, slowed, beside);
  struct az_interfering_pair *pair = g_hash_table_lookup (state->pairs, key);

  if (pair || g_hash_table_size (state->pairs) >= PAIRS_MAX)
    return pair;
  pair = g_new0 (struct az_interfering_pair, 1);
  pair->service = g_strdup (service);
  pair->slowed = g_strdup (slowed);
  pair->beside = g_strdup (beside);
  g_hash_table_insert (state->pairs, g_steal_pointer (&key), pair);
  return pair;
}

static void
add_row (struct az_gateway_interference *state,
         const struct upstream *upstream,
         const struct az_node_interference *message,
         const struct az_interference_row *row)
{
  struct az_upstream_evidence *evidence = upstream->evidence;
  struct az_interfering_pair *pair
      = get_or_add_pair (state, upstream->service, message->kinds.kinds_val[row->slowed],
                         message->kinds.kinds_val[row->beside]);

  if (!pair)
    return;
  pair->n_rows++;
  evidence->rows[evidence->n_rows++] = (struct row){ .pair = pair,
                                                     .weight = row->weight_milli / 1000.0,
                                                     .effect = bounded_effect (row->effect_milli) };
}

void
az_gateway_handle_interference (struct az_gateway *gateway,
                                struct upstream *upstream,
                                const struct az_node_interference *message)
{
  struct az_gateway_interference *state = gateway->interference;

  if (!has_valid_kinds (message) || !has_valid_rows (message))
    {
      az_counters_add (gateway->counters, state->c_malformed, 1);
      return;
    }
  if (message->life != upstream->life || !upstream->is_described)
    return;
  az_gateway_forget_interference (upstream);
  upstream->evidence = g_new0 (struct az_upstream_evidence, 1);
  upstream->evidence->received_us = gateway->now_us;
  for (u_int i = 0; i < message->rows.rows_len; i++)
    add_row (state, upstream, message, &message->rows.rows_val[i]);
}

void
az_gateway_forget_interference (struct upstream *upstream)
{
  if (!upstream->evidence)
    return;
  for (unsigned i = 0; i < upstream->evidence->n_rows; i++)
    upstream->evidence->rows[i].pair->n_rows--;
  g_clear_pointer (&upstream->evidence, g_free);
}

static void
expire_evidence (const struct az_gateway *gateway, struct upstream *upstream)
{
  struct az_upstream_evidence *evidence = upstream->evidence;

  if (upstream->session)
    evidence->lost_us = 0;
  else if (evidence->lost_us == 0)
    evidence->lost_us = gateway->now_us;
  else if (gateway->now_us - evidence->lost_us >= LOST_EVIDENCE_MS * AZ_US_PER_MS)
    az_gateway_forget_interference (upstream);
}

static void
add_evidence (const struct az_gateway *gateway, const struct az_upstream_evidence *evidence)
{
  double age_s = (double)(gateway->now_us - evidence->received_us) / 1e6;
  double kept = exp2 (-age_s / HALF_LIFE_S);

  for (unsigned i = 0; i < evidence->n_rows; i++)
    {
      const struct row *row = &evidence->rows[i];

      if (row->weight > 0)
        az_effect_sum_add (&row->pair->sum, row->effect, row->weight * kept);
    }
}

static void
sum_evidence (const struct az_gateway *gateway)
{
  GHashTableIter iterator;
  gpointer value;

  g_hash_table_iter_init (&iterator, gateway->interference->pairs);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    ((struct az_interfering_pair *)value)->sum = (struct az_effect_sum){ 0 };
  for (guint i = 0; i < gateway->upstreams->len; i++)
    {
      struct upstream *upstream = gateway->upstreams->pdata[i];

      if (upstream->evidence)
        expire_evidence (gateway, upstream);
      if (upstream->evidence)
        add_evidence (gateway, upstream->evidence);
    }
}

static void
log_decision (const struct az_interfering_pair *pair)
{
  az_log (LOG_NOTICE,
          "event=interference service=%s slowed=%s beside=%s factor=%.2f standard_error=%.3f "
          "weight=%.1f upstreams=%u outcome=%s",
          pair->service, pair->slowed, pair->beside, pair->decision.factor,
          pair->decision.standard_error, pair->sum.weight, pair->sum.n,
          pair->decision.is_interfering ? "interfering" : "ceased");
}

static void
decide_pairs (struct az_gateway *gateway)
{
  GHashTableIter iterator;
  gpointer value;
  uint64_t n_interfering = 0;

  g_hash_table_iter_init (&iterator, gateway->interference->pairs);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      struct az_interfering_pair *pair = value;

      if (az_interference_decide (&pair->decision, &pair->sum, gateway->now_us))
        log_decision (pair);
      n_interfering += pair->decision.is_interfering;
      if (pair->n_rows == 0 && !pair->decision.is_interfering)
        g_hash_table_iter_remove (&iterator);
    }
  az_counters_set (gateway->counters, gateway->interference->c_interfering, n_interfering);
}

void
az_gateway_update_interference (struct az_gateway *gateway)
{
  struct az_gateway_interference *state = gateway->interference;

  if (gateway->now_us - state->updated_us < UPDATE_INTERVAL_MS * AZ_US_PER_MS
      || g_hash_table_size (state->pairs) == 0)
    return;
  state->updated_us = gateway->now_us;
  sum_evidence (gateway);
  decide_pairs (gateway);
}

GPtrArray *
az_gateway_list_interfering (const struct az_gateway *gateway)
{
  GPtrArray *list = g_ptr_array_new ();
  GHashTableIter iterator;
  gpointer value;

  g_hash_table_iter_init (&iterator, gateway->interference->pairs);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    if (((const struct az_interfering_pair *)value)->decision.is_interfering)
      g_ptr_array_add (list, value);
  return list;
}
