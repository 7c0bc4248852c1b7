#include "config/object_set.h"
#include "proto/gen/azurerock.h"

static void
check_policy (const struct az_policy *policy, const struct az_object_location *location)
{
  if (policy->deadline_default_ms > policy->deadline_max_ms)
    az_object_report (location, "deadline_default_ms", "must not be greater than deadline_max_ms");
  if (policy->ejection.failures > policy->ejection.window)
    az_object_report (location, "ejection.failures", "must not be greater than ejection.window");
  if (policy->ejection.base_ms > policy->ejection.max_ms)
    az_object_report (location, "ejection.base_ms", "must not be greater than ejection.max_ms");
}

static void
check_counts (const struct az_object_set *set, const struct az_object_location *location)
{
  if (set->tables[AZ_OBJECT_SERVICE]->len == 0)
    az_object_report (location, NULL, "no service is defined; at least one is required");
  /* Entries exchange the claims of all teams in one message. */
  if (set->tables[AZ_OBJECT_TEAM]->len > AZ_MAX_TEAMS)
    az_object_report (location, NULL, "%u teams are defined; at most %d are allowed",
                      set->tables[AZ_OBJECT_TEAM]->len, AZ_MAX_TEAMS);
}

void
az_object_set_check_rules (const struct az_object_set *set,
                           const struct az_object_location *locations)
{
  uint32_t first_policy = set->tables[AZ_OBJECT_DOMAIN]->len;
  uint32_t n_objects = 0;
  uint32_t n_policies;
  const struct az_policy *policies = az_object_set_policies (set, &n_policies);

  for (uint32_t i = 0; i < n_policies; i++)
    check_policy (&policies[i], &locations[first_policy + i]);
  for (int kind = 0; kind < AZ_OBJECT_KINDS; kind++)
    n_objects += set->tables[kind]->len;
  check_counts (set, &locations[n_objects]);
}
