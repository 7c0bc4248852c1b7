#include "net/http_admission.h"
#include "net/http_caller.h"
#include "net/listener.h"

/* How often time limits are checked, and how often a paused listener tries again. */
#define CHECK_INTERVAL_MS 100

/* A check that is later than this indicates that the process was paused. What callers sent
 * meanwhile hasn't been read yet. */
#define PAUSE_THRESHOLD_MS 500

/* Descriptors that connections leave free in any case. Without one, libuv closes all connections
 * that wait in the backlog. Readiness and metrics can use those that callers leave. */
#define SPARE_DESCRIPTORS 24
#define STATUS_SPARE_DESCRIPTORS 8

struct az_http_admission
{
  struct az_http_admission_owner owner;
  struct az_listener *listener;
  uv_timer_t check_timer;
  uv_prepare_t prepare;
  uv_check_t after_poll;
  uv_idle_t wake; /* lets the loop poll again without waiting */
  unsigned n_open_handles;
  int64_t checked_ms;
  struct az_http_pool *pool;
  unsigned connections_max;
  int64_t descriptors_max;
  GQueue resuming;
  bool is_full;      /* a connection waits for room */
  bool is_busy;      /* and no other one can be closed for it */
  bool has_accepted; /* since the loop has polled; the connection hasn't been read from yet */
  bool is_short;     /* the system gave no descriptor; accept nothing until the next check */
  bool is_stopped;
};

static bool
has_room (const struct az_http_admission *admission)
{
  return az_http_pool_count (admission->pool) < admission->connections_max;
}

static void
close_for_room (struct az_http_admission *admission)
{
  struct az_http_holder *holder = az_http_pool_choose_for_room (admission->pool);

  if (holder)
    az_http_caller_cut (az_http_caller_from_holder (holder), AZ_HTTP_CAUSE_CONNECTIONS);
  else if (!admission->is_busy && !az_http_pool_is_closing (admission->pool))
    {
      az_http_limits_count (AZ_HTTP_CAUSE_FULL);
      admission->is_busy = true;
    }
}

static bool
on_connection (void *context, uv_stream_t *stream)
{
  struct az_http_admission *admission = context;

  admission->is_full = !has_room (admission);
  if (admission->is_full || admission->is_short)
    return false;
  admission->is_short = !admission->owner.accept (admission->owner.context, stream);
  admission->has_accepted = true;
  return true;
}

static void
on_listener_failed (void *context)
{
  (void)context;
  az_http_limits_count (AZ_HTTP_CAUSE_DESCRIPTORS);
}

static void
on_listener_closed (void *context)
{
  struct az_http_admission *admission = context;

  admission->owner.stopped (admission->owner.context);
}

/* Before the loop polls: what libh2o reads from now on must be counted. */
static void
on_prepare (uv_prepare_t *prepare)
{
  struct az_http_admission *admission = prepare->data;

  az_http_callers_resume (&admission->resuming);
}

static void
on_wake (uv_idle_t *wake)
{
  (void)wake;
}

/* A connection without a request is only closed for another one after the loop has polled it, as
 * its request may have arrived with it. */
static void
on_polled (uv_check_t *check)
{
  struct az_http_admission *admission = check->data;
  bool has_accepted = admission->has_accepted;

  admission->has_accepted = false;
  uv_idle_stop (&admission->wake);
  if (!admission->is_full || admission->is_stopped)
    return;
  if (has_accepted)
    uv_idle_start (&admission->wake, on_wake);
  else if (!has_room (admission))
    close_for_room (admission);
  if (!has_room (admission))
    return;
  admission->is_busy = false;
  az_listener_resume (admission->listener);
}

static void
allow_for_pause (struct az_http_admission *admission, int64_t now_ms)
{
  int64_t late_ms = now_ms - admission->checked_ms - CHECK_INTERVAL_MS;

  admission->checked_ms = now_ms;
  if (late_ms > PAUSE_THRESHOLD_MS)
    az_http_pool_postpone (admission->pool, late_ms, now_ms);
}

