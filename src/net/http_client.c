#include "azurerock/http_client.h"
#include "azurerock/table.h"
#include "net/address.h"
#include "net/broken_pipe.h"
#include "net/http_connection.h"

/* A deadline timer that fires later than this indicates that the process was paused. */
#define PAUSE_THRESHOLD_MS 5

#define NS_PER_MS 1000000

struct az_http_client
{
  uv_loop_t *loop;
  char *host;
  struct sockaddr_storage target;
  bool is_target_valid;
  unsigned max_connections;
  int64_t wait_limit_ms; /* 0 if the wait for a connection is not limited */
  unsigned n_connecting;
  GPtrArray *connections;
  GPtrArray *idle; /* most recently used last */
  GQueue waiting;  /* exchanges without a connection */
  GQueue ended;    /* exchanges whose @done is called when @completion_timer fires */
  struct az_table_rows *exchanges; /* rows are struct az_http_exchange * */
  uv_timer_t completion_timer;
  uv_timer_t deadline_timer;
  uint64_t deadline_timer_due_ms;
  bool is_postponed;
  unsigned n_open_handles;
  bool destroyed;
};

static void
dispatch_waiting (struct az_http_client *client);

static void
on_handle_closed (void *context)
{
  struct az_http_client *client = context;

  if (--client->n_open_handles > 0 || !client->destroyed)
    return;
  g_ptr_array_unref (client->connections);
  g_ptr_array_unref (client->idle);
  az_table_rows_destroy (client->exchanges);
  g_free (client->host);
  g_free (client);
}

static void
on_timer_closed (uv_handle_t *handle)
{
  on_handle_closed (handle->data);
}

static struct az_http_exchange *
get_exchange (const struct az_http_client *client, uint32_t handle)
{
  struct az_http_exchange **row = az_table_rows_get (client->exchanges, handle);

  return row ? *row : NULL;
}

/* Passes the response to the caller and frees the exchange. */
static void
complete_exchange (struct az_http_client *client,
                   struct az_http_exchange *exchange,
                   const struct az_http_response *response)
{
  az_table_rows_remove (client->exchanges, exchange->handle);
  exchange->done (exchange->context, response);
  az_http_exchange_destroy (exchange);
}

static void
fail_exchange (struct az_http_client *client,
               struct az_http_exchange *exchange,
               enum az_http_result result,
               const char *error)
{
  const struct az_http_response response = { .result = result, .body = "", .error = error };

  complete_exchange (client, exchange, &response);
}

static void
on_connection_answered (void *context,
                        struct az_http_exchange *exchange,
                        const struct az_http_reader *reader)
{
  const struct az_http_response response = {
    .result = AZ_HTTP_ANSWERED,
    .status = reader->status,
    .body = (const char *)reader->data->data + reader->head_length,
    .body_length = reader->body_length,
    .index = reader->index[0] ? reader->index : NULL,
  };

  complete_exchange (context, exchange, &response);
}

static void
on_connection_idle (void *context, struct az_http_connection *connection, bool just_connected)
{
  struct az_http_client *client = context;

  if (client->destroyed)
    return;
  if (just_connected)
    client->n_connecting--;
  g_ptr_array_add (client->idle, connection);
  dispatch_waiting (client);
}

static void
remove_connection (struct az_http_client *client, struct az_http_connection *connection)
{
  if (!az_http_connection_is_open (connection))
    client->n_connecting--;
  g_ptr_array_remove_fast (client->connections, connection);
  g_ptr_array_remove (client->idle, connection);
}

static void
fail_first_waiting (struct az_http_client *client, bool is_refused, const char *reason)
{
  const struct az_http_response response
      = { .result = AZ_HTTP_NOT_SENT, .is_refused = is_refused, .body = "", .error = reason };

  complete_exchange (client, g_queue_pop_head (&client->waiting), &response);
}

/* Without an open connection, each failed attempt to connect fails a request, and the last one all
 * that wait. If they all stayed, attempts would go on until the requests time out. */
static void
fail_waiting (struct az_http_client *client, bool is_refused, const char *reason)
{
  guint n_waiting = g_queue_get_length (&client->waiting);
  guint n_failing = client->connections->len > 0 ? MIN (n_waiting, 1) : n_waiting;

  for (; n_failing > 0 && !g_queue_is_empty (&client->waiting)
         && client->n_connecting == client->connections->len && !client->destroyed;
       n_failing--)
    fail_first_waiting (client, is_refused, reason);
}

static void
on_connection_closed (void *context,
                      struct az_http_connection *connection,
                      struct az_http_exchange *exchange,
                      const char *reason)
{
  struct az_http_client *client = context;
  bool connect_failed = !az_http_connection_is_open (connection);

  if (client->destroyed)
    return;
  remove_connection (client, connection);
  if (exchange)
    fail_exchange (client, exchange, AZ_HTTP_LOST, reason);
  if (connect_failed)
    fail_waiting (client, az_http_connection_is_refused (connection), reason);
  if (!client->destroyed)
    dispatch_waiting (client);
}

