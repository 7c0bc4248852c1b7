#include "azurerock/team_queue.h"
#include <glib.h>

/* A job with waiting tasks. It is queued with the other waiting jobs of the same team and group
 * (see struct lane); the caller puts tasks that can run on the same upstreams into one group. */
struct waiting_job
{
  GList link;
  uint32_t job;
  uint32_t team;
  uint32_t group;
  uint32_t tasks;
};

/* A lane: the waiting jobs of one team and group in arrival order. The tasks of one group can run
 * on the same upstreams. */
struct lane
{
  GQueue jobs;
  uint32_t tasks;
};

struct team
{
  uint32_t weight;
  uint32_t max_waiting;
  uint32_t slot_limit;
  uint32_t waiting;
  uint32_t running;
  uint64_t last_pop; /* number of the last pop; breaks ties of running / weight */
  GPtrArray *lanes;  /* struct lane by group */
};

struct az_team_queue
{
  GPtrArray *teams; /* struct team by index; NULL for unused indexes */
  GHashTable *jobs; /* job handle to struct waiting_job */
  uint64_t n_pops;
};

static void
free_team (void *data)
{
  struct team *team = data;

  if (!team)
    return;
  g_ptr_array_unref (team->lanes);
  g_free (team);
}

struct az_team_queue *
az_team_queue_create (void)
{
  struct az_team_queue *queue = g_new0 (struct az_team_queue, 1);

  queue->teams = g_ptr_array_new_with_free_func (free_team);
  queue->jobs = g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL, g_free);
  return queue;
}

void
az_team_queue_destroy (struct az_team_queue *queue)
{
  if (!queue)
    return;
  g_ptr_array_unref (queue->teams);
  g_hash_table_unref (queue->jobs);
  g_free (queue);
}

static struct team *
find_team (const struct az_team_queue *queue, uint32_t team)
{
  return team < queue->teams->len ? queue->teams->pdata[team] : NULL;
}

static struct lane *
find_lane (const struct team *team, uint32_t group)
{
  return group < team->lanes->len ? team->lanes->pdata[group] : NULL;
}

static struct team *
add_team (struct az_team_queue *queue, uint32_t index)
{
  struct team *team = g_new0 (struct team, 1);

  team->lanes = g_ptr_array_new_with_free_func (g_free);
  if (index >= queue->teams->len)
    g_ptr_array_set_size (queue->teams, (int)index + 1);
  queue->teams->pdata[index] = team;
  return team;
}

static struct lane *
add_lane (struct team *team, uint32_t group)
{
  struct lane *lane = g_new0 (struct lane, 1);

  g_queue_init (&lane->jobs);
  if (group >= team->lanes->len)
    g_ptr_array_set_size (team->lanes, (int)group + 1);
  team->lanes->pdata[group] = lane;
  return lane;
}

void
az_team_queue_set_team (struct az_team_queue *queue,
                        uint32_t team,
                        uint32_t weight,
                        uint32_t max_waiting,
                        uint32_t slot_limit)
{
  struct team *row = find_team (queue, team);

  if (!row)
    row = add_team (queue, team);
  row->weight = MAX (weight, 1);
  row->max_waiting = max_waiting;
  row->slot_limit = slot_limit;
}

void
az_team_queue_set_slot_limit (struct az_team_queue *queue, uint32_t team, uint32_t slot_limit)
{
  struct team *row = find_team (queue, team);

  if (row)
    row->slot_limit = slot_limit;
}

static struct waiting_job *
find_job (const struct az_team_queue *queue, uint32_t job)
{
  return g_hash_table_lookup (queue->jobs, GUINT_TO_POINTER (job));
}

static struct waiting_job *
add_job (struct az_team_queue *queue, uint32_t team, uint32_t group, uint32_t job)
{
  struct waiting_job *row = g_new0 (struct waiting_job, 1);

  row->link.data = row;
  row->job = job;
  row->team = team;
  row->group = group;
  g_hash_table_insert (queue->jobs, GUINT_TO_POINTER (job), row);
  return row;
}

static struct lane *
get_or_add_lane (struct team *team, uint32_t group)
{
  struct lane *lane = find_lane (team, group);

  return lane ? lane : add_lane (team, group);
}

static void
add_tasks (struct team *team, struct lane *lane, struct waiting_job *job, uint32_t tasks)
{
  job->tasks += tasks;
  lane->tasks += tasks;
  team->waiting += tasks;
}

