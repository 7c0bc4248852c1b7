#include "dispatch/interference.h"
#include <glib.h>
#include <stdlib.h>
#include <string.h>

/* A job is recorded when none of its tasks has ended for this time. */
#define JOB_WAIT_US 1000000

/* Tens of jobs end on an upstream within JOB_WAIT_US. */
#define JOBS_MAX 128

/* Effects of less weight are left out. They change no decision: their standard error is 1.6. */
#define WEIGHT_MIN 0.1

#define PAIRS_MAX (AZ_MAX_KINDS * AZ_MAX_KINDS)

G_STATIC_ASSERT (AZ_MAX_KINDS <= AZ_EFFECTS_MAX);

/* Parts of the cores in use at which the strata begin. */
static const double strata[] = { 0, 0.5, 0.8 };

G_STATIC_ASSERT (G_N_ELEMENTS (strata) == AZ_EFFECT_STRATA);

/* Sums over the tasks of one job that have ended; @n_tasks is 0 if the place is free. */
struct job
{
  uint64_t key;
  unsigned kind;
  unsigned n_tasks;
  double beside[AZ_EFFECTS_MAX];
  double load;
  double log_ratio;
  int64_t updated_us;
};

struct az_interference
{
  struct az_effect_moments kinds[AZ_MAX_KINDS];
  uint32_t ids[AZ_MAX_KINDS];
  struct job jobs[JOBS_MAX];
  uint64_t revision;
};

struct az_interference *
az_interference_create (void)
{
  return g_new0 (struct az_interference, 1);
}

void
az_interference_destroy (struct az_interference *interference)
{
  g_free (interference);
}

void
az_interference_reset (struct az_interference *interference)
{
  *interference = (struct az_interference){ .revision = interference->revision };
}

static unsigned
stratum_of (double load)
{
  unsigned stratum = AZ_EFFECT_STRATA - 1;

  while (stratum > 0 && load < strata[stratum])
    stratum--;
  return stratum;
}

static void
finish_job (struct az_interference *interference, struct job *job, int64_t now_us)
{
  for (unsigned i = 0; i < AZ_EFFECTS_MAX; i++)
    job->beside[i] /= job->n_tasks;
  az_effect_moments_record (&interference->kinds[job->kind], stratum_of (job->load / job->n_tasks),
                            job->beside, job->log_ratio / job->n_tasks, now_us);
  job->n_tasks = 0;
  interference->revision++;
}

static void
finish_due_jobs (struct az_interference *interference, int64_t now_us)
{
  for (unsigned i = 0; i < JOBS_MAX; i++)
    {
      struct job *job = &interference->jobs[i];

      if (job->n_tasks > 0 && now_us - job->updated_us >= JOB_WAIT_US)
        finish_job (interference, job, now_us);
    }
}

static void
forget_kind (struct az_interference *interference, unsigned index)
{
  interference->kinds[index] = (struct az_effect_moments){ 0 };
  for (unsigned i = 0; i < AZ_MAX_KINDS; i++)
    az_effect_moments_forget (&interference->kinds[i], index);
  for (unsigned i = 0; i < JOBS_MAX; i++)
    {
      interference->jobs[i].beside[index] = 0;
      if (interference->jobs[i].kind == index)
        interference->jobs[i].n_tasks = 0;
    }
}

void
az_interference_set_kinds (struct az_interference *interference, const uint32_t ids[AZ_MAX_KINDS])
{
  for (unsigned i = 0; i < AZ_MAX_KINDS; i++)
    {
      if (interference->ids[i] == ids[i])
        continue;
      if (interference->ids[i] > 0)
        forget_kind (interference, i);
      interference->ids[i] = ids[i];
    }
}

static struct job *
get_or_add_job (struct az_interference *interference, uint64_t key, unsigned kind, int64_t now_us)
{
  struct job *oldest = &interference->jobs[0];

  for (unsigned i = 0; i < JOBS_MAX; i++)
    {
      struct job *job = &interference->jobs[i];

      if (job->n_tasks > 0 && job->key == key && job->kind == kind)
        return job;
      if (oldest->n_tasks > 0 && (job->n_tasks == 0 || job->updated_us < oldest->updated_us))
        oldest = job;
    }
  if (oldest->n_tasks > 0)
    finish_job (interference, oldest, now_us);
  *oldest = (struct job){ .key = key, .kind = kind };
  return oldest;
}

void
az_interference_record (struct az_interference *interference,
                        uint64_t job_key,
                        const struct az_overlap *overlap,
                        double log_ratio,
                        int64_t now_us)
{
  struct job *job;

  az_interference_set_kinds (interference, overlap->ids);
  finish_due_jobs (interference, now_us);
  job = get_or_add_job (interference, job_key, overlap->kind, now_us);
  job->n_tasks++;
  job->load += overlap->load;
  job->log_ratio += log_ratio;
  job->updated_us = now_us;
  for (unsigned i = 0; i < AZ_MAX_KINDS; i++)
    job->beside[i] += overlap->beside[i];
}

uint64_t
az_interference_revision (const struct az_interference *interference)
{
  return interference->revision;
}

static gint
compare_weight (gconstpointer left, gconstpointer right)
{
  const struct az_interference_effect *a = left;
  const struct az_interference_effect *b = right;

  return a->weight > b->weight ? -1 : a->weight < b->weight;
}

/* Returns the number of effects on tasks of the kind that were added to @list. */
static unsigned
list_effects_on (const struct az_interference *interference,
                 unsigned kind,
                 int64_t now_us,
                 struct az_interference_effect *list)
{
  struct az_effect effects[AZ_EFFECTS_MAX];
  unsigned n = 0;

  az_effect_moments_solve (&interference->kinds[kind], now_us, effects);
  for (unsigned i = 0; i < AZ_MAX_KINDS; i++)
    if (i != kind && interference->ids[i] > 0 && effects[i].weight >= WEIGHT_MIN)
      list[n++] = (struct az_interference_effect){
        .slowed = kind, .beside = i, .weight = effects[i].weight, .effect = effects[i].value
      };
  return n;
}

unsigned
az_interference_list (struct az_interference *interference,
                      int64_t now_us,
                      struct az_interference_effect *effects,
                      unsigned n_max)
{
  struct az_interference_effect all[PAIRS_MAX];
  unsigned n = 0;

  finish_due_jobs (interference, now_us);
  for (unsigned kind = 0; kind < AZ_MAX_KINDS; kind++)
    if (interference->ids[kind] > 0)
      n += list_effects_on (interference, kind, now_us, all + n);
  if (n == 0)
    return 0;
  qsort (all, n, sizeof all[0], compare_weight);
  n = MIN (n, n_max);
  memcpy (effects, all, n * sizeof all[0]);
  return n;
}
