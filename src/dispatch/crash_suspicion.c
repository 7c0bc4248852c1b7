#include "dispatch/crash_suspicion.h"
#include "dispatch/time_us.h"
#include <glib.h>
#include <math.h>
#include <string.h>

/* Age up to which crashes count. A task is started again when its lease on the crashed upstream has
 * ended, 0.8 s later, or when its caller has submitted its job again. */
#define WINDOW_MS 10000

/* Crashes in a failure domain within this time of the last counted one may have one cause, such as
 * a loss of power, and count once. Sidecars notice a crash by their next hold, within some 40 ms.
 */
#define SAME_CAUSE_MS 50

/* Share of the crashes caused by a queue for which it gets the blame. In the other cases another
 * task had started in between. */
#define BLAMED_IF_CAUSE 0.85

/* Share of the crashes after which a job is blamed that was blamed before on another upstream. A
 * task that crashes upstreams is started again until it reaches its limit of crashes. */
#define REPEATED_IF_CAUSE 0.5
#define REPEATED_IF_CHANCE 0.05

/* Shares of the starts are measured at one gateway and differ among gateways. */
#define SHARE_MIN 0.2

/* The least score of a suspected queue: the crashes are 300 times as likely if it causes them. */
#define SCORE_MIN 5.7

/* A queue is suspected only after crashes of this many upstreams, since an upstream may crash again
 * and again by itself, with tasks of a queue that only it can run. */
#define UPSTREAMS_MIN 3

/* A queue stays suspected for this time after the last crash of an isolated upstream. It exceeds
 * the time for which a crashed upstream is usually down, during which it can't crash again. */
#define HOLD_MS 6000

/* A suspicion ends this time after the score was last sufficient even if isolated upstreams crash,
 * since they may do so for other reasons. */
#define UNCONFIRMED_MAX_MS 30000

struct crash
{
  uint32_t upstream;
  uint64_t sidecar;
  uint64_t life;
  char *domain;
  char *queue;
  char *job_id;
  int64_t at_us;
  bool is_isolated;
  bool is_repeated; /* the job was blamed before, on another upstream */
};

struct suspect
{
  int64_t end_us;
  int64_t confirmed_us;
};

struct az_crash_suspicion
{
  GArray *crashes;       /* struct crash, in order of time */
  GHashTable *suspected; /* queue -> struct suspect * */
};

static void
clear_crash (gpointer data)
{
  struct crash *crash = data;

  g_free (crash->domain);
  g_free (crash->queue);
  g_free (crash->job_id);
}

struct az_crash_suspicion *
az_crash_suspicion_create (void)
{
  struct az_crash_suspicion *suspicion = g_new0 (struct az_crash_suspicion, 1);

  suspicion->crashes = g_array_new (FALSE, FALSE, sizeof (struct crash));
  g_array_set_clear_func (suspicion->crashes, clear_crash);
  suspicion->suspected = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return suspicion;
}

void
az_crash_suspicion_destroy (struct az_crash_suspicion *suspicion)
{
  if (!suspicion)
    return;
  g_array_unref (suspicion->crashes);
  g_hash_table_unref (suspicion->suspected);
  g_free (suspicion);
}

static struct crash *
get_crash (const struct az_crash_suspicion *suspicion, guint i)
{
  return &g_array_index (suspicion->crashes, struct crash, i);
}

static void
forget_old_crashes (struct az_crash_suspicion *suspicion, int64_t now_us)
{
  guint n_old = 0;

  while (n_old < suspicion->crashes->len
         && now_us - get_crash (suspicion, n_old)->at_us > WINDOW_MS * AZ_US_PER_MS)
    n_old++;
  if (n_old > 0)
    g_array_remove_range (suspicion->crashes, 0, n_old);
}

static bool
is_recorded (const struct az_crash_suspicion *suspicion, const struct az_blamed_crash *crash)
{
  for (guint i = 0; i < suspicion->crashes->len; i++)
    {
      const struct crash *recorded = get_crash (suspicion, i);

      if (recorded->upstream == crash->upstream && recorded->sidecar == crash->sidecar
          && recorded->life == crash->life)
        return true;
    }
  return false;
}

static bool
has_cause_of_counted_crash (const struct az_crash_suspicion *suspicion,
                            const char *domain,
                            int64_t now_us)
{
  for (guint i = suspicion->crashes->len; i > 0; i--)
    {
      const struct crash *crash = get_crash (suspicion, i - 1);

      if (now_us - crash->at_us >= SAME_CAUSE_MS * AZ_US_PER_MS)
        return false;
      if (!strcmp (crash->domain, domain))
        return true;
    }
  return false;
}

static bool
was_blamed_elsewhere (const struct az_crash_suspicion *suspicion,
                      const struct az_blamed_crash *crash)
{
  for (guint i = 0; crash->job_id[0] && i < suspicion->crashes->len; i++)
    if (get_crash (suspicion, i)->upstream != crash->upstream
        && !strcmp (get_crash (suspicion, i)->job_id, crash->job_id))
      return true;
  return false;
}