static void
open_connection (struct az_http_client *client)
{
  const struct az_http_connection_owner owner = {
    .loop = client->loop,
    .target = (const struct sockaddr *)&client->target,
    .idle = on_connection_idle,
    .answered = on_connection_answered,
    .closed = on_connection_closed,
    .freed = on_handle_closed,
    .context = client,
  };

  client->n_open_handles++;
  client->n_connecting++;
  g_ptr_array_add (client->connections, az_http_connection_create (&owner));
}

/* Removes an exchange from the queue or from its connection, which is closed because it can't be
 * reused. Returns the result for the caller. */
static enum az_http_result
detach_exchange (struct az_http_client *client, struct az_http_exchange *exchange)
{
  if (!exchange->connection)
    {
      g_queue_remove (&client->waiting, exchange);
      return AZ_HTTP_NOT_SENT;
    }
  remove_connection (client, exchange->connection);
  az_http_connection_drop (exchange->connection);
  return AZ_HTTP_LOST;
}

static void
on_completion_timer (uv_timer_t *timer);

static void
schedule_completion (struct az_http_client *client,
                     struct az_http_exchange *exchange,
                     enum az_http_result result,
                     const char *error)
{
  exchange->is_ended = true;
  exchange->result = result;
  exchange->error = error;
  g_queue_push_tail (&client->ended, exchange);
  uv_timer_start (&client->completion_timer, on_completion_timer, 0, 0);
}

static void
end_exchange (struct az_http_client *client, struct az_http_exchange *exchange, const char *error)
{
  schedule_completion (client, exchange, detach_exchange (client, exchange), error);
}

/* Reads the clock again: the process may have been paused since the loop did. */
static bool
has_waited_too_long (const struct az_http_exchange *exchange)
{
  return uv_hrtime () / NS_PER_MS > exchange->send_by_ms;
}

/* Sends waiting requests on idle connections and opens more connections up to the limit. */
static void
dispatch_waiting (struct az_http_client *client)
{
  while (!g_queue_is_empty (&client->waiting) && client->idle->len > 0)
    {
      struct az_http_exchange *exchange = g_queue_peek_head (&client->waiting);
      struct az_http_connection *connection;

      if (has_waited_too_long (exchange))
        {
          end_exchange (client, exchange, "no connection in time");
          continue;
        }
      connection = g_ptr_array_steal_index (client->idle, client->idle->len - 1);
      if (az_http_connection_send (connection, exchange))
        {
          g_queue_pop_head (&client->waiting);
          continue;
        }
      remove_connection (client, connection);
      az_http_connection_drop (connection);
    }
  while (client->n_connecting < g_queue_get_length (&client->waiting)
         && client->connections->len < client->max_connections)
    open_connection (client);
}

static void
on_completion_timer (uv_timer_t *timer)
{
  struct az_http_client *client = timer->data;
  struct az_http_exchange *exchange;

  while (!client->destroyed && (exchange = g_queue_pop_head (&client->ended)))
    fail_exchange (client, exchange, exchange->result, exchange->error);
  if (!client->destroyed)
    dispatch_waiting (client);
}

static void
on_deadline_timer (uv_timer_t *timer);

static void
arm_deadline_timer (struct az_http_client *client, uint64_t deadline_ms)
{
  uint64_t now_ms = uv_now (client->loop);
  uint64_t wait_ms = deadline_ms > now_ms ? deadline_ms - now_ms : 0;

  if (!uv_is_active ((uv_handle_t *)&client->deadline_timer)
      || uv_timer_get_due_in (&client->deadline_timer) > wait_ms)
    {
      client->deadline_timer_due_ms = now_ms + wait_ms;
      uv_timer_start (&client->deadline_timer, on_deadline_timer, wait_ms, 0);
    }
}

/* libuv runs timers before it reads. After the process was paused, the deadline timer is postponed
 * once, so that responses that arrived during the pause are read before their requests time out.
 * Returns whether the timer was postponed. */
static bool
postpone_if_late (struct az_http_client *client, uint64_t now_ms)
{
  bool is_late = now_ms > client->deadline_timer_due_ms + PAUSE_THRESHOLD_MS;

  if (!is_late || client->is_postponed)
    {
      client->is_postponed = false;
      return false;
    }
  client->is_postponed = true;
  uv_timer_start (&client->deadline_timer, on_deadline_timer, 1, 0);
  return true;
}

static uint64_t
next_deadline_ms (const struct az_http_exchange *exchange)
{
  return exchange->connection ? exchange->deadline_ms
                              : MIN (exchange->deadline_ms, exchange->send_by_ms);
}

