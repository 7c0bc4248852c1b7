#include "dispatch/move_decision.h"
#include "dispatch/speed.h"
#include <glib.h>
#include <math.h>

/* A task is moved only if its remaining time exceeds MOVE_GAIN_FACTOR times its run time on another
 * upstream plus MOVE_COST_MS for stopping and starting it. */
#define MOVE_GAIN_FACTOR 1.5
#define MOVE_COST_MS 30

/* Probability that an upstream is slow. One that becomes slow every few minutes is reported as slow
 * within half a second. A report may be wrong where few tasks run. */
#define UNREPORTED_SLOW_PRIOR 0.002
#define REPORTED_SLOW_PRIOR 0.9

/* On a slow upstream, this share of the tasks looks slow: the others began before it became slow,
 * or were estimated too long. */
#define SLOW_SEEN_SHARE 0.9

/* Keeps the probabilities of events that weren't observed above 0. */
#define TAIL_MIN 0.0001

#define BUDGET_SHARE 0.02
#define BUDGET_PERIOD_US 5000000.0

bool
az_move_looks_slow (double projected, double expected)
{
  return projected >= expected * AZ_SLOW_TASK_FACTOR;
}

/* Whether a task ends sooner if it is run again, by a margin that pays for the move. */
static bool
is_gain (double left_here_ms, double run_elsewhere_ms)
{
  return left_here_ms > run_elsewhere_ms * MOVE_GAIN_FACTOR + MOVE_COST_MS;
}

struct az_move_decision
az_move_decide_by_speed (double left_here_ms, double run_elsewhere_ms)
{
  return (struct az_move_decision){
    .verdict = is_gain (left_here_ms, run_elsewhere_ms) ? AZ_MOVE_YES : AZ_MOVE_NO_GAIN,
    .left_here_ms = left_here_ms,
    .left_elsewhere_ms = run_elsewhere_ms + MOVE_COST_MS,
  };
}

/* The progress is a whole number of percent, rounded down, so the projected time is up to twice too
 * long at the start. */
static double
shortest_run_ms (const struct az_move_question *question)
{
  double percent = question->elapsed_ms * 100 / MAX (question->projected_ms, 1);

  return question->elapsed_ms * 100 / (floor (percent + 0.5) + 1);
}

double
az_move_own_ratio (const struct az_move_question *question)
{
  double base_ms = question->is_reported_slow ? question->expected_ms : question->here_ms;

  return shortest_run_ms (question) / MAX (base_ms, 1);
}

/* Probability that the upstream is slow, from its sidecar's report and the progress of the tasks of
 * other jobs. */
static double
probability_slow (const struct az_move_question *question)
{
  double prior = question->is_reported_slow ? REPORTED_SLOW_PRIOR : UNREPORTED_SLOW_PRIOR;
  double seen_if_normal
      = CLAMP (az_run_ratio_tail (question->ratio, AZ_SLOW_TASK_FACTOR), TAIL_MIN, 0.5);
  double odds = prior / (1 - prior) * pow (SLOW_SEEN_SHARE / seen_if_normal, question->n_slow_jobs)
                * pow ((1 - SLOW_SEEN_SHARE) / (1 - seen_if_normal), question->n_normal_jobs);

  return odds / (1 + odds);
}

/* Compares two explanations of a run time of @own_ratio or more: the task, or the upstream. */
static double
probability_long (const struct az_move_question *question, double own_ratio)
{
  double slow = probability_slow (question);
  double by_task = (1 - slow) * MAX (az_run_ratio_tail (question->ratio, own_ratio), TAIL_MIN);
  double by_upstream = slow * MIN (AZ_SLOW_TASK_FACTOR / own_ratio, 1);

  return by_task / (by_task + by_upstream);
}

struct az_move_decision
az_move_decide (const struct az_move_question *question)
{
  double own_ratio = MAX (az_move_own_ratio (question), 0.01);
  double p_long = probability_long (question, own_ratio);
  double run_elsewhere_ms
      = p_long * own_ratio * question->elsewhere_ms + (1 - p_long) * question->elsewhere_ms;
  struct az_move_decision decision = {
    .verdict = AZ_MOVE_YES,
    .p_long = p_long,
    .left_here_ms = shortest_run_ms (question) - question->elapsed_ms,
    .left_elsewhere_ms = run_elsewhere_ms + MOVE_COST_MS,
  };

  if (!is_gain (decision.left_here_ms, question->elsewhere_ms))
    decision.verdict = AZ_MOVE_NO_GAIN;
  else if (!is_gain (decision.left_here_ms, run_elsewhere_ms))
    decision.verdict = AZ_MOVE_LONG;
  return decision;
}

static double
remaining_share (const struct az_move_budget *budget, int64_t now_us)
{
  return exp (-(double)MAX (now_us - budget->updated_us, 0) / BUDGET_PERIOD_US);
}

static void
decay_budget (struct az_move_budget *budget, int64_t now_us)
{
  double share = remaining_share (budget, now_us);

  budget->done_core_s *= share;
  budget->thrown_core_s *= share;
  budget->updated_us = MAX (now_us, budget->updated_us);
}

void
az_move_budget_record_done (struct az_move_budget *budget, int64_t now_us, double core_s)
{
  decay_budget (budget, now_us);
  budget->done_core_s += core_s;
}

void
az_move_budget_record_thrown (struct az_move_budget *budget, int64_t now_us, double core_s)
{
  decay_budget (budget, now_us);
  budget->thrown_core_s += core_s;
}

bool
az_move_budget_allows (const struct az_move_budget *budget, int64_t now_us, double core_s)
{
  double share = remaining_share (budget, now_us);

  return budget->thrown_core_s * share + core_s <= budget->done_core_s * share * BUDGET_SHARE;
}
