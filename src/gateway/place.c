#include "azurerock/log.h"
#include "dispatch/speed.h"
#include "gateway/capacity.h"
#include "gateway/separation.h"
#include "gateway/sessions.h"
#include "gateway/state.h"
#include <string.h>

/* Slow and ejected upstreams get one probe task at a time. Frequent probes by many gateways make
 * many jobs late on a slow upstream, so the interval doubles with each probe and only jobs with
 * slack are used. */
#define PROBE_INTERVAL_MIN_MS 300
#define PROBE_INTERVAL_MAX_MS 2400

/* Cost of an upstream outside the working set: its free resources may be outdated, and a refused
 * task costs time. */
#define STALE_COST_US 8000

/* A probe task that runs slowly is stopped and run again on another upstream. A job is therefore
 * used for a probe only if its critical path, if started now, would end at least this long before
 * its latency objective. */
#define PROBE_SLACK_MIN_MS 180

static uint32_t
count_tasks_on (const struct job *job, size_t step_index, const struct upstream *upstream)
{
  const struct step *step = &job->steps[step_index];
  uint32_t count = 0;

  for (uint32_t i = 0; i < job->request.steps[step_index].n_tasks; i++)
    {
      const struct task *task = &job->tasks[step->first_task + i];

      if (task->state != TASK_WAITING && task->upstream == upstream->handle)
        count++;
    }
  return count;
}

/* Waiting for other hardware pays only for a task that misses its objective on this slow hardware
 * and meets it at normal speed. */
static bool
would_be_late_there (const struct az_gateway *gateway,
                     const struct az_candidates *candidates,
                     const struct job *job,
                     size_t step_index,
                     const struct upstream *upstream)
{
  int64_t left_us = job->objective_us - gateway->now_us;

  if (!candidates->has_normal_hardware || job->request.steps[step_index].required_label
      || !az_gateway_is_slow_hardware (gateway, upstream))
    return false;
  return az_gateway_expected_run_us (gateway, job, step_index, upstream) > left_us
         && az_gateway_expected_run_us (gateway, job, step_index, NULL) <= left_us;
}

static bool
is_eligible (const struct az_gateway *gateway,
             const struct az_candidates *candidates,
             const struct job *job,
             size_t step_index,
             const struct upstream *upstream)
{
  const struct az_job_step *step = &job->request.steps[step_index];

  if (!az_resources_fit (&step->need, &upstream->free))
    return false;
  if (step->required_label
      && !g_ptr_array_find_with_equal_func (upstream->labels, step->required_label, g_str_equal,
                                            NULL))
    return false;
  if (would_be_late_there (gateway, candidates, job, step_index, upstream))
    return false;
  return step->spread_max == 0 || count_tasks_on (job, step_index, upstream) < step->spread_max;
}

static int64_t
probe_interval_ms (const struct upstream *upstream)
{
  return MIN (PROBE_INTERVAL_MIN_MS << MIN (upstream->n_probes, 8), PROBE_INTERVAL_MAX_MS);
}

static bool
has_probe_slack (const struct az_gateway *gateway, const struct job *job)
{
  int64_t slack_us = job->objective_us - job->critical_path_us - gateway->now_us;

  return slack_us >= PROBE_SLACK_MIN_MS * AZ_US_PER_MS;
}

static bool
can_any_regular_run (const struct az_candidates *candidates, const struct az_job_step *step)
{
  for (guint i = 0; i < candidates->regular->len; i++)
    if (az_gateway_can_run_step (step, candidates->regular->pdata[i]))
      return true;
  return false;
}

/* If no upstream in regular use can run the step, the job can only be served by a probe, and only
 * probes show when an upstream is no longer slow. Any job is used then, at the shortest interval.
 */
