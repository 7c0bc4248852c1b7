#include "gateway_rig.h"
#include "testing.h"

#define UPSTREAMS 8
#define ISOLATED 2

/* Tasks that fit on one upstream. */
#define TASKS_PER_UPSTREAM 8

static void
report_crash (struct gateway_rig *rig, uint32_t session, const char *queue)
{
  struct az_message message = { .proc = AZ_NODE_CRASH };

  message.az_message_u.node_crash
      = (struct az_node_crash){ .queue = (char *)queue, .job_id = (char *)"" };
  az_gateway_received (rig->core, session, &message);
  az_gateway_flush (rig->core);
}

static void
announce (struct gateway_rig *rig, uint32_t session, uint64_t life, bool is_open, const char *label)
{
  struct az_message message = { .proc = AZ_NODE_UPSTREAM };
  az_name labels[] = { (char *)label };

  message.az_message_u.node_upstream = (struct az_node_upstream){
    .life = life,
    .open = is_open,
    .service = (char *)"service",
    .capacity = { .cpu_milli = 32000, .memory_mb = 65536 },
    .labels = { label ? 1 : 0, labels },
  };
  az_gateway_received (rig->core, session, &message);
}

static void
run_jobs (struct gateway_rig *rig, const char *route, unsigned n)
{
  for (unsigned i = 0; i < n; i++)
    {
      gateway_rig_submit (rig, 100 + rig->runs->len, route, 1);
      gateway_rig_end_run (rig, rig->runs->len - 1, AZ_TASK_DONE, 100);
    }
}

/* A quarter of the starts is of the queue to which all crashes are blamed. The crashes are far
 * enough apart to have different causes. */
static void
suspect_fast (struct gateway_rig *rig)
{
  run_jobs (rig, "fast", 5);
  run_jobs (rig, "big", 15);
  for (uint32_t session = 1; session <= 6; session++)
    {
      report_crash (rig, session, "fast");
      gateway_rig_advance (rig, 300, 0);
    }
}

/* Bits of the sessions that got a run from index @first on. */
static uint32_t
sessions_of_runs (const struct gateway_rig *rig, guint first)
{
  uint32_t sessions = 0;

  for (guint i = first; i < rig->runs->len; i++)
    sessions |= 1u << gateway_rig_get_run (rig, i)->session;
  return sessions;
}

static uint32_t
submit (struct gateway_rig *rig, uint32_t caller, const char *route, uint32_t n_tasks)
{
  guint first = rig->runs->len;

  gateway_rig_submit (rig, caller, route, n_tasks);
  return sessions_of_runs (rig, first);
}

/* Submits a job of the suspected queue with one task more than fits on the isolated upstreams, and
 * returns their sessions. */
static uint32_t
fill_isolated (struct gateway_rig *rig)
{
  return submit (rig, 1, "fast", ISOLATED * TASKS_PER_UPSTREAM + 1);
}

static void
close_upstreams (struct gateway_rig *rig, uint32_t sessions)
{
  for (uint32_t session = 1; session <= UPSTREAMS; session++)
    if (sessions & (1u << session))
      announce (rig, session, 1, false, NULL);
}

static const struct gateway_answer *
find_answer (const struct gateway_rig *rig, uint32_t caller)
{
  for (guint i = 0; i < rig->answers->len; i++)
    if (g_array_index (rig->answers, struct gateway_answer, i).caller == caller)
      return &g_array_index (rig->answers, struct gateway_answer, i);
  fail ();
  return NULL;
}

/* Guards against a queue that takes down all upstreams, one after the other. */
static void
test_suspected_queue_runs_on_few_upstreams (void **state)
{
  struct gateway_rig *rig = gateway_rig_create (UPSTREAMS);
  guint first;

  (void)state;
  suspect_fast (rig);
  assert_int_equal (gateway_rig_read_counter (rig, "azurerock_gateway_suspected_queues_total"), 1);
  first = rig->runs->len;
  assert_int_equal (__builtin_popcount (fill_isolated (rig)), ISOLATED);
  assert_int_equal (rig->runs->len - first, ISOLATED * TASKS_PER_UPSTREAM);
  gateway_rig_destroy (rig);
}

/* Guards against tasks of other queues that are lost by the crashes of a suspected one, and that
 * take its room. */
static void
test_other_queues_leave_isolated_upstreams (void **state)
{
  struct gateway_rig *rig = gateway_rig_create (UPSTREAMS);
  uint32_t others;

  (void)state;
  suspect_fast (rig);
  others = submit (rig, 2, "big", UPSTREAMS * TASKS_PER_UPSTREAM);
  assert_int_equal (__builtin_popcount (others), UPSTREAMS - ISOLATED);
  assert_int_equal (fill_isolated (rig) & others, 0);
  gateway_rig_destroy (rig);
}

