#ifndef AZUREROCK_UPSTREAM_CALL_H
#define AZUREROCK_UPSTREAM_CALL_H

#include "azurerock/message.h"
#include <stdbool.h>
#include <stdint.h>

/*
 * Calls of a sidecar to the upstream instance beside it, and what that instance says of itself.
 * Times with "clock" in their name are on the upstream's own steady clock, in milliseconds.
 */

/** struct az_upstream_start - order to start one task; valid during the call that passes it */
struct az_upstream_start
{
  const char *instance; /* incarnation that the order is meant for */
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

/** struct az_upstream_hold - renews the lease of all tasks and asks for news of them */
struct az_upstream_hold
{
  const char *instance;
  int64_t lease_end_clock_ms; /* 0: no renewal */
  uint64_t fence;
  uint64_t seen;   /* number of the last end that was taken over */
  int64_t wait_ms; /* the answer waits that long for an end */
};

enum az_upstream_result
{
  AZ_UPSTREAM_OK,
  AZ_UPSTREAM_FENCED,         /* a higher fence was seen there */
  AZ_UPSTREAM_OLD,            /* the attempt is not above an earlier one */
  AZ_UPSTREAM_LATE,           /* the lease end of the order has passed */
  AZ_UPSTREAM_NO_ROOM,        /* nothing was started */
  AZ_UPSTREAM_UNHEALTHY,      /* refused, nothing was done */
  AZ_UPSTREAM_OTHER_INSTANCE, /* another incarnation answered */
  AZ_UPSTREAM_INVALID,        /* the order was malformed, or the answer unreadable */
  AZ_UPSTREAM_NOT_SENT,
  AZ_UPSTREAM_UNANSWERED, /* may have been carried out, or may be later */
};

/** struct az_upstream_answer - @clock_ms is -1 and @born_ms 0 if the answer holds none */
struct az_upstream_answer
{
  enum az_upstream_result result;
  int64_t clock_ms;
  int64_t born_ms; /* Unix time of the start of the incarnation that answered */
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
  size_t n_unreadable; /* rows that were passed over */
};

void
az_upstream_lists_clear (struct az_upstream_lists *lists);

/** struct az_upstream_announcement - what an upstream instance says of itself */
struct az_upstream_announcement
{
  char *instance;
  char *service;
  char *address;
  char *domain;
  int64_t born_ms; /* Unix time of its start, 0 if not told */
  uint64_t sequence;
  bool is_draining;
  struct az_resources capacity;
  GPtrArray *labels;
  int64_t clock_ms; /* -1 if not told */
};

void
az_upstream_announcement_clear (struct az_upstream_announcement *announcement);

const char *
az_upstream_result_name (enum az_upstream_result result);

#endif
