#ifndef AZUREROCK_CATALOG_H
#define AZUREROCK_CATALOG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * struct az_route - a queue of jobs and the service that runs them
 * @host: jobs with this host and a path below @prefix belong to the route
 * @priority: 0 is the most urgent
 * @max_failures: number of failed runs of one task after which its job fails
 * @slack_factor: a job's latency objective is @slack_factor times its expected run time plus
 *   @objective_ms
 * @timeout_ms: waiting time of a caller that states no deadline
 */
struct az_route
{
  char *name;
  char *host;
  char *prefix;
  char *service;
  uint32_t priority;
  uint32_t max_failures;
  double slack_factor;
  int64_t objective_ms;
  int64_t timeout_ms;
};

/** struct az_catalog - one version of the published configuration; immutable */
struct az_catalog
{
  uint64_t version;
  struct az_route *routes;
  size_t n_routes;
};

void
az_catalog_destroy (struct az_catalog *catalog);

/** az_catalog_find_route - finds the route of @host with the longest prefix that @path begins with;
 * returns NULL if there is none; a port in @host is ignored */
const struct az_route *
az_catalog_find_route (const struct az_catalog *catalog, const char *host, const char *path);

#endif
