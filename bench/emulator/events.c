#include "emulator/world.h"

struct event
{
  int64_t time_us;
  uint64_t number;
  void (*callback) (void *context, void *data);
  void *context;
  void *data;
};

struct emu_events
{
  int64_t now_us;
  uint64_t n_events;
  GPtrArray *heap;
};

struct emu_events *
emu_events_create (void)
{
  struct emu_events *events = g_new0 (struct emu_events, 1);

  events->now_us = 1000000;
  events->heap = g_ptr_array_new ();
  return events;
}

void
emu_events_destroy (struct emu_events *events)
{
  for (guint i = 0; i < events->heap->len; i++)
    {
      struct event *event = events->heap->pdata[i];

      g_free (event->data);
      g_free (event);
    }
  g_ptr_array_unref (events->heap);
  g_free (events);
}

int64_t
emu_now_us (const struct emu_events *events)
{
  return events->now_us;
}

static bool
is_before (const struct event *a, const struct event *b)
{
  return a->time_us != b->time_us ? a->time_us < b->time_us : a->number < b->number;
}

static void
swap (GPtrArray *heap, guint a, guint b)
{
  gpointer saved = heap->pdata[a];

  heap->pdata[a] = heap->pdata[b];
  heap->pdata[b] = saved;
}

void
emu_schedule (struct emu_events *events,
              int64_t time_us,
              void (*callback) (void *context, void *data),
              void *context,
              void *data)
{
  struct event *event = g_new0 (struct event, 1);
  guint at = events->heap->len;

  event->time_us = MAX (time_us, events->now_us);
  event->number = events->n_events++;
  event->callback = callback;
  event->context = context;
  event->data = data;
  g_ptr_array_add (events->heap, event);
  while (at > 0 && is_before (event, events->heap->pdata[(at - 1) / 2]))
    {
      swap (events->heap, at, (at - 1) / 2);
      at = (at - 1) / 2;
    }
}

static struct event *
pop (GPtrArray *heap)
{
  struct event *first = heap->pdata[0];
  guint at = 0;

  heap->pdata[0] = heap->pdata[heap->len - 1];
  g_ptr_array_set_size (heap, (gint)heap->len - 1);
  while (2 * at + 1 < heap->len)
    {
      guint child = 2 * at + 1;

      if (child + 1 < heap->len && is_before (heap->pdata[child + 1], heap->pdata[child]))
        child++;
      if (!is_before (heap->pdata[child], heap->pdata[at]))
        break;
      swap (heap, at, child);
      at = child;
    }
  return first;
}

bool
emu_run_next_event (struct emu_events *events, int64_t until_us)
{
  struct event *event;

  if (events->heap->len == 0 || ((struct event *)events->heap->pdata[0])->time_us > until_us)
    return false;
  event = pop (events->heap);
  events->now_us = event->time_us;
  event->callback (event->context, event->data);
  g_free (event->data);
  g_free (event);
  return true;
}