static bool
can_probe (const struct az_gateway *gateway,
           const struct job *job,
           const struct upstream *upstream,
           bool is_only_way)
{
  int64_t wait_ms = is_only_way ? PROBE_INTERVAL_MIN_MS : probe_interval_ms (upstream);

  return upstream->n_tasks == 0 && (is_only_way || has_probe_slack (gateway, job))
         && gateway->now_us - upstream->last_probed_us >= wait_ms * AZ_US_PER_MS;
}

/* The cost consists of the run time, what interfering queues add to it, the distance and a small
 * term that grows with the load, so that tasks spread over the upstreams. */
static int64_t
placement_cost_us (const struct az_gateway *gateway,
                   const struct job *job,
                   size_t step_index,
                   const struct upstream *upstream)
{
  int64_t run_us = az_gateway_expected_run_us (gateway, job, step_index, upstream);
  int64_t slack_us = job->objective_us - gateway->now_us - run_us;
  int64_t result = run_us;

  /* With this slack the task is expected to end in time on any upstream, so distance matters rather
   * than speed. */
  if (slack_us > run_us / 4)
    result = 0;
  result += az_gateway_separation_cost_us (job->queue, upstream, run_us);
  if (strcmp (upstream->domain, gateway->settings.domain) != 0)
    result += gateway->settings.cross_domain_cost_ms * AZ_US_PER_MS;
  if (!upstream->in_working_set)
    result += STALE_COST_US;
  if (upstream->capacity.cpu_milli > 0)
    result += 1000 - 1000 * (int64_t)upstream->free.cpu_milli / upstream->capacity.cpu_milli;
  return result;
}

static struct upstream *
find_best (const struct az_gateway *gateway,
           const struct az_candidates *candidates,
           const struct job *job,
           size_t step_index,
           uint32_t avoid)
{
  struct upstream *best = NULL;
  int64_t best_cost = INT64_MAX;

  az_counters_add (gateway->counters, gateway->c_examined, candidates->regular->len);
  for (guint i = 0; i < candidates->regular->len; i++)
    {
      struct upstream *upstream = candidates->regular->pdata[i];
      int64_t upstream_cost;

      if (upstream->handle == avoid
          || !is_eligible (gateway, candidates, job, step_index, upstream))
        continue;
      upstream_cost = placement_cost_us (gateway, job, step_index, upstream);
      if (upstream_cost < best_cost)
        {
          best = upstream;
          best_cost = upstream_cost;
        }
    }
  return best;
}

struct upstream *
az_gateway_best_upstream (struct az_gateway *gateway,
                          const struct job *job,
                          size_t step_index,
                          uint32_t avoid)
{
  struct az_candidates candidates;
  struct upstream *best;

  az_candidates_init (&candidates, gateway, job->queue->service, job->pool);
  best = find_best (gateway, &candidates, job, step_index, avoid);
  az_candidates_clear (&candidates);
  return best;
}

static struct upstream *
find_probe (struct az_gateway *gateway,
            const struct az_candidates *candidates,
            const struct job *job,
            size_t step_index)
{
  const struct az_job_step *step = &job->request.steps[step_index];
  bool is_only_way = candidates->probe_only->len > 0 && !can_any_regular_run (candidates, step);

  for (guint i = 0; i < candidates->probe_only->len; i++)
    {
      struct upstream *upstream = candidates->probe_only->pdata[i];

      if (!can_probe (gateway, job, upstream, is_only_way)
          || !is_eligible (gateway, candidates, job, step_index, upstream))
        continue;
      if (az_ejector_is_ejected (gateway->ejector, upstream->handle)
          && !az_ejector_can_start (gateway->ejector, upstream->handle))
        continue;
      upstream->last_probed_us = gateway->now_us;
      upstream->n_probes++;
      return upstream;
    }
  return NULL;
}