bool
az_team_queue_push (struct az_team_queue *queue,
                    uint32_t team,
                    uint32_t group,
                    uint32_t job,
                    uint32_t tasks)
{
  struct team *row = find_team (queue, team);
  struct waiting_job *waiting = find_job (queue, job);
  struct lane *lane;

  if (!row || (uint64_t)row->waiting + tasks > row->max_waiting)
    return false;
  if (!tasks)
    return true;
  lane = get_or_add_lane (row, group);
  if (!waiting)
    {
      waiting = add_job (queue, team, group, job);
      g_queue_push_tail_link (&lane->jobs, &waiting->link);
    }
  add_tasks (row, lane, waiting, tasks);
  return true;
}

void
az_team_queue_push_front (struct az_team_queue *queue, uint32_t team, uint32_t group, uint32_t job)
{
  struct team *row = find_team (queue, team);
  struct waiting_job *waiting = find_job (queue, job);
  struct lane *lane;

  if (!row)
    return;
  lane = get_or_add_lane (row, group);
  if (!waiting)
    {
      waiting = add_job (queue, team, group, job);
      g_queue_push_head_link (&lane->jobs, &waiting->link);
    }
  add_tasks (row, lane, waiting, 1);
  az_team_queue_record_finish (queue, team);
}

/* Whether @a has fewer running tasks per weight than @b or, if equal, the earlier last pop. */
static bool
has_precedence (const struct team *a, const struct team *b)
{
  uint64_t a_share = (uint64_t)a->running * b->weight;
  uint64_t b_share = (uint64_t)b->running * a->weight;

  if (a_share != b_share)
    return a_share < b_share;
  return a->last_pop < b->last_pop;
}

/* Scans the teams but not the jobs. The scan is cheap because there are few teams: the design size
 * is 21. */
static struct team *
next_team (const struct az_team_queue *queue, uint32_t group, uint32_t *index)
{
  struct team *best = NULL;

  for (uint32_t i = 0; i < queue->teams->len; i++)
    {
      struct team *team = queue->teams->pdata[i];
      struct lane *lane = team ? find_lane (team, group) : NULL;

      if (!lane || !lane->tasks || team->running >= team->slot_limit)
        continue;
      if (best && !has_precedence (team, best))
        continue;
      best = team;
      *index = i;
    }
  return best;
}

static void
remove_job (struct az_team_queue *queue, struct lane *lane, struct waiting_job *job)
{
  g_queue_unlink (&lane->jobs, &job->link);
  g_hash_table_remove (queue->jobs, GUINT_TO_POINTER (job->job));
}

uint32_t
az_team_queue_pop (struct az_team_queue *queue, uint32_t group, uint32_t *team)
{
  uint32_t index = 0;
  struct team *row = next_team (queue, group, &index);
  struct waiting_job *waiting;
  struct lane *lane;
  uint32_t job;

  if (!row)
    return 0;
  lane = find_lane (row, group);
  waiting = g_queue_peek_head (&lane->jobs);
  job = waiting->job;
  waiting->tasks--;
  lane->tasks--;
  row->waiting--;
  row->running++;
  row->last_pop = ++queue->n_pops;
  if (!waiting->tasks)
    remove_job (queue, lane, waiting);
  if (team)
    *team = index;
  return job;
}

void
az_team_queue_record_finish (struct az_team_queue *queue, uint32_t team)
{
  struct team *row = find_team (queue, team);

  if (row && row->running)
    row->running--;
}

uint32_t
az_team_queue_remove (struct az_team_queue *queue, uint32_t team, uint32_t group, uint32_t job)
{
  struct team *row = find_team (queue, team);
  struct waiting_job *waiting = find_job (queue, job);
  struct lane *lane;
  uint32_t tasks;

  if (!row || !waiting || waiting->team != team || waiting->group != group)
    return 0;
  lane = find_lane (row, group);
  tasks = waiting->tasks;
  lane->tasks -= tasks;
  row->waiting -= tasks;
  remove_job (queue, lane, waiting);
  return tasks;
}

uint32_t
az_team_queue_waiting (const struct az_team_queue *queue, uint32_t team)
{
  const struct team *row = find_team (queue, team);

  return row ? row->waiting : 0;
}

uint32_t
az_team_queue_running (const struct az_team_queue *queue, uint32_t team)
{
  const struct team *row = find_team (queue, team);

  return row ? row->running : 0;
}

uint32_t
az_team_queue_runnable (const struct az_team_queue *queue, uint32_t group)
{
  uint32_t runnable = 0;

  for (uint32_t i = 0; i < queue->teams->len; i++)
    {
      const struct team *team = queue->teams->pdata[i];
      const struct lane *lane = team ? find_lane (team, group) : NULL;

      if (lane && team->running < team->slot_limit)
        runnable += MIN (lane->tasks, team->slot_limit - team->running);
    }
  return runnable;
}
