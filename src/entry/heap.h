#ifndef AZUREROCK_ENTRY_HEAP_H
#define AZUREROCK_ENTRY_HEAP_H

#include <stdbool.h>
#include <stdint.h>
#include <time.h>

/*
 * Timers in order of time. There is no removal: whoever handles a timer checks whether it still
 * stands for something.
 */
struct az_entry_heap;

enum az_entry_timer_kind
{
  AZ_ENTRY_TIMER_DEADLINE, /* value is a job */
  AZ_ENTRY_TIMER_FETCH,    /* value is a request */
  AZ_ENTRY_TIMER_OWNER,    /* value is a forwarded job whose owner may be away */
};

struct az_entry_timer
{
  struct timespec at;
  enum az_entry_timer_kind kind;
  uint32_t value;
};

struct az_entry_heap *
az_entry_heap_create (void);
void
az_entry_heap_destroy (struct az_entry_heap *heap);
void
az_entry_heap_push (struct az_entry_heap *heap, const struct az_entry_timer *timer);

/** az_entry_heap_pop - takes the earliest timer if it is due at @now */
bool
az_entry_heap_pop (struct az_entry_heap *heap, struct timespec now, struct az_entry_timer *timer);

#endif
