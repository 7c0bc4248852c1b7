#ifndef AZUREROCK_GATEWAY_SEPARATION_PLAN_H
#define AZUREROCK_GATEWAY_SEPARATION_PLAN_H

#include "gateway/state.h"

/** Interfering queues of a service that are considered. */
#define AZ_PLAN_QUEUES_MAX 32

/**
 * struct az_separation_plan - which interfering queues of a service need different upstreams
 * @queues: their names, in alphabetical order
 * @interferes: a matrix of @n times @n, like @factors
 * @factors: how many times longer tasks of either queue take beside the other one
 * @parts: as az_division_assign_parts() gives them
 */
struct az_separation_plan
{
  const char *service;
  unsigned n;
  const char *queues[AZ_PLAN_QUEUES_MAX];
  bool interferes[AZ_PLAN_QUEUES_MAX * AZ_PLAN_QUEUES_MAX];
  double factors[AZ_PLAN_QUEUES_MAX * AZ_PLAN_QUEUES_MAX];
  unsigned parts[AZ_PLAN_QUEUES_MAX];
};

/** az_separation_plan_make - makes the plan for a service; @pairs, struct az_interfering_pair *,
 * may include those of others, and must stay valid as long as the plan */
void
az_separation_plan_make (struct az_separation_plan *plan,
                         const char *service,
                         const GPtrArray *pairs);

/** az_separation_plan_find_queue - returns the queue of the plan with this index, or NULL if the
 * gateway knows none of that name at the service, for example because its route has moved */
struct queue *
az_separation_plan_find_queue (const struct az_gateway *gateway,
                               const struct az_separation_plan *plan,
                               unsigned index);

/**
 * az_separation_plan_number_parts - numbers the parts that have a queue in the pool
 * @numbers: receives the number of each queue, from 1 on; 0 outside the pool
 *
 * Return: number of parts.
 */
unsigned
az_separation_plan_number_parts (const struct az_gateway *gateway,
                                 const struct az_separation_plan *plan,
                                 enum az_pool pool,
                                 unsigned numbers[AZ_PLAN_QUEUES_MAX]);

#endif
