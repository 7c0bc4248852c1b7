#include "azurerock/catalog.h"
#include <glib.h>
#include <string.h>

void
az_catalog_destroy (struct az_catalog *catalog)
{
  if (!catalog)
    return;
  for (size_t i = 0; i < catalog->n_routes; i++)
    {
      g_free (catalog->routes[i].name);
      g_free (catalog->routes[i].host);
      g_free (catalog->routes[i].prefix);
      g_free (catalog->routes[i].service);
    }
  g_free (catalog->routes);
  g_free (catalog);
}

static bool
matches_host (const char *name, const char *host)
{
  size_t length = strcspn (host, ":");

  return strlen (name) == length && !g_ascii_strncasecmp (name, host, length);
}

const struct az_route *
az_catalog_find_route (const struct az_catalog *catalog, const char *host, const char *path)
{
  const struct az_route *best = NULL;

  for (size_t i = 0; i < catalog->n_routes; i++)
    {
      const struct az_route *route = &catalog->routes[i];

      if (g_str_has_prefix (path, route->prefix) && matches_host (route->host, host)
          && (!best || strlen (route->prefix) > strlen (best->prefix)))
        best = route;
    }
  return best;
}
