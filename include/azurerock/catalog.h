#ifndef AZUREROCK_CATALOG_H
#define AZUREROCK_CATALOG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** struct az_route - a queue of jobs and the service that runs them */
struct az_route
{
  char *name;
  char *host;
  char *prefix;
  char *service;
  uint32_t priority; /* 0 is the most urgent */
  uint32_t attempts; /* failed runs of one task that end its job */
  double slack_factor;
  int64_t objective_ms; /* beyond slack_factor times the run time */
  int64_t timeout_ms;
};

/** struct az_catalog - one published configuration; immutable */
struct az_catalog
{
  uint64_t version;
  struct az_route *routes;
  size_t n_routes;
};

void
az_catalog_destroy (struct az_catalog *catalog);

/** az_catalog_find - route with this host and the longest prefix of @path, or NULL */
const struct az_route *
az_catalog_find (const struct az_catalog *catalog, const char *host, const char *path);

#endif
