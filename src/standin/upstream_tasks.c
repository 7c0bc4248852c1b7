#include "standin/upstream.h"
#include <string.h>

#define SLEEP_MAX_MS 600000

static struct az_upstream_slot *
find_slot (struct az_upstream_standin *standin, uint32_t request)
{
  for (uint32_t i = 0; i < standin->n_slots; i++)
    if (standin->slots[i].request == request)
      return &standin->slots[i];
  return NULL;
}

static void
free_slot (struct az_upstream_slot *slot)
{
  struct az_upstream_standin *standin = slot->standin;

  uv_timer_stop (&slot->timer);
  slot->request = 0;
  g_clear_pointer (&slot->echo, free);
  standin->n_running--;
  if (standin->n_running == 0 && standin->drained)
    standin->drained (standin->drained_context);
}

static void
answer_error (struct az_upstream_standin *standin, uint32_t handle, int status, const char *text)
{
  az_http_server_respond (standin->server, handle, status, "text/plain", text, strlen (text));
}

static void
finish_task (uv_timer_t *timer)
{
  struct az_upstream_slot *slot = timer->data;
  struct az_upstream_standin *standin = slot->standin;

  standin->finished++;
  if (standin->faults.fail_all)
    answer_error (standin, slot->request, 500, "fail_all");
  else
    az_http_server_respond (standin->server, slot->request, 200, "application/octet-stream",
                            slot->echo, strlen (slot->echo));
  free_slot (slot);
}

/* Parses {"sleep_ms": N, "echo": "..."}; both fields are optional. */
static bool
parse_task (const struct az_http_request *request, int64_t *sleep_ms, char **echo)
{
  json_t *task = json_loadb (request->body, request->body_length, 0, NULL);
  const char *text = "";
  json_int_t ms = 0;
  bool valid = task && json_unpack (task, "{s?I, s?s}", "sleep_ms", &ms, "echo", &text) == 0
               && ms >= 0 && ms <= SLEEP_MAX_MS;

  if (valid)
    {
      *sleep_ms = ms;
      *echo = strdup (text);
    }
  json_decref (task);
  return valid;
}

static void
start_task (struct az_upstream_slot *slot, const struct az_http_request *request, int64_t sleep_ms)
{
  struct az_upstream_standin *standin = slot->standin;
  const struct az_upstream_faults *faults = &standin->faults;

  slot->request = request->handle;
  standin->n_running++;
  az_upstream_standin_count_start (standin, request->handle);
  if (faults->close_connections)
    {
      az_http_server_abort (standin->server, request->handle);
      free_slot (slot);
      return;
    }
  if (faults->hang)
    return;
  sleep_ms = (int64_t)((double)sleep_ms * faults->straggle_factor);
  if (sleep_ms == 0 || faults->fail_all)
    finish_task (&slot->timer);
  else
    uv_timer_start (&slot->timer, finish_task, (uint64_t)sleep_ms, 0);
}

void
az_upstream_standin_start_task (struct az_upstream_standin *standin,
                                const struct az_http_request *request)
{
  struct az_upstream_slot *slot = find_slot (standin, 0);
  int64_t sleep_ms = 0;

  if (!slot || standin->drained)
    {
      standin->refused++;
      answer_error (standin, request->handle, 503, "no free slot");
      return;
    }
  if (!parse_task (request, &sleep_ms, &slot->echo))
    {
      answer_error (standin, request->handle, 400, "invalid task");
      return;
    }
  start_task (slot, request, sleep_ms);
}

/* A client cancels a task by closing its connection. */
void
az_upstream_standin_handle_disconnect (void *context, uint32_t handle)
{
  struct az_upstream_standin *standin = context;
  struct az_upstream_slot *slot = find_slot (standin, handle);

  if (!slot)
    return;
  standin->cancelled++;
  free_slot (slot);
}
