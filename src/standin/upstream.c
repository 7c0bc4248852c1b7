#include "standin/upstream.h"
#include <string.h>

void
az_upstream_standin_init (struct az_upstream_standin *standin,
                          uv_loop_t *loop,
                          uint32_t slot_count,
                          uint64_t max_tracked_tasks)
{
  memset (standin, 0, sizeof *standin);
  standin->loop = loop;
  standin->faults.straggle_factor = 1;
  standin->n_slots = slot_count;
  standin->max_tracked_tasks = max_tracked_tasks;
  standin->slots = g_new0 (struct az_upstream_slot, slot_count);
  standin->start_counts = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  for (uint32_t i = 0; i < slot_count; i++)
    {
      standin->slots[i].standin = standin;
      uv_timer_init (loop, &standin->slots[i].timer);
      standin->slots[i].timer.data = &standin->slots[i];
    }
}

void
az_upstream_standin_stop (struct az_upstream_standin *standin,
                          void (*drained) (void *context),
                          void *context)
{
  standin->drained = drained;
  standin->drained_context = context;
  if (standin->n_running == 0)
    drained (context);
}

void
az_upstream_standin_clear (struct az_upstream_standin *standin)
{
  for (uint32_t i = 0; i < standin->n_slots; i++)
    free (standin->slots[i].echo);
  g_free (standin->slots);
  g_hash_table_unref (standin->start_counts);
}

static void
respond (struct az_upstream_standin *standin, uint32_t handle, int status, const char *text)
{
  az_http_server_respond (standin->server, handle, status, "application/json", text, strlen (text));
}

static void
respond_stats (struct az_upstream_standin *standin, const struct az_http_request *request)
{
  json_t *stats = az_upstream_standin_stats (standin, strcmp (request->query, "brief") != 0);
  char *text = json_dumps (stats, JSON_COMPACT | JSON_SORT_KEYS);

  respond (standin, request->handle, 200, text);
  free (text);
  json_decref (stats);
}

static void
put_faults (struct az_upstream_standin *standin, const struct az_http_request *request)
{
  if (az_upstream_standin_set_faults (standin, request->body, request->body_length))
    respond (standin, request->handle, 200, "{}");
  else
    respond (standin, request->handle, 400, "{\"error\":\"invalid faults\"}");
}

static void
respond_health (struct az_upstream_standin *standin, const struct az_http_request *request)
{
  if (!standin->faults.hang)
    respond (standin, request->handle, 200, "{}");
}

void
az_upstream_standin_handle_request (void *context, const struct az_http_request *request)
{
  struct az_upstream_standin *standin = context;
  bool is_get = strcmp (request->method, "GET") == 0;
  bool is_put = strcmp (request->method, "PUT") == 0;
  bool is_post = strcmp (request->method, "POST") == 0;

  if (is_post && strcmp (request->path, "/v1/tasks") == 0)
    az_upstream_standin_start_task (standin, request);
  else if (is_get && strcmp (request->path, "/healthz") == 0)
    respond_health (standin, request);
  else if (is_put && strcmp (request->path, "/standin/faults") == 0)
    put_faults (standin, request);
  else if (is_get && strcmp (request->path, "/standin/stats") == 0)
    respond_stats (standin, request);
  else
    respond (standin, request->handle, 404, "{\"error\":\"no such path\"}");
}
