#include "emulator/world.h"

static bool
is_running (unsigned running, unsigned kind)
{
  return running & 1u << kind;
}

double
emu_interference_factor (const struct emulator_scenario *scenario, unsigned kind, unsigned running)
{
  double factor = 1;

  for (unsigned i = 0; i < scenario->n_interferences; i++)
    {
      const struct emulator_interference *pair = &scenario->interferences[i];

      if ((pair->first == kind && is_running (running, pair->second))
          || (pair->second == kind && is_running (running, pair->first)))
        factor *= pair->factor;
    }
  return factor;
}
