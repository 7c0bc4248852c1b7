#include "dispatch/seeds.h"
#include <string.h>

char *
az_seed_address (const char *seed, int64_t port)
{
  const char *colon = strrchr (seed, ':');
  size_t length = colon ? (size_t)(colon - seed) : strlen (seed);

  return g_strdup_printf ("%.*s:%" G_GINT64_FORMAT, (int)length, seed, port);
}
