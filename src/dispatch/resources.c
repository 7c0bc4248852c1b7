#include "azurerock/resources.h"
#include <glib.h>

bool
az_resources_fit (const struct az_resources *need, const struct az_resources *available)
{
  return need->cpu_milli <= available->cpu_milli && need->memory_mb <= available->memory_mb
         && need->accelerators <= available->accelerators;
}

void
az_resources_add (struct az_resources *to, const struct az_resources *amount)
{
  to->cpu_milli += amount->cpu_milli;
  to->memory_mb += amount->memory_mb;
  to->accelerators += amount->accelerators;
}

void
az_resources_raise (struct az_resources *to, const struct az_resources *other)
{
  to->cpu_milli = MAX (to->cpu_milli, other->cpu_milli);
  to->memory_mb = MAX (to->memory_mb, other->memory_mb);
  to->accelerators = MAX (to->accelerators, other->accelerators);
}

static void
subtract_clamped (u_int *from, u_int amount)
{
  *from = *from > amount ? *from - amount : 0;
}

void
az_resources_subtract (struct az_resources *from, const struct az_resources *amount)
{
  subtract_clamped (&from->cpu_milli, amount->cpu_milli);
  subtract_clamped (&from->memory_mb, amount->memory_mb);
  subtract_clamped (&from->accelerators, amount->accelerators);
}
