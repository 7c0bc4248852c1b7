#include "azurerock/resources.h"

bool
az_resources_fit (const struct az_resources *need, const struct az_resources *room)
{
  return need->cpu_milli <= room->cpu_milli && need->memory_mb <= room->memory_mb
         && need->accelerators <= room->accelerators;
}

void
az_resources_add (struct az_resources *to, const struct az_resources *amount)
{
  to->cpu_milli += amount->cpu_milli;
  to->memory_mb += amount->memory_mb;
  to->accelerators += amount->accelerators;
}

static void
take (u_int *from, u_int amount)
{
  *from = *from > amount ? *from - amount : 0;
}

void
az_resources_subtract (struct az_resources *from, const struct az_resources *amount)
{
  take (&from->cpu_milli, amount->cpu_milli);
  take (&from->memory_mb, amount->memory_mb);
  take (&from->accelerators, amount->accelerators);
}
