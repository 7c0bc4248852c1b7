#ifndef AZUREROCK_ENTRY_TIMERS_H
#define AZUREROCK_ENTRY_TIMERS_H

#include <stdbool.h>
#include <stdint.h>
#include <time.h>

/*
 * Binary heap of timers, the earliest first. A timer can't be removed. Its handler checks whether
 * the job or request still exists and is due.
 */
struct az_entry_timers;

enum az_entry_timer_kind
{
  AZ_ENTRY_TIMER_DEADLINE, /* the value is the handle of a job */
  AZ_ENTRY_TIMER_FETCH,    /* the value is the handle of a caller's request */
  AZ_ENTRY_TIMER_OWNER,    /* the value is the handle of a forwarded job, see forward.c */
};

struct az_entry_timer
{
  struct timespec at;
  enum az_entry_timer_kind kind;
  uint32_t value;
};

struct az_entry_timers *
az_entry_timers_create (void);
void
az_entry_timers_destroy (struct az_entry_timers *heap);
void
az_entry_timers_push (struct az_entry_timers *heap, const struct az_entry_timer *timer);

/** az_entry_timers_pop - removes the earliest timer if it is due at @now; returns whether it was */
bool
az_entry_timers_pop (struct az_entry_timers *heap,
                     struct timespec now,
                     struct az_entry_timer *timer);

#endif