/* Guards against an isolated part that moves on when its upstreams crash, until all have. */
static void
test_closed_upstreams_stay_isolated (void **state)
{
  struct gateway_rig *rig = gateway_rig_create (UPSTREAMS);
  guint n_runs;

  (void)state;
  suspect_fast (rig);
  close_upstreams (rig, fill_isolated (rig));
  n_runs = rig->runs->len;
  gateway_rig_advance (rig, 40, 0);
  gateway_rig_submit (rig, 2, "fast", 1);
  gateway_rig_advance (rig, 40, 0);
  assert_int_equal (rig->runs->len, n_runs);
  gateway_rig_destroy (rig);
}

/* Guards against a suspected queue that isn't served when an isolated upstream is back. */
static void
test_suspected_queue_is_served_when_an_upstream_is_back (void **state)
{
  struct gateway_rig *rig = gateway_rig_create (UPSTREAMS);
  uint32_t isolated;
  uint32_t session;

  (void)state;
  suspect_fast (rig);
  isolated = submit (rig, 1, "fast", ISOLATED * TASKS_PER_UPSTREAM);
  session = (uint32_t)__builtin_ctz (isolated);
  close_upstreams (rig, isolated);
  gateway_rig_advance (rig, 1000, 0);
  gateway_rig_begin_life (rig, session, 2);
  assert_int_equal (submit (rig, 2, "fast", 1), 1u << session);
  gateway_rig_destroy (rig);
}

/* Guards against jobs that wait until their deadline for isolated upstreams that return later,
 * against callers that come back before, and against the answer that a job has not run which has.
 */
static void
test_job_is_refused_while_isolated_upstreams_are_down (void **state)
{
  struct gateway_rig *rig = gateway_rig_create (UPSTREAMS);
  uint32_t isolated;

  (void)state;
  suspect_fast (rig);
  isolated = fill_isolated (rig);
  close_upstreams (rig, isolated);
  gateway_rig_submit (rig, 2, "fast", 1);
  assert_int_equal (gateway_rig_get_outcome (rig, 2), AZ_JOB_NOT_RUN);
  assert_in_range (find_answer (rig, 2)->retry_after_ms, 2500, 4000);
  assert_int_equal (gateway_rig_get_outcome (rig, 1), -1);
  gateway_rig_destroy (rig);
}

/* Guards against callers that are sent away for the time for which an upstream was out of use. */
static void
test_long_closed_upstream_doesnt_count_for_retry_after (void **state)
{
  struct gateway_rig *rig = gateway_rig_create (UPSTREAMS);

  (void)state;
  announce (rig, 1, 1, false, NULL);
  gateway_rig_advance (rig, 60000, 0);
  announce (rig, 1, 2, true, NULL);
  suspect_fast (rig);
  close_upstreams (rig, fill_isolated (rig));
  gateway_rig_submit (rig, 2, "fast", 1);
  assert_int_equal (gateway_rig_get_outcome (rig, 2), AZ_JOB_NOT_RUN);
  assert_in_range (find_answer (rig, 2)->retry_after_ms, 2500, 4000);
  gateway_rig_destroy (rig);
}

/* Guards against jobs of other queues that are refused because isolated upstreams are down. */
static void
test_other_queues_are_served_while_isolated_upstreams_are_down (void **state)
{
  struct gateway_rig *rig = gateway_rig_create (UPSTREAMS);

  (void)state;
  suspect_fast (rig);
  close_upstreams (rig, fill_isolated (rig));
  assert_int_not_equal (submit (rig, 2, "big", 1), 0);
  gateway_rig_destroy (rig);
}

/* Guards against jobs of other queues that have no upstream because the regular ones are closed. */
static void
test_other_queues_use_isolated_upstreams_if_no_other_is_open (void **state)
{
  struct gateway_rig *rig = gateway_rig_create (UPSTREAMS);
  uint32_t isolated;

  (void)state;
  suspect_fast (rig);
  isolated = submit (rig, 1, "fast", 2);
  close_upstreams (rig, ~isolated);
  assert_int_not_equal (submit (rig, 2, "big", 1) & isolated, 0);
  gateway_rig_destroy (rig);
}

static void
submit_labelled (struct gateway_rig *rig, uint32_t caller, const char *path, const char *label)
{
  const struct az_catalog *catalog = az_gateway_catalog (rig->core);
  g_autofree char *id = g_strdup_printf (GATEWAY_RIG_ID, caller);
  struct az_job_request request = { .specification = g_strdup ("spec"), .n_steps = 1 };

  request.steps = g_new0 (struct az_job_step, 1);
  request.steps[0] = (struct az_job_step){ .n_tasks = 1,
                                           .need = { .cpu_milli = 4000, .memory_mb = 64 },
                                           .estimate_ms = 100,
                                           .required_label = g_strdup (label) };
  az_gateway_submit (rig->core, caller, az_catalog_find_route (catalog, "host", path), id, &request,
                     rig->wait_ms);
  az_gateway_flush (rig->core);
}

