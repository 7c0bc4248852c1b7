#include "dispatch/node_loop.h"
#include "azurerock/log.h"
#include <signal.h>

static void
flush (struct az_node_loop *node)
{
  node->flush (node->context);
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
  struct az_node_loop *node = timer->data;

  node->tick (node->context);
}

static void
on_hangup (uv_signal_t *signal, int number)
{
  struct az_node_loop *node = signal->data;

  (void)number;
  node->hangup (node->context);
}

void
az_node_loop_open (struct az_node_loop *node, uint64_t tick_ms)
{
  uv_timer_init (node->loop, &node->timer);
  uv_prepare_init (node->loop, &node->prepare);
  uv_check_init (node->loop, &node->check);
  uv_signal_init (node->loop, &node->signal);
  node->timer.data = node->prepare.data = node->check.data = node->signal.data = node;
  uv_timer_start (&node->timer, on_tick, tick_ms, tick_ms);
  uv_prepare_start (&node->prepare, before_wait);
  uv_check_start (&node->check, after_wait);
  uv_signal_start (&node->signal, on_hangup, SIGHUP);
}

void
az_node_loop_close (struct az_node_loop *node)
{
  uv_close ((uv_handle_t *)&node->timer, NULL);
  uv_close ((uv_handle_t *)&node->prepare, NULL);
  uv_close ((uv_handle_t *)&node->check, NULL);
  uv_close ((uv_handle_t *)&node->signal, NULL);
}
