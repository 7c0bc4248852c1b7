#ifndef AZUREROCK_UPSTREAM_CALL_H
#define AZUREROCK_UPSTREAM_CALL_H

#include "azurerock/message.h"
#include <stdbool.h>
#include <stdint.h>

/*
 * Calls of a sidecar to its local upstream instance, and the announcement that this instance sends.
 * Times with "clock" in their name are on the upstream's own monotonic clock, in milliseconds.
 */

/** struct az_upstream_start - request to start one task; valid only during the call that passes it.
 * The upstream refuses a request with a lower @fence than it has seen before. */
struct az_upstream_start
{
  const char *instance; /* incarnation that the request is addressed to */
  const char *task;
  uint32_t attempt;
  const char *specification; /* NUL-terminated */
  int64_t lease_end_clock_ms;
  uint64_t fence;
};

struct az_upstream_stop
{
  const char *instance;
  const char *task;
  uint32_t attempt;
  uint64_t fence;
};

/**
 * struct az_upstream_hold - renews the lease of all tasks and reads their state
 * @lease_end_clock_ms: 0 to leave the lease as it is
 * @last_processed_end: number of the last task end that the sidecar has processed
 * @wait_ms: how long the upstream may wait for another task end before it answers
 */
struct az_upstream_hold
{
  const char *instance;
  int64_t lease_end_clock_ms;
  uint64_t fence;
  uint64_t last_processed_end;
  int64_t wait_ms;
};

/**
 * struct az_upstream_probe - a hold that only shows which instance answers at an address
 * @instance: another one refuses the call
 */
struct az_upstream_probe
{
  const char *address;
  const char *instance;
  uint64_t fence;
};

enum az_upstream_result
{
  AZ_UPSTREAM_OK,
  AZ_UPSTREAM_FENCED,         /* the upstream has seen a higher fence */
  AZ_UPSTREAM_STALE_ATTEMPT,  /* the attempt isn't higher than an earlier one of the task */
  AZ_UPSTREAM_LEASE_EXPIRED,  /* the lease of the request has already expired */
  AZ_UPSTREAM_NO_ROOM,        /* not enough free resources; nothing was started */
  AZ_UPSTREAM_UNHEALTHY,      /* refused without any effect */
  AZ_UPSTREAM_OTHER_INSTANCE, /* another incarnation answered */
  AZ_UPSTREAM_INVALID,        /* refused as malformed, or the lists in the answer were malformed */
  AZ_UPSTREAM_NOT_SENT,       /* for a hold: the upstream refused the connection */
  AZ_UPSTREAM_UNANSWERED, /* no answer or an unexpected one: the request may have taken effect, or
                             may do so later */
};

/**
 * struct az_upstream_answer - answer to any call
 * @clock_ms: -1 if missing
 * @started_ms: Unix time at which the incarnation that answered started, 0 if missing
 */
struct az_upstream_answer
{
  enum az_upstream_result result;
  int64_t clock_ms;
  int64_t started_ms;
};

struct az_upstream_active
{
  char *task;
  uint32_t attempt;
  uint32_t percent;
};

struct az_upstream_ended
{
  uint64_t number;
  char *task;
  uint32_t attempt;
  enum az_task_end how;
};

/** struct az_upstream_lists - answer to a hold; free with az_upstream_lists_clear() */
struct az_upstream_lists
{
  struct az_upstream_answer answer;
  struct az_upstream_active *active;
  size_t n_active;
  struct az_upstream_ended *ended;
  size_t n_ended;
  size_t n_unreadable; /* malformed rows that were skipped */
};

void
az_upstream_lists_clear (struct az_upstream_lists *lists);

/** struct az_upstream_announcement - registration of an upstream instance at its sidecar */
struct az_upstream_announcement
{
  char *instance;
  char *service;
  char *address;
  char *domain;
  int64_t started_ms; /* Unix time of the instance's start, 0 if not announced */
  uint64_t sequence;
  bool is_draining;
  struct az_resources capacity;
  GPtrArray *labels;
  int64_t clock_ms; /* -1 if missing */
};

/** az_upstream_announcement_copy - @to is overwritten; free it with
 * az_upstream_announcement_clear() */
void
az_upstream_announcement_copy (const struct az_upstream_announcement *from,
                               struct az_upstream_announcement *to);
void
az_upstream_announcement_clear (struct az_upstream_announcement *announcement);

/** az_upstream_announcement_find_invalid - returns the first field with a value that no upstream
 * can have, or NULL */
const char *
az_upstream_announcement_find_invalid (const struct az_upstream_announcement *announcement);

const char *
az_upstream_result_name (enum az_upstream_result result);

#endif
