#include "config/object_schema.h"
#include "azurerock/objects.h"
#include "proto/gen/azurerock.h"
#include <string.h>

#define DAY_MS 86400000
#define HOUR_MS 3600000

/* These bounds keep sums of slots and of queued tasks far below the 32-bit limit. */
#define SLOTS_MAX 65536
#define QUEUE_MAX 10000000
#define WEIGHT_MAX 1000000

#define UINT32_FIELD(structure, field, low, high, value)                                           \
  {                                                                                                \
    .name = #field, .type = AZ_FIELD_UINT32, .offset = offsetof (struct structure, field),         \
    .minimum = (low), .maximum = (high), .default_value = (value)                                  \
  }
#define UINT32_REQUIRED(structure, field, low, high)                                               \
  {                                                                                                \
    .name = #field, .type = AZ_FIELD_UINT32, .offset = offsetof (struct structure, field),         \
    .minimum = (low), .maximum = (high), .required = true                                          \
  }
#define INT64_FIELD(structure, field, low, high, value)                                            \
  {                                                                                                \
    .name = #field, .type = AZ_FIELD_INT64, .offset = offsetof (struct structure, field),          \
    .minimum = (low), .maximum = (high), .default_value = (value)                                  \
  }
#define IN_SERVICE_FIELD(structure)                                                                \
  {                                                                                                \
    .name = "in_service", .type = AZ_FIELD_BOOLEAN,                                                \
    .offset = offsetof (struct structure, in_service), .default_value = 1                          \
  }
#define REFERENCES_FIELD(structure, field, kind)                                                   \
  {                                                                                                \
    .name = #field, .type = AZ_FIELD_REFERENCES, .offset = offsetof (struct structure, field),     \
    .count_offset = offsetof (struct structure, n_##field), .required = true, .target = (kind)     \
  }

static const struct az_object_field domain_fields[] = {
  { .name = "region",
    .type = AZ_FIELD_NAME,
    .offset = offsetof (struct az_domain, region),
    .required = true },
  IN_SERVICE_FIELD (az_domain),
};

static const struct az_object_field ejection_fields[] = {
  UINT32_FIELD (az_ejection_policy, failures, 1, 1000, 5),
  UINT32_FIELD (az_ejection_policy, window, 1, 1000, 10),
  UINT32_FIELD (az_ejection_policy, max_share_percent, 0, 100, 30),
  INT64_FIELD (az_ejection_policy, base_ms, 1, HOUR_MS, 1000),
  INT64_FIELD (az_ejection_policy, max_ms, 1, HOUR_MS, 30000),
};

static const struct az_object_field policy_fields[] = {
  INT64_FIELD (az_policy, deadline_default_ms, 1, DAY_MS, 5000),
  INT64_FIELD (az_policy, deadline_max_ms, 1, DAY_MS, 60000),
  UINT32_FIELD (az_policy, max_tasks_per_job, 1, AZ_MAX_TASKS, AZ_MAX_TASKS),
  UINT32_FIELD (az_policy, max_payload_bytes, 0, AZ_MAX_PAYLOAD, AZ_MAX_PAYLOAD),
  UINT32_FIELD (az_policy, max_queued_tasks, 1, QUEUE_MAX, 20000),
  INT64_FIELD (az_policy, task_timeout_ms, 1, DAY_MS, 10000),
  INT64_FIELD (az_policy, result_retention_ms, 1000, DAY_MS, 60000),
  UINT32_FIELD (az_policy, retry_budget_percent, 0, 100, 10),
  { .name = "ejection",
    .type = AZ_FIELD_MEMBERS,
    .offset = offsetof (struct az_policy, ejection),
    .members = ejection_fields,
    .n_members = G_N_ELEMENTS (ejection_fields) },
};

static const struct az_object_field service_fields[] = {
  REFERENCES_FIELD (az_service, upstreams, AZ_OBJECT_UPSTREAM),
  { .name = "policy",
    .type = AZ_FIELD_REFERENCE,
    .offset = offsetof (struct az_service, policy),
    .required = true,
    .target = AZ_OBJECT_POLICY },
};

static const struct az_object_field team_fields[] = {
  UINT32_REQUIRED (az_team, quota_slots, 1, SLOTS_MAX * 16),
  UINT32_FIELD (az_team, weight, 1, WEIGHT_MAX, 1),
  REFERENCES_FIELD (az_team, services, AZ_OBJECT_SERVICE),
  UINT32_FIELD (az_team, max_queued_tasks, 1, QUEUE_MAX, 20000),
};

static const struct az_object_field upstream_fields[] = {
  REFERENCES_FIELD (az_upstream, domains, AZ_OBJECT_DOMAIN),
  UINT32_REQUIRED (az_upstream, slots, 1, SLOTS_MAX),
  UINT32_REQUIRED (az_upstream, connections, 1, SLOTS_MAX),
  IN_SERVICE_FIELD (az_upstream),
};

#define SCHEMA(kind, fields)                                                                       \
  {                                                                                                \
#kind, sizeof(struct az_##kind), fields, G_N_ELEMENTS(fields)                                  \
  }

const struct az_object_schema az_object_schemas[AZ_OBJECT_KINDS] = {
  [AZ_OBJECT_DOMAIN] = SCHEMA (domain, domain_fields),
  [AZ_OBJECT_POLICY] = SCHEMA (policy, policy_fields),
  [AZ_OBJECT_SERVICE] = SCHEMA (service, service_fields),
  [AZ_OBJECT_TEAM] = SCHEMA (team, team_fields),
  [AZ_OBJECT_UPSTREAM] = SCHEMA (upstream, upstream_fields),
};

int
az_object_kind_find (const char *name)
{
  for (int kind = 0; kind < AZ_OBJECT_KINDS; kind++)
    if (!strcmp (az_object_schemas[kind].kind, name))
      return kind;
  return -1;
}

const struct az_object_field *
az_object_field_find (const struct az_object_field *fields, size_t n_fields, const char *name)
{
  for (size_t i = 0; i < n_fields; i++)
    if (!strcmp (fields[i].name, name))
      return &fields[i];
  return NULL;
}
