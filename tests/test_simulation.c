#include "azurerock/log.h"
#include "sim.h"
#include "testing.h"
#include <stdio.h>
#include <stdlib.h>
#include <sys/wait.h>
#include <unistd.h>

/* Environment: SEED=n runs one seed, SEEDS=a..b a range; TRACE=1 prints events, TRACE=2 also
 * messages. */
#define FIRST_SEED 1
/* Fewer seeds run with sanitizers, which make a run about six times slower. */
#ifdef __SANITIZE_ADDRESS__
#define LAST_SEED 400
#else
#define LAST_SEED 2000
#endif
#define N_PROCESSES 4

static void
read_range (uint64_t *first, uint64_t *last)
{
  const char *seed = getenv ("SEED");
  const char *seeds = getenv ("SEEDS");
  char *rest;

  *first = FIRST_SEED;
  *last = LAST_SEED;
  if (seed)
    *first = *last = strtoull (seed, NULL, 10);
  if (!seeds)
    return;
  *first = strtoull (seeds, &rest, 10);
  *last = *rest ? strtoull (rest + 2, NULL, 10) : *first;
}

/* Runs each @step-th seed of the range; returns the number of seeds with a violation. */
static int
run_part (uint64_t first, uint64_t last, uint64_t step)
{
  struct sim totals = { .trace = getenv ("TRACE") ? atoi (getenv ("TRACE")) : 0 };
  int n_violations = 0;

  for (uint64_t seed = first; seed <= last; seed += step)
    {
      char *violation = sim_run (seed, NULL, &totals);

      if (!violation)
        continue;
      n_violations++;
      printf ("VIOLATION %s\n", violation);
      fflush (stdout);
      g_free (violation);
    }
  printf ("seeds %d..%d step %d: done %u failed %u not run %u unknown %u, %u starts, "
          "%u messages\n",
          (int)first, (int)last, (int)step, totals.n_done, totals.n_failed, totals.n_not_run,
          totals.n_unknown, totals.n_starts, totals.n_messages);
  fflush (stdout);
  return n_violations;
}

/* Guards against a violation of the rules R1 to R9 (see sim.h) under random faults. */
static void
test_schedules (void **state)
{
  pid_t children[N_PROCESSES];
  uint64_t first;
  uint64_t last;
  int failed = 0;

  (void)state;
  read_range (&first, &last);
  if (first == last)
    {
      assert_int_equal (run_part (first, last, 1), 0);
      return;
    }
  fflush (stdout);
  for (int i = 0; i < N_PROCESSES; i++)
    {
      children[i] = fork ();
      if (children[i] == 0)
        _exit (run_part (first + (uint64_t)i, last, N_PROCESSES) != 0);
    }
  for (int i = 0; i < N_PROCESSES; i++)
    {
      int status = 0;

      waitpid (children[i], &status, 0);
      failed += status != 0;
    }
  assert_int_equal (failed, 0);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_schedules),
  };

  az_log_init ("simulation", LOG_ERR);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