static struct upstream *
choose_upstream (struct az_gateway *gateway,
                 struct az_candidates *candidates,
                 const struct job *job,
                 size_t step_index,
                 uint32_t avoid)
{
  struct upstream *upstream;

  if (!az_resources_fit (&job->request.steps[step_index].need, &candidates->max_free))
    return NULL;
  upstream = find_probe (gateway, candidates, job, step_index);
  if (!upstream)
    upstream = find_best (gateway, candidates, job, step_index, avoid);
  if (!upstream && avoid)
    upstream = find_best (gateway, candidates, job, step_index, 0);
  if (!upstream)
    az_candidates_update (candidates);
  return upstream;
}

static void
assign_task (struct az_gateway *gateway,
             struct job *job,
             size_t step_index,
             uint32_t index,
             struct upstream *upstream)
{
  const struct az_resources *need = &job->request.steps[step_index].need;
  struct task *task = &job->tasks[job->steps[step_index].first_task + index];

  az_ejector_record_start (gateway->ejector, upstream->handle);
  if (upstream->n_tasks == 0)
    az_gateway_get_session (gateway, upstream->session)->busy_since_us = gateway->now_us;
  upstream->last_assigned_us = gateway->now_us;
  task->state = TASK_SENT;
  task->upstream = upstream->handle;
  task->attempt++;
  task->sent_us = gateway->now_us;
  task->is_stopping = false;
  task->is_crash_counted = false;
  task->sent_speed = upstream->speed;
  task->own_ratio = 0;
  task->is_move_refused = false;
  job->steps[step_index].n_waiting--;
  job->n_waiting--;
  job->n_in_flight++;
  job->n_started++;
  job->was_placed = true;
  upstream->n_tasks++;
  upstream->used_cpu_milli += need->cpu_milli;
  az_resources_subtract (&upstream->free, need);
  az_gateway_count_separated (gateway, job->queue, upstream);
}

/* Sends the newly assigned tasks of the step on one upstream in one message. */
static void
send_run_message (struct az_gateway *gateway,
                  struct job *job,
                  size_t step_index,
                  struct upstream *upstream,
                  GArray *tasks)
{
  const struct az_job_step *step = &job->request.steps[step_index];
  struct az_message message = { .proc = AZ_NODE_RUN };
  char name[AZ_MAX_NAME];
  char queue[AZ_MAX_NAME + 1];

  g_snprintf (name, sizeof name, "%s.0.%zu", job->id, step_index);
  /* The configuration doesn't bound the names of routes, but the message does. */
  g_strlcpy (queue, job->queue->name, sizeof queue);
  message.az_message_u.node_run = (struct az_node_run){
    .clock_ms
    = az_gateway_peer_clock_ms (gateway, az_gateway_get_session (gateway, upstream->session)),
    .job = job->number,
    .queue = queue,
    .job_id = job->id,
    .step = (u_int)step_index,
    .name = name,
    .specification = { (u_int)strlen (job->request.specification), job->request.specification },
    .need = step->need,
    .expected_ms = (u_int)az_round_ms (az_gateway_expected_run_us (gateway, job, step_index, NULL)),
    .deadline_ms = (u_int)MAX ((job->deadline_us - gateway->now_us) / AZ_US_PER_MS, 0),
    .tasks = { tasks->len, (struct az_run_task *)(void *)tasks->data },
  };
  az_traffic_record (&job->queue->starts, gateway->now_us, &(struct az_traffic_job){ 0 });
  az_gateway_reserve_resources (upstream, &step->need, tasks->len);
  az_log (LOG_INFO,
          "event=place job=%s step=%zu tasks=%u upstream=%s waited_ms=%" G_GINT64_FORMAT
          " free_cpu=%u speed=%.2f left_ms=%" G_GINT64_FORMAT,
          job->id, step_index, tasks->len, upstream->instance,
          (gateway->now_us - job->arrived_us) / AZ_US_PER_MS, upstream->free.cpu_milli,
          upstream->speed, (job->objective_us - gateway->now_us) / AZ_US_PER_MS);
  gateway->io.send (gateway->io.context, upstream->session, &message);
}

