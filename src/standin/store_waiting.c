#include "standin/store.h"
#include <string.h>

/* A copy of a request that is delayed, or of a blocking read that waits for a change. */
struct az_standin_waiting_request
{
  uv_timer_t timer;
  struct az_standin_store *store;
  struct az_http_request request;
  bool on_change;
};

static void
on_closed (uv_handle_t *handle)
{
  struct az_standin_waiting_request *waiting = handle->data;

  g_free ((char *)waiting->request.method);
  g_free ((char *)waiting->request.path);
  g_free ((char *)waiting->request.query);
  g_free ((char *)waiting->request.body);
  g_free (waiting);
}

static void
remove_waiting (struct az_standin_waiting_request *waiting)
{
  g_ptr_array_remove_fast (waiting->store->waiting, waiting);
  uv_close ((uv_handle_t *)&waiting->timer, on_closed);
}

static void
on_timer (uv_timer_t *timer)
{
  struct az_standin_waiting_request *waiting = timer->data;

  remove_waiting (waiting);
  az_standin_store_serve (waiting->store, &waiting->request);
}

void
az_standin_store_wait (struct az_standin_store *store,
                       const struct az_http_request *request,
                       int64_t wait_ms,
                       bool on_change)
{
  struct az_standin_waiting_request *waiting = g_new0 (struct az_standin_waiting_request, 1);

  waiting->store = store;
  waiting->on_change = on_change;
  waiting->request = (struct az_http_request){
    .handle = request->handle,
    .method = g_strdup (request->method),
    .path = g_strdup (request->path),
    /* "woken" marks a blocking read that has waited: it is answered even if nothing has changed. */
    .query = on_change ? g_strconcat ("woken&", request->query, NULL) : g_strdup (request->query),
    .body = g_memdup2 (request->body, request->body_length),
    .body_length = request->body_length,
  };
  uv_timer_init (store->loop, &waiting->timer);
  waiting->timer.data = waiting;
  uv_timer_start (&waiting->timer, on_timer, (uint64_t)wait_ms, 0);
  g_ptr_array_add (store->waiting, waiting);
}

/* Restarts timers with 0 ms, so that blocking reads are answered in the next loop iteration. */
void
az_standin_store_wake (void *context)
{
  struct az_standin_store *store = context;

  for (guint i = 0; i < store->waiting->len; i++)
    {
      struct az_standin_waiting_request *waiting = g_ptr_array_index (store->waiting, i);

      if (waiting->on_change && az_standin_store_has_changed (store, &waiting->request))
        uv_timer_start (&waiting->timer, on_timer, 0, 0);
    }
}

void
az_standin_store_handle_disconnect (void *context, uint32_t handle)
{
  struct az_standin_store *store = context;

  for (guint i = 0; i < store->waiting->len; i++)
    {
      struct az_standin_waiting_request *waiting = g_ptr_array_index (store->waiting, i);

      if (waiting->request.handle != handle)
        continue;
      remove_waiting (waiting);
      return;
    }
}

void
az_standin_store_fail_waiting (struct az_standin_store *store)
{
  while (store->waiting->len > 0)
    {
      struct az_standin_waiting_request *waiting = g_ptr_array_index (store->waiting, 0);

      remove_waiting (waiting);
      az_standin_store_fail (store, waiting->request.handle);
    }
}