static void
on_check (uv_timer_t *timer)
{
  struct az_http_admission *admission = timer->data;
  const struct az_http_limits *limits = az_http_limits_get ();
  int64_t now_ms = (int64_t)uv_now (timer->loop);
  struct az_http_holder *holder;
  enum az_http_cause cause;

  allow_for_pause (admission, now_ms);
  while ((holder = az_http_pool_choose_expired (admission->pool, limits, now_ms, &cause)))
    az_http_caller_cut (az_http_caller_from_holder (holder), cause);
  if (admission->is_short)
    close_for_room (admission);
  admission->is_short = false;
  if (!admission->is_stopped)
    az_listener_resume (admission->listener);
  az_http_limits_log (az_http_ledger_process ()->bytes, now_ms);
}

static void
start_handles (struct az_http_admission *admission, uv_loop_t *loop)
{
  uv_timer_init (loop, &admission->check_timer);
  uv_prepare_init (loop, &admission->prepare);
  uv_check_init (loop, &admission->after_poll);
  uv_idle_init (loop, &admission->wake);
  admission->check_timer.data = admission;
  admission->prepare.data = admission->after_poll.data = admission;
  admission->wake.data = admission;
  admission->n_open_handles = 4;
  admission->checked_ms = (int64_t)uv_now (loop);
  uv_timer_start (&admission->check_timer, on_check, CHECK_INTERVAL_MS, CHECK_INTERVAL_MS);
  uv_prepare_start (&admission->prepare, on_prepare);
  uv_check_start (&admission->after_poll, on_polled);
  uv_unref ((uv_handle_t *)&admission->prepare);
  uv_unref ((uv_handle_t *)&admission->after_poll);
}

struct az_http_admission *
az_http_admission_create (uv_loop_t *loop,
                          bool is_status,
                          const struct az_http_admission_owner *owner)
{
  struct az_http_admission *admission = g_new0 (struct az_http_admission, 1);
  const struct az_http_limits *limits = az_http_limits_get ();
  const struct az_listener_owner listener_owner
      = { on_connection, on_listener_failed, on_listener_closed, admission };

  admission->owner = *owner;
  admission->connections_max = is_status ? limits->status_connections_max : limits->connections_max;
  admission->descriptors_max
      = limits->descriptors - (is_status ? STATUS_SPARE_DESCRIPTORS : SPARE_DESCRIPTORS);
  admission->pool = az_http_pool_create (az_http_ledger_process ());
  admission->listener = az_listener_create (loop, &listener_owner);
  start_handles (admission, loop);
  return admission;
}

int
az_http_admission_open (struct az_http_admission *admission, struct sockaddr_storage *address)
{
  return az_listener_open (admission->listener, address);
}

void
az_http_admission_stop (struct az_http_admission *admission)
{
  admission->is_stopped = true;
  az_listener_close (admission->listener);
}

static void
on_handle_closed (uv_handle_t *handle)
{
  struct az_http_admission *admission = handle->data;

  if (--admission->n_open_handles > 0)
    return;
  az_http_pool_destroy (admission->pool);
  admission->owner.freed (admission->owner.context);
  g_free (admission);
}

void
az_http_admission_destroy (struct az_http_admission *admission)
{
  uv_close ((uv_handle_t *)&admission->check_timer, on_handle_closed);
  uv_close ((uv_handle_t *)&admission->prepare, on_handle_closed);
  uv_close ((uv_handle_t *)&admission->after_poll, on_handle_closed);
  uv_close ((uv_handle_t *)&admission->wake, on_handle_closed);
}

struct az_http_pool *
az_http_admission_pool (struct az_http_admission *admission)
{
  return admission->pool;
}

int64_t
az_http_admission_descriptors_max (const struct az_http_admission *admission)
{
  return admission->descriptors_max;
}

GQueue *
az_http_admission_resuming (struct az_http_admission *admission)
{
  return &admission->resuming;
}