static gint
compare_by_upstream (gconstpointer left, gconstpointer right, gpointer data)
{
  const struct task *tasks = data;
  uint32_t a = tasks[((const struct az_run_task *)left)->index].upstream;
  uint32_t b = tasks[((const struct az_run_task *)right)->index].upstream;

  return a < b ? -1 : a > b;
}

/* Sends one run message to each upstream that was assigned tasks. */
static void
send_assigned (struct az_gateway *gateway, struct job *job, size_t step_index, GArray *assigned)
{
  struct task *tasks = &job->tasks[job->steps[step_index].first_task];
  g_autoptr (GArray) group = g_array_new (FALSE, FALSE, sizeof (struct az_run_task));

  g_array_sort_with_data (assigned, compare_by_upstream, tasks);
  for (guint i = 0; i < assigned->len; i++)
    {
      struct az_run_task row = g_array_index (assigned, struct az_run_task, i);
      uint32_t upstream = tasks[row.index].upstream;

      g_array_append_val (group, row);
      if (i + 1 < assigned->len
          && tasks[g_array_index (assigned, struct az_run_task, i + 1).index].upstream == upstream)
        continue;
      send_run_message (gateway, job, step_index, az_gateway_get_upstream (gateway, upstream),
                        group);
      g_array_set_size (group, 0);
    }
}

static void
place_step (struct az_gateway *gateway,
            struct az_candidates *candidates,
            struct job *job,
            size_t step_index)
{
  g_autoptr (GArray) assigned = g_array_new (FALSE, FALSE, sizeof (struct az_run_task));
  const struct step *step = &job->steps[step_index];

  for (uint32_t i = 0; i < job->request.steps[step_index].n_tasks && step->n_waiting > 0; i++)
    {
      struct task *task = &job->tasks[step->first_task + i];
      struct upstream *upstream;
      struct az_run_task row = { .index = i };

      if (task->state != TASK_WAITING)
        continue;
      upstream = choose_upstream (gateway, candidates, job, step_index, task->upstream);
      if (!upstream)
        break;
      assign_task (gateway, job, step_index, i, upstream);
      row.attempt = task->attempt;
      g_array_append_val (assigned, row);
    }
  if (assigned->len > 0)
    send_assigned (gateway, job, step_index, assigned);
}

/* Whether the job has to leave the free cores to other gateways or to more valuable jobs. A job
 * that has begun needs the rest of its tasks, so it doesn't wait. */
static bool
is_held_back (struct az_gateway *gateway, const struct az_candidates *candidates, struct job *job)
{
  struct az_capacity capacity;
  double unprotected;
  double startable;

  if (job->was_placed)
    return false;
  az_gateway_measure_capacity (gateway, candidates, &capacity);
  unprotected = capacity.free_cores - az_gateway_protected_cores (gateway, job->queue, &capacity);
  startable = az_gateway_startable_cores (candidates, job, unprotected);
  return az_gateway_wait_for_share (gateway, job, &capacity, startable) || unprotected < 0;
}

static void
place_job (struct az_gateway *gateway, struct az_candidates *candidates, struct job *job)
{
  for (size_t step = 0; step < job->request.n_steps; step++)
    if (job->steps[step].n_waiting > 0 && az_gateway_is_step_ready (job, step))
      place_step (gateway, candidates, job, step);
}

void
az_gateway_place_tasks (struct az_gateway *gateway, GPtrArray *jobs)
{
  struct az_candidates candidates = { 0 };

  for (guint i = 0; i < jobs->len; i++)
    {
      struct job *job = jobs->pdata[i];

      if (!candidates.service || candidates.pool != job->pool
          || strcmp (candidates.service, job->queue->service) != 0)
        {
          az_candidates_clear (&candidates);
          az_candidates_init (&candidates, gateway, job->queue->service, job->pool);
        }
      if (!is_held_back (gateway, &candidates, job))
        place_job (gateway, &candidates, job);
    }
  az_candidates_clear (&candidates);
}
