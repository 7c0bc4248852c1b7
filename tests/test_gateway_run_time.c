#include "azurerock/log.h"
#include "dispatch/speed.h"
#include "gateway_rig.h"
#include "testing.h"
#include <math.h>

#define N_UPSTREAMS 4
#define N_ROUNDS 1500
#define N_SETTLING_ROUNDS 200
#define N_JOBS 12
#define RUN_MS 100
#define RUN_SPREAD 0.25

/* Sum of twelve uniform numbers less 6, close to a normal distribution. */
static double
draw_normal (GRand *random)
{
  double sum = -6;

  for (int i = 0; i < 12; i++)
    sum += g_rand_double (random);
  return sum;
}

static uint32_t
draw_run_ms (GRand *random)
{
  return (uint32_t)lround (RUN_MS * exp (RUN_SPREAD * draw_normal (random)));
}

static void
end_run (struct gateway_rig *rig, struct az_speed *speeds, guint index, uint32_t run_ms)
{
  const struct gateway_run *run = gateway_rig_get_run (rig, index);
  struct az_speed *speed = &speeds[run->session];

  az_speed_update (speed, run->job, (int64_t)run->expected_ms * 1000, (int64_t)run_ms * 1000);
  rig->speed[run->session] = az_speed_percent (speed);
  gateway_rig_end_run (rig, index, AZ_TASK_DONE, run_ms);
}

/* Guards against an expected run time that is too short and speeds that are too low by the same
 * factor, although all run times are as estimated: an error of a speed enters the expected time,
 * and that the next speed. */
static void
test_expected_run_time_stays_at_the_estimate (void **state)
{
  struct gateway_rig *rig = gateway_rig_create (N_UPSTREAMS);
  struct az_speed speeds[N_UPSTREAMS + 1];
  GRand *random = g_rand_new_with_seed (1);
  double log_expected = 0;

  (void)state;
  for (unsigned i = 0; i <= N_UPSTREAMS; i++)
    az_speed_init (&speeds[i], false);
  for (uint32_t round = 0; round < N_ROUNDS; round++)
    {
      guint first = rig->runs->len;

      for (uint32_t i = 0; i < N_JOBS; i++)
        gateway_rig_submit (rig, 1 + round * N_JOBS + i, "fast", 1);
      gateway_rig_advance (rig, 20, 0);
      if (round >= N_SETTLING_ROUNDS)
        log_expected += log (gateway_rig_get_run (rig, first)->expected_ms);
      for (guint run = first; run < rig->runs->len; run++)
        end_run (rig, speeds, run, draw_run_ms (random));
    }
  log_expected /= N_ROUNDS - N_SETTLING_ROUNDS;
  assert_in_range (lround (exp (log_expected)), RUN_MS * 95 / 100, RUN_MS * 105 / 100);
  g_rand_free (random);
  gateway_rig_destroy (rig);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_expected_run_time_stays_at_the_estimate),
  };

  az_log_init ("test", LOG_ERR);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
