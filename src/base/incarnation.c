#include "azurerock/program.h"
#include <sys/random.h>

uint64_t
az_generate_incarnation (void)
{
  uint64_t incarnation = 0;

  while (incarnation == 0)
    if (getrandom (&incarnation, sizeof incarnation, 0) != (ssize_t)sizeof incarnation)
      incarnation = 0;
  return incarnation;
}
