#include "dispatch/event_loop.h"
#include "azurerock/log.h"
#include <signal.h>

static void
flush (struct az_event_loop *event_loop)
{
  event_loop->flush (event_loop->context);
  az_log_flush ();
}

static void
before_wait (uv_prepare_t *prepare)
{
  flush (prepare->data);
}

static void
after_wait (uv_check_t *check)
{
  flush (check->data);
}

static void
on_tick (uv_timer_t *timer)
{
  struct az_event_loop *event_loop = timer->data;

  az_settings_watch_check_if_due (event_loop->settings, (int64_t)(uv_hrtime () / 1000));
  event_loop->tick (event_loop->context);
}

static void
on_hangup (uv_signal_t *signal, int number)
{
  struct az_event_loop *event_loop = signal->data;

  (void)number;
  az_log (LOG_NOTICE, "event=hangup");
  az_settings_watch_check (event_loop->settings);
}

void
az_event_loop_open (struct az_event_loop *event_loop, uint64_t tick_ms)
{
  uv_timer_init (event_loop->loop, &event_loop->timer);
  uv_prepare_init (event_loop->loop, &event_loop->prepare);
  uv_check_init (event_loop->loop, &event_loop->check);
  uv_signal_init (event_loop->loop, &event_loop->signal);
  event_loop->timer.data = event_loop->prepare.data = event_loop->check.data
      = event_loop->signal.data = event_loop;
  uv_timer_start (&event_loop->timer, on_tick, tick_ms, tick_ms);
  uv_prepare_start (&event_loop->prepare, before_wait);
  uv_check_start (&event_loop->check, after_wait);
  uv_signal_start (&event_loop->signal, on_hangup, SIGHUP);
}

void
az_event_loop_close (struct az_event_loop *event_loop)
{
  uv_close ((uv_handle_t *)&event_loop->timer, NULL);
  uv_close ((uv_handle_t *)&event_loop->prepare, NULL);
  uv_close ((uv_handle_t *)&event_loop->check, NULL);
  uv_close ((uv_handle_t *)&event_loop->signal, NULL);
}
