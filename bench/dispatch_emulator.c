#include "azurerock/log.h"
#include "emulator/emulator.h"
#include <stdio.h>
#include <stdlib.h>

#define TROUBLES_MAX 2

/* A deployment by its name on the command line. */
static struct emulator_scenario
find_deployment (const char *name, double load)
{
  if (!g_strcmp0 (name, "grown"))
    return emulator_theatre_grown (load);
  if (!g_strcmp0 (name, "permits"))
    return emulator_permits (load);
  if (!g_strcmp0 (name, "swap-grown"))
    return emulator_swap_grown (load);
  return emulator_theatre (load);
}

static struct emulator_scenario
with_troubles (double load, const struct emulator_trouble *troubles, const char *deployment)
{
  struct emulator_scenario scenario = find_deployment (deployment, load);

  while (scenario.n_troubles < TROUBLES_MAX && troubles[scenario.n_troubles].to_s > 0)
    {
      scenario.troubles[scenario.n_troubles] = troubles[scenario.n_troubles];
      scenario.n_troubles++;
    }
  return scenario;
}

static void
play (const char *name, const struct emulator_scenario *scenario, unsigned first, unsigned count)
{
  struct emulator_result mean = { 0 };
  double ideal = 0;
  double ideal_window = 0;

  for (unsigned seed = first; seed < first + count; seed++)
    {
      struct emulator_result result = emulator_play (scenario, seed);
      struct emulator_result best = emulator_play_ideal (scenario, seed);

      if (count == 1)
        {
          emulator_print (scenario, &result);
          emulator_print (scenario, &best);
        }
      mean.earned += result.earned / count;
      mean.worst_window += result.worst_window / count;
      mean.n_overlaps += result.n_overlaps;
      mean.n_unanswered += result.n_unanswered;
      ideal += best.earned / count;
      ideal_window += best.worst_window / count;
    }
  printf ("%-28s earned %.3f (ideal %.3f)  worst windows %.3f (ideal %.3f)  overlapping runs %u  "
          "unanswered %u\n",
          name, mean.earned, ideal, mean.worst_window, ideal_window, mean.n_overlaps,
          mean.n_unanswered);
}

int
main (int argc, char **argv)
{
  static const struct
  {
    const char *name;
    double load;
    struct emulator_trouble troubles[TROUBLES_MAX];
  } rows[] = {
    { "quiet", 0.7, { { 0 } } },
    { "busy", 1.0, { { 0 } } },
    { "busy, burst of 1.3", 1.0, { { EMULATOR_BURST, 5, 9, 0, 0, 1.3 } } },
    { "busy, burst of 1.8", 1.0, { { EMULATOR_BURST, 5, 9, 0, 0, 1.8 } } },
    { "busy, a domain withdrawn", 1.0, { { EMULATOR_WITHDRAW, 5, 15, 0, 0, 1 } } },
    { "busy, two slow", 1.0, { { EMULATOR_SLOW, 5, 12, 3, 2, 6.5 } } },
    { "busy, one stands still", 1.0, { { EMULATOR_STALL, 5, 11, 4, 1, 1 } } },
    { "busy, one fails all", 1.0, { { EMULATOR_FAIL, 5, 11, 4, 1, 1 } } },
    { "busy, 5% unanswered", 1.0, { { EMULATOR_UNANSWERED, 5, 11, 0, 0, 0.05 } } },
    { "busy, five of eleven left",
      1.0,
      { { EMULATOR_WITHDRAW, 5, 15, 0, 0, 1 }, { EMULATOR_CRASH, 4, 15, 1, 3, 1 } } },
    { "busy, two crash", 1.0, { { EMULATOR_CRASH, 5, 9, 5, 2, 1 } } },
  };
  unsigned first = argc > 1 ? (unsigned)atoi (argv[1]) : 1;
  unsigned count = argc > 2 ? (unsigned)atoi (argv[2]) : 5;
  const char *deployment = argc > 3 ? argv[3] : "theatre";

  az_log_init ("dispatch_emulator", LOG_ERR);
  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      struct emulator_scenario scenario
          = with_troubles (rows[i].load, rows[i].troubles, deployment);

      play (rows[i].name, &scenario, first, count);
    }
  return 0;
}
