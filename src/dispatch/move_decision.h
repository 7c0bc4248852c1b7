#ifndef AZUREROCK_DISPATCH_MOVE_DECISION_H
#define AZUREROCK_DISPATCH_MOVE_DECISION_H

#include "dispatch/run_ratio.h"
#include <stdbool.h>
#include <stdint.h>

/** az_move_looks_slow - whether a task is so slow that a move is considered at all; the run times
 * are in any unit */
bool
az_move_looks_slow (double projected, double expected);

/**
 * struct az_move_question - a task that looks slow, and the two upstreams
 * @projected_ms: whole run time as projected from @elapsed_ms and a progress in whole percent
 * @expected_ms: expected run time on an upstream of normal speed
 * @here_ms: expected run time at the reported speed of the present upstream
 * @elsewhere_ms: expected run time on the other upstream
 * @is_reported_slow: the sidecar reports that the present upstream is slow
 * @n_slow_jobs: other jobs with a task on the present upstream that looks slow
 * @n_normal_jobs: other jobs whose tasks there make normal progress
 * @ratio: distribution of the task's queue
 */
struct az_move_question
{
  double elapsed_ms;
  double projected_ms;
  double expected_ms;
  double here_ms;
  double elsewhere_ms;
  bool is_reported_slow;
  unsigned n_slow_jobs;
  unsigned n_normal_jobs;
  const struct az_run_ratio *ratio;
};

enum az_move_verdict
{
  AZ_MOVE_YES,
  AZ_MOVE_NO_GAIN, /* wouldn't end sooner elsewhere even if the upstream is slow */
  AZ_MOVE_LONG,    /* the task is probably long, and would be elsewhere too */
};

/**
 * struct az_move_decision
 * @p_long: probability that the task is long, rather than its upstream slow
 * @left_here_ms: expected time to the end on the present upstream
 * @left_elsewhere_ms: expected time to the end after a move
 */
struct az_move_decision
{
  enum az_move_verdict verdict;
  double p_long;
  double left_here_ms;
  double left_elsewhere_ms;
};

/** az_move_own_ratio - lower bound of the run time of a task, as a multiple of the expected one at
 * the speed of its upstream */
double
az_move_own_ratio (const struct az_move_question *question);

/** az_move_decide_by_speed - decides as if a slow task were always the fault of its upstream */
struct az_move_decision
az_move_decide_by_speed (double left_here_ms, double run_elsewhere_ms);

/** az_move_decide - decides in view of both explanations */
struct az_move_decision
az_move_decide (const struct az_move_question *question);

/** struct az_move_budget - work done and thrown away in the last seconds; starts zeroed */
struct az_move_budget
{
  double done_core_s;
  double thrown_core_s;
  int64_t updated_us;
};

void
az_move_budget_record_done (struct az_move_budget *budget, int64_t now_us, double core_s);
void
az_move_budget_record_thrown (struct az_move_budget *budget, int64_t now_us, double core_s);

/** az_move_budget_allows - whether this work may be thrown away, too */
bool
az_move_budget_allows (const struct az_move_budget *budget, int64_t now_us, double core_s);

#endif
