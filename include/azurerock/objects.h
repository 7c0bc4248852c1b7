#ifndef AZUREROCK_OBJECTS_H
#define AZUREROCK_OBJECTS_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * The objects that operators define: failure domains, upstreams, services, policies and teams. A
 * set is checked as a whole (design page, section 11) and is immutable. Objects refer to one
 * another by index into the tables of the set.
 */
struct az_object_set;

struct az_domain
{
  const char *name;
  const char *region;
  bool in_service;
};

/**
 * struct az_ejection_policy - when an agent whose tasks fail gets no tasks for some time
 * @failures: minimum number of failures among the last @window results of an ejected agent
 * @max_share_percent: maximum share of the agents that may be ejected at the same time
 * @base_ms: duration of the first ejection
 * @max_ms: maximum duration of an ejection
 */
struct az_ejection_policy
{
  uint32_t failures;
  uint32_t window;
  uint32_t max_share_percent;
  int64_t base_ms;
  int64_t max_ms;
};

struct az_policy
{
  const char *name;
  int64_t deadline_default_ms;
  int64_t deadline_max_ms;
  uint32_t max_tasks_per_job;
  uint32_t max_payload_bytes;
  uint32_t max_queued_tasks;
  int64_t task_timeout_ms;
  int64_t result_retention_ms;
  uint32_t retry_budget_percent;
  struct az_ejection_policy ejection;
};

struct az_upstream
{
  const char *name;
  const uint32_t *domains; /* indexes of domains */
  uint32_t n_domains;
  uint32_t slots;
  uint32_t connections;
  bool in_service;
};

struct az_service
{
  const char *name;
  const uint32_t *upstreams; /* indexes of upstreams */
  uint32_t n_upstreams;
  uint32_t policy; /* index of its policy */
};

struct az_team
{
  const char *name;
  uint32_t quota_slots;
  uint32_t weight;
  const uint32_t *services; /* indexes of services */
  uint32_t n_services;
  uint32_t max_queued_tasks;
};

/** struct az_object_error - one error of a check; its list owns the strings */
struct az_object_error
{
  char *file;
  char *object; /* "kind/name", or NULL */
  char *field;  /* path of the invalid field; NULL if the error isn't about a single field */
  char *message;
};

/** az_object_errors_create - creates an empty error list; free with g_ptr_array_unref() */
GPtrArray *
az_object_errors_create (void);

/**
 * az_object_set_load - reads every *.json file below @directory and checks the set
 * @errors: receives each error as a struct az_object_error
 *
 * Files and directories whose names begin with "." are skipped.
 *
 * Return: the set, or NULL if @errors is not empty.
 */
struct az_object_set *
az_object_set_load (const char *directory, GPtrArray *errors);

/** az_object_set_from_json - checks an array of objects; @origin is the file name in errors */
struct az_object_set *
az_object_set_from_json (const json_t *objects, const char *origin, GPtrArray *errors);

/** az_object_set_to_json - returns the canonical form: an array of objects, sorted by kind and
 * name, with every field present */
json_t *
az_object_set_to_json (const struct az_object_set *set);
void
az_object_set_destroy (struct az_object_set *set);

const struct az_domain *
az_object_set_domains (const struct az_object_set *set, uint32_t *count);
const struct az_service *
az_object_set_services (const struct az_object_set *set, uint32_t *count);
const struct az_upstream *
az_object_set_upstreams (const struct az_object_set *set, uint32_t *count);
const struct az_policy *
az_object_set_policies (const struct az_object_set *set, uint32_t *count);
const struct az_team *
az_object_set_teams (const struct az_object_set *set, uint32_t *count);

/* These functions return the index of the named object, or -1. */
int
az_object_set_find_domain (const struct az_object_set *set, const char *name);
int
az_object_set_find_service (const struct az_object_set *set, const char *name);
int
az_object_set_find_upstream (const struct az_object_set *set, const char *name);
int
az_object_set_find_policy (const struct az_object_set *set, const char *name);
int
az_object_set_find_team (const struct az_object_set *set, const char *name);

#endif