/* Guards against jobs that starve because the upstreams with the label that they need are all on
 * the other side: whatever upstream has the label, both queues get it. */
static void
test_label_is_found_in_both_parts (void **state)
{
  (void)state;
  for (uint32_t session = 1; session <= UPSTREAMS; session++)
    {
      struct gateway_rig *rig = gateway_rig_create (UPSTREAMS);

      announce (rig, session, 2, true, "disk");
      suspect_fast (rig);
      gateway_rig_advance (rig, 40, 0);
      submit_labelled (rig, 1, "/fast/", "disk");
      submit_labelled (rig, 2, "/big/", "disk");
      assert_int_equal (sessions_of_runs (rig, rig->runs->len - 2), 1u << session);
      gateway_rig_destroy (rig);
    }
}

/* Guards against a queue with nearly all of the work that is left with a quarter of the room. */
static void
test_queue_with_most_of_the_work_keeps_most_upstreams (void **state)
{
  struct gateway_rig *rig = gateway_rig_create (UPSTREAMS);

  (void)state;
  suspect_fast (rig);
  gateway_rig_submit (rig, 3, "fast", 200);
  az_gateway_caller_disconnected (rig->core, 3);
  gateway_rig_advance (rig, 40, 0);
  assert_int_equal (__builtin_popcount (submit (rig, 2, "big", UPSTREAMS * TASKS_PER_UPSTREAM)),
                    ISOLATED);
  gateway_rig_destroy (rig);
}

/* Guards against a queue that is suspected although it makes up all of the load, so that its room
 * would shrink without a gain for others. */
static void
test_only_queue_is_not_suspected (void **state)
{
  struct gateway_rig *rig = gateway_rig_create (UPSTREAMS);

  (void)state;
  run_jobs (rig, "fast", 20);
  for (uint32_t session = 1; session <= UPSTREAMS; session++)
    {
      report_crash (rig, session, "fast");
      gateway_rig_advance (rig, 300, 0);
    }
  assert_int_equal (gateway_rig_read_counter (rig, "azurerock_gateway_suspected_queues_total"), 0);
  gateway_rig_destroy (rig);
}

/* Guards against a service without an upstream for one of its queues. */
static void
test_isolation_leaves_a_single_upstream_to_all (void **state)
{
  struct gateway_rig *rig = gateway_rig_create (UPSTREAMS);

  (void)state;
  suspect_fast (rig);
  for (uint32_t session = 2; session <= UPSTREAMS; session++)
    az_gateway_session_closed (rig->core, session, "closed by the peer");
  gateway_rig_advance (rig, 40, 0);
  assert_int_equal (submit (rig, 1, "fast", 1), 1u << 1);
  assert_int_equal (submit (rig, 2, "big", 1), 1u << 1);
  gateway_rig_destroy (rig);
}

static void
test_isolation_ends (void **state)
{
  struct gateway_rig *rig = gateway_rig_create (UPSTREAMS);

  (void)state;
  suspect_fast (rig);
  gateway_rig_advance (rig, 6100, 0);
  assert_int_equal (__builtin_popcount (submit (rig, 1, "fast", UPSTREAMS * TASKS_PER_UPSTREAM)),
                    UPSTREAMS);
  gateway_rig_destroy (rig);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_suspected_queue_runs_on_few_upstreams),
    cmocka_unit_test (test_other_queues_leave_isolated_upstreams),
    cmocka_unit_test (test_closed_upstreams_stay_isolated),
    cmocka_unit_test (test_suspected_queue_is_served_when_an_upstream_is_back),
    cmocka_unit_test (test_job_is_refused_while_isolated_upstreams_are_down),
    cmocka_unit_test (test_long_closed_upstream_doesnt_count_for_retry_after),
    cmocka_unit_test (test_other_queues_are_served_while_isolated_upstreams_are_down),
    cmocka_unit_test (test_other_queues_use_isolated_upstreams_if_no_other_is_open),
    cmocka_unit_test (test_label_is_found_in_both_parts),
    cmocka_unit_test (test_queue_with_most_of_the_work_keeps_most_upstreams),
    cmocka_unit_test (test_only_queue_is_not_suspected),
    cmocka_unit_test (test_isolation_leaves_a_single_upstream_to_all),
    cmocka_unit_test (test_isolation_ends),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