/* Ends the exchanges whose deadline has passed and arms the timer for the next deadline. */
static void
on_deadline_timer (uv_timer_t *timer)
{
  struct az_http_client *client = timer->data;
  uint64_t now_ms = uv_now (client->loop);
  uint32_t handle = 0;

  if (postpone_if_late (client, now_ms))
    return;
  while ((handle = az_table_rows_next (client->exchanges, handle)))
    {
      struct az_http_exchange *exchange = get_exchange (client, handle);

      if (exchange->is_ended)
        continue;
      if (next_deadline_ms (exchange) <= now_ms)
        end_exchange (client, exchange,
                      exchange->deadline_ms <= now_ms ? "timed out" : "no connection in time");
      else
        arm_deadline_timer (client, next_deadline_ms (exchange));
    }
}

struct az_http_client *
az_http_client_create (uv_loop_t *loop, const char *address, unsigned connections)
{
  struct az_http_client *client = g_new0 (struct az_http_client, 1);

  client->loop = loop;
  az_broken_pipe_ignore ();
  client->host = g_strdup (address);
  client->is_target_valid = az_address_parse (address, &client->target);
  client->max_connections = MAX (connections, 1);
  client->connections = g_ptr_array_new ();
  client->idle = g_ptr_array_new ();
  g_queue_init (&client->waiting);
  g_queue_init (&client->ended);
  client->exchanges = az_table_rows_create (sizeof (struct az_http_exchange *));
  uv_timer_init (loop, &client->completion_timer);
  uv_timer_init (loop, &client->deadline_timer);
  client->completion_timer.data = client->deadline_timer.data = client;
  client->n_open_handles = 2;
  return client;
}

void
az_http_client_limit_wait (struct az_http_client *client, int64_t limit_ms)
{
  client->wait_limit_ms = limit_ms;
}

void
az_http_client_destroy (struct az_http_client *client)
{
  uint32_t handle;

  if (!client)
    return;
  client->destroyed = true;
  while ((handle = az_table_rows_next (client->exchanges, 0)))
    {
      struct az_http_exchange *exchange = get_exchange (client, handle);

      if (!exchange->is_ended)
        exchange->result = exchange->connection ? AZ_HTTP_LOST : AZ_HTTP_NOT_SENT;
      fail_exchange (client, exchange, exchange->result, "client stopped");
    }
  g_queue_clear (&client->waiting);
  g_queue_clear (&client->ended);
  for (guint i = 0; i < client->connections->len; i++)
    az_http_connection_drop (client->connections->pdata[i]);
  uv_close ((uv_handle_t *)&client->completion_timer, on_timer_closed);
  uv_close ((uv_handle_t *)&client->deadline_timer, on_timer_closed);
}

uint32_t
az_http_client_request (struct az_http_client *client,
                        const char *method,
                        const char *path,
                        const struct az_http_header *headers,
                        size_t n_headers,
                        const void *body,
                        size_t body_length,
                        int64_t timeout_ms,
                        void (*done) (void *context, const struct az_http_response *response),
                        void *context)
{
  struct az_http_exchange *exchange;
  struct az_http_exchange **row;

  if (client->destroyed)
    return 0;
  exchange
      = az_http_exchange_create (client->host, method, path, headers, n_headers, body, body_length);
  exchange->handle = az_table_rows_add (client->exchanges, (void **)&row);
  *row = exchange;
  exchange->done = done;
  exchange->context = context;
  exchange->deadline_ms = uv_now (client->loop) + (uint64_t)MAX (timeout_ms, 1);
  exchange->send_by_ms = client->wait_limit_ms > 0
                             ? uv_hrtime () / NS_PER_MS + (uint64_t)client->wait_limit_ms
                             : UINT64_MAX;
  if (!client->is_target_valid)
    {
      schedule_completion (client, exchange, AZ_HTTP_NOT_SENT, "not a numeric address and port");
      return exchange->handle;
    }
  arm_deadline_timer (client, next_deadline_ms (exchange));
  g_queue_push_tail (&client->waiting, exchange);
  dispatch_waiting (client);
  return exchange->handle;
}

void
az_http_client_cancel (struct az_http_client *client, uint32_t request)
{
  struct az_http_exchange *exchange = get_exchange (client, request);

  if (!exchange || exchange->is_ended || client->destroyed)
    return;
  end_exchange (client, exchange, "cancelled");
}

void
az_http_client_drop_idle (struct az_http_client *client)
{
  while (!client->destroyed && client->idle->len > 0)
    {
      struct az_http_connection *connection
          = g_ptr_array_index (client->idle, client->idle->len - 1);

      remove_connection (client, connection);
      az_http_connection_drop (connection);
    }
}
