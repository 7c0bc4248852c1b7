#include "entry/timers.h"
#include "azurerock/clock.h"
#include <glib.h>

struct az_entry_timers
{
  GArray *timers;
};

struct az_entry_timers *
az_entry_timers_create (void)
{
  struct az_entry_timers *heap = g_new0 (struct az_entry_timers, 1);

  heap->timers = g_array_new (FALSE, FALSE, sizeof (struct az_entry_timer));
  return heap;
}

void
az_entry_timers_destroy (struct az_entry_timers *heap)
{
  g_array_unref (heap->timers);
  g_free (heap);
}

static bool
is_before (const struct az_entry_timer *a, const struct az_entry_timer *b)
{
  return az_time_compare (a->at, b->at) < 0;
}

static void
swap (struct az_entry_timer *a, struct az_entry_timer *b)
{
  struct az_entry_timer other = *a;

  *a = *b;
  *b = other;
}

void
az_entry_timers_push (struct az_entry_timers *heap, const struct az_entry_timer *timer)
{
  struct az_entry_timer *timers;
  guint i = heap->timers->len;

  g_array_append_vals (heap->timers, timer, 1);
  timers = (struct az_entry_timer *)(void *)heap->timers->data;
  for (; i > 0 && is_before (&timers[i], &timers[(i - 1) / 2]); i = (i - 1) / 2)
    swap (&timers[i], &timers[(i - 1) / 2]);
}

static void
sift_down (struct az_entry_timer *timers, guint count)
{
  for (guint i = 0;;)
    {
      guint least = i;

      for (guint child = 2 * i + 1; child <= 2 * i + 2 && child < count; child++)
        if (is_before (&timers[child], &timers[least]))
          least = child;
      if (least == i)
        return;
      swap (&timers[i], &timers[least]);
      i = least;
    }
}

bool
az_entry_timers_pop (struct az_entry_timers *heap,
                     struct timespec now,
                     struct az_entry_timer *timer)
{
  struct az_entry_timer *timers = (struct az_entry_timer *)(void *)heap->timers->data;
  guint last = heap->timers->len - 1;

  if (!heap->timers->len || az_time_compare (timers[0].at, now) > 0)
    return false;
  *timer = timers[0];
  timers[0] = timers[last];
  g_array_set_size (heap->timers, last);
  sift_down (timers, last);
  return true;
}
