#ifndef AZUREROCK_MODEL_SETUP_H
#define AZUREROCK_MODEL_SETUP_H

#include "model.h"
#include <jansson.h>

#define US_PER_S 1000000

/** struct model_variant - a policy with its parameters; see struct model_config */
struct model_variant
{
  const char *name;
  enum model_policy policy;
  uint32_t demand_fanout;
  bool return_unneeded;
  bool split_demand;
  uint32_t keep_grants;
};

extern const struct model_variant model_variants[];
extern const guint model_n_variants;

/** struct model_run_settings - seed and length of all runs */
struct model_run_settings
{
  guint32 seed;
  int64_t duration_us;
};

/** model_create_config - configures 11 agents of 8 slots and 3 entries */
struct model_config
model_create_config (const struct model_run_settings *run,
                     const struct model_variant *variant,
                     int64_t delay_us);

/**
 * model_create_workload - creates jobs for the slots of model_create_config()
 * @load: mean share of the slots that is busy
 * @bursts: whether the arrival rate is ten times as high for half a second every 25 s
 * @tasks: size of every job, or 0 for mixed sizes
 */
struct az_workload *
model_create_workload (const struct model_run_settings *run,
                       double load,
                       bool bursts,
                       uint32_t tasks);

/** model_compare_policies - compares response time and messages of each policy against the ideal
 * central queue */
void
model_compare_policies (const struct model_run_settings *run, json_t *report);

/** model_run_scenarios - runs one scenario with an agent that fails every task, and one in which
 * a domain is withdrawn and restored */
void
model_run_scenarios (const struct model_run_settings *run, json_t *report);

#endif
