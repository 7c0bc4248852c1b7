#include "net/rpc_admission.h"
#include "net/address.h"
#include "net/http_limits.h"
#include "net/rpc_pressure.h"

/* Incoming connections whose peers haven't identified themselves. Where descriptors are few, they
 * may take this part of them. */
#define UNKNOWN_MAX 64
#define UNKNOWN_DESCRIPTORS_PART 4

/* A peer sends its hello as soon as it is connected. */
#define HELLO_TIMEOUT_MS 5000

/* A connection is closed for another one only after this time. It is well below the time after
 * which a peer gives up an idle session, so that a peer that waits behind silent connections still
 * gets its turn. */
#define HELLO_GRACE_MS 500

/* How often time limits are checked, and how long a listener without descriptors pauses. */
#define CHECK_INTERVAL_MS 100

/* Descriptors that connections leave free in any case, as for readiness and metrics. */
#define SPARE_DESCRIPTORS 8

static void
close_limited (struct az_rpc_connection *connection, enum az_rpc_cause cause)
{
  az_rpc_limits_count (connection->rpc->limits, cause, connection->address);
  az_rpc_connection_close (connection, az_rpc_limits_reason (cause));
}

static bool
leaves_too_few_descriptors (struct az_rpc_connection *connection)
{
  uv_os_fd_t fd;

  /* A new descriptor has the lowest free number, so the number tells how many are in use. */
  return uv_fileno ((uv_handle_t *)&connection->tcp, &fd) < 0
         || fd >= connection->rpc->descriptors_max;
}

static void
start (struct az_rpc_connection *connection)
{
  struct az_rpc *rpc = connection->rpc;
  struct sockaddr_storage peer = { 0 };
  int length = sizeof peer;

  uv_tcp_getpeername (&connection->tcp, (struct sockaddr *)&peer, &length);
  connection->address = az_address_format (&peer);
  if (leaves_too_few_descriptors (connection))
    {
      rpc->is_short = true;
      close_limited (connection, AZ_RPC_CAUSE_DESCRIPTORS);
      return;
    }
  connection->unknown_link.data = connection;
  g_queue_push_tail_link (&rpc->unknown, &connection->unknown_link);
  az_rpc_connection_start (connection);
}

static bool
on_accept (void *context, uv_stream_t *stream)
{
  struct az_rpc *rpc = context;
  struct az_rpc_connection *connection;

  rpc->is_full = rpc->unknown.length >= rpc->unknown_max;
  if (rpc->is_full || rpc->is_short)
    return false;
  connection = az_rpc_connection_create (rpc, NULL, false);
  if (uv_accept (stream, (uv_stream_t *)&connection->tcp) < 0)
    az_rpc_connection_close (connection, "accept failed");
  else
    start (connection);
  return true;
}

static void
on_listener_failed (void *context)
{
  struct az_rpc *rpc = context;

  az_rpc_limits_count (rpc->limits, AZ_RPC_CAUSE_DESCRIPTORS, NULL);
}

static void
on_listener_closed (void *context)
{
  az_rpc_release_handle (context);
}

static void
on_timer (uv_timer_t *timer)
{
  struct az_rpc *rpc = timer->data;

  rpc->is_check_due = true;
}

void
az_rpc_admission_open (struct az_rpc *rpc)
{
  const struct az_listener_owner owner = { on_accept, on_listener_failed, on_listener_closed, rpc };
  const struct az_http_limits *limits = az_http_limits_get ();
  int64_t unknown_max = limits->descriptors / UNKNOWN_DESCRIPTORS_PART;

  rpc->unknown_max = (unsigned)CLAMP (unknown_max, 1, UNKNOWN_MAX);
  rpc->descriptors_max = limits->descriptors - SPARE_DESCRIPTORS;
  rpc->listener = az_listener_create (rpc->loop, &owner);
  uv_timer_init (rpc->loop, &rpc->limit_timer);
  rpc->limit_timer.data = rpc;
  uv_timer_start (&rpc->limit_timer, on_timer, CHECK_INTERVAL_MS, CHECK_INTERVAL_MS);
  uv_unref ((uv_handle_t *)&rpc->limit_timer);
}

static void
on_timer_closed (uv_handle_t *handle)
{
  az_rpc_release_handle (handle->data);
}

void
az_rpc_admission_close (struct az_rpc *rpc)
{
  az_listener_close (rpc->listener);
  uv_close ((uv_handle_t *)&rpc->limit_timer, on_timer_closed);
}

static bool
close_oldest (struct az_rpc *rpc, uint64_t age_min_ms, enum az_rpc_cause cause)
{
  struct az_rpc_connection *oldest = g_queue_peek_head (&rpc->unknown);

  if (!oldest || uv_now (rpc->loop) - oldest->connect_started_ms < age_min_ms)
    return false;
  close_limited (oldest, cause);
  return true;
}

static void
check (struct az_rpc *rpc)
{
  rpc->is_check_due = false;
  while (close_oldest (rpc, HELLO_TIMEOUT_MS, AZ_RPC_CAUSE_HELLO_TIMEOUT))
    continue;
  if (rpc->is_short)
    close_oldest (rpc, HELLO_GRACE_MS, AZ_RPC_CAUSE_CONNECTIONS);
  rpc->is_short = false;
  if (rpc->local_address)
    az_listener_resume (rpc->listener);
  az_rpc_pressure_check (rpc);
  az_rpc_limits_log (rpc->limits, rpc->budget.in + rpc->budget.out, rpc->budget.bytes_max,
                     rpc->unknown.length, (int64_t)uv_now (rpc->loop));
}

void
az_rpc_admission_polled (struct az_rpc *rpc)
{
  if (rpc->is_check_due)
    check (rpc);
  if (!rpc->is_full)
    return;
  if (rpc->unknown.length >= rpc->unknown_max)
    close_oldest (rpc, HELLO_GRACE_MS, AZ_RPC_CAUSE_CONNECTIONS);
  if (rpc->unknown.length < rpc->unknown_max)
    az_listener_resume (rpc->listener);
}

void
az_rpc_admission_identify (struct az_rpc_connection *connection)
{
  az_rpc_admission_forget (connection);
  connection->holder.is_known = true;
}

void
az_rpc_admission_forget (struct az_rpc_connection *connection)
{
  if (!connection->unknown_link.data)
    return;
  g_queue_unlink (&connection->rpc->unknown, &connection->unknown_link);
  connection->unknown_link.data = NULL;
}