static void
add_crash (struct az_crash_suspicion *suspicion,
           const struct az_blamed_crash *blamed,
           int64_t at_us)
{
  const struct crash crash = { .upstream = blamed->upstream,
                               .sidecar = blamed->sidecar,
                               .life = blamed->life,
                               .domain = g_strdup (blamed->domain),
                               .queue = g_strdup (blamed->queue),
                               .job_id = g_strdup (blamed->job_id),
                               .at_us = at_us,
                               .is_isolated = blamed->is_isolated,
                               .is_repeated = was_blamed_elsewhere (suspicion, blamed) };

  g_array_append_val (suspicion->crashes, crash);
}

static bool
is_first_on_upstream (const struct az_crash_suspicion *suspicion, guint at)
{
  const struct crash *crash = get_crash (suspicion, at);

  for (guint i = 0; i < at; i++)
    if (get_crash (suspicion, i)->upstream == crash->upstream
        && !strcmp (get_crash (suspicion, i)->queue, crash->queue))
      return false;
  return true;
}

/* A crash of an isolated upstream says nothing by the queue that is blamed, since the others are
 * not there. */
static double
score_crash (const struct crash *crash, bool is_blamed, double share)
{
  double score = 0;

  if (!crash->is_isolated)
    score = is_blamed ? log (BLAMED_IF_CAUSE / share) : log ((1 - BLAMED_IF_CAUSE) / (1 - share));
  if (is_blamed && crash->is_repeated)
    score += log (REPEATED_IF_CAUSE / REPEATED_IF_CHANCE);
  return score;
}

/* Returns the number of upstreams that crashed with the blame on the queue. */
static unsigned
score_crashes (const struct az_crash_suspicion *suspicion,
               const char *queue,
               double share,
               struct az_crash_verdict *verdict)
{
  /* Beyond the upper bound the blame of a queue with most of the load would prove nothing, or the
   * contrary. */
  double bounded_share = CLAMP (share, SHARE_MIN, BLAMED_IF_CAUSE);
  unsigned n_upstreams = 0;

  verdict->n_crashes = suspicion->crashes->len;
  for (guint i = 0; i < suspicion->crashes->len; i++)
    {
      const struct crash *crash = get_crash (suspicion, i);
      bool is_blamed = !strcmp (crash->queue, queue);

      verdict->score += score_crash (crash, is_blamed, bounded_share);
      verdict->n_blamed += is_blamed;
      verdict->n_repeated += is_blamed && crash->is_repeated;
      n_upstreams += is_blamed && is_first_on_upstream (suspicion, i);
    }
  return n_upstreams;
}

static void
confirm (struct az_crash_suspicion *suspicion, const char *queue, int64_t now_us)
{
  struct suspect *suspect = g_hash_table_lookup (suspicion->suspected, queue);

  if (!suspect)
    {
      suspect = g_new0 (struct suspect, 1);
      g_hash_table_insert (suspicion->suspected, g_strdup (queue), suspect);
    }
  suspect->end_us = now_us + HOLD_MS * AZ_US_PER_MS;
  suspect->confirmed_us = now_us;
}

static void
extend (struct az_crash_suspicion *suspicion, const char *queue, int64_t now_us)
{
  struct suspect *suspect = g_hash_table_lookup (suspicion->suspected, queue);

  if (suspect)
    suspect->end_us = MIN (now_us + HOLD_MS * AZ_US_PER_MS,
                           suspect->confirmed_us + UNCONFIRMED_MAX_MS * AZ_US_PER_MS);
}

struct az_crash_verdict
az_crash_suspicion_record (struct az_crash_suspicion *suspicion,
                           const struct az_blamed_crash *crash,
                           double share,
                           int64_t now_us)
{
  struct az_crash_verdict verdict = { 0 };
  bool was_suspected = az_crash_suspicion_is_suspected (suspicion, crash->queue, now_us);
  unsigned n_upstreams;

  forget_old_crashes (suspicion, now_us);
  if (!crash->queue[0] || is_recorded (suspicion, crash)
      || has_cause_of_counted_crash (suspicion, crash->domain, now_us))
    return verdict;
  add_crash (suspicion, crash, now_us);
  n_upstreams = score_crashes (suspicion, crash->queue, share, &verdict);
  if (n_upstreams >= UPSTREAMS_MIN && verdict.score >= SCORE_MIN)
    confirm (suspicion, crash->queue, now_us);
  else if (was_suspected && crash->is_isolated)
    extend (suspicion, crash->queue, now_us);
  verdict.is_newly_suspected
      = !was_suspected && az_crash_suspicion_is_suspected (suspicion, crash->queue, now_us);
  return verdict;
}

bool
az_crash_suspicion_is_suspected (const struct az_crash_suspicion *suspicion,
                                 const char *queue,
                                 int64_t now_us)
{
  const struct suspect *suspect = g_hash_table_lookup (suspicion->suspected, queue);

  return suspect && now_us < suspect->end_us;
}

bool
az_crash_suspicion_is_any_suspected (const struct az_crash_suspicion *suspicion)
{
  return g_hash_table_size (suspicion->suspected) > 0;
}

char *
az_crash_suspicion_take_cleared (struct az_crash_suspicion *suspicion, int64_t now_us)
{
  GHashTableIter iterator;
  gpointer key;
  gpointer value;

  g_hash_table_iter_init (&iterator, suspicion->suspected);
  while (g_hash_table_iter_next (&iterator, &key, &value))
    if (now_us >= ((const struct suspect *)value)->end_us)
      {
        char *queue = g_strdup (key);

        g_hash_table_iter_remove (&iterator);
        return queue;
      }
  return NULL;
}
