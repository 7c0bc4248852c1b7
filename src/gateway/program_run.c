#include "azurerock/log.h"
#include "azurerock/program.h"
#include "dispatch/session_times.h"
#include "gateway/program.h"

#define TICK_MS 20

/* Share of the grace period after which the remaining jobs are abandoned. */
#define ABANDON_SHARE 0.83

/* The load balancer takes up to two seconds to notice that this instance isn't ready. */
#define STOP_MIN_S 2.6

static void
on_flush (void *context)
{
  struct az_gateway_program *program = context;

  if (program->is_closed)
    return;
  az_gateway_flush (program->gateway);
  az_rpc_flush (program->rpc);
}

static void
close_program (struct az_gateway_program *program)
{
  program->is_closed = true;
  az_gateway_abandon_jobs (program->gateway);
  az_http_server_stop_accepting (program->jobs);
  az_http_server_destroy (program->jobs);
  az_http_server_destroy (program->ready);
  az_http_server_destroy (program->metrics);
  az_gateway_program_close_membership (program);
  az_gateway_program_close_store (program);
  az_rpc_destroy (program->rpc);
  az_event_loop_close (&program->event_loop);
  az_program_close_signal_handles ();
}

static void
on_tick (void *context)
{
  struct az_gateway_program *program = context;
  double stopping_s = (double)((int64_t)(uv_hrtime () / 1000) - program->stop_started_us) / 1e6;
  bool is_idle;

  az_gateway_program_check_store (program);
  az_gateway_tick (program->gateway);
  if (!program->is_stopping)
    return;
  is_idle = az_gateway_n_jobs (program->gateway) == 0
            && az_http_server_count_connections (program->jobs) == 0;
  if (stopping_s > program->options->grace_s * ABANDON_SHARE
      || (is_idle && stopping_s > STOP_MIN_S))
    close_program (program);
}

static void
on_stop (void *context)
{
  struct az_gateway_program *program = context;

  program->is_stopping = true;
  program->stop_started_us = (int64_t)(uv_hrtime () / 1000);
  az_log (LOG_NOTICE, "event=stopping jobs=%zu", az_gateway_n_jobs (program->gateway));
  az_http_server_close_after_responses (program->jobs);
  az_gateway_stop (program->gateway, (int64_t)(program->options->grace_s * ABANDON_SHARE * 1000));
}

static void
create_core (struct az_gateway_program *program)
{
  const struct az_gateway_options *options = program->options;
  const struct az_gateway_io io = {
    .send = az_gateway_program_send,
    .close = az_gateway_program_close,
    .connect = az_gateway_program_connect,
    .answer = az_gateway_program_answer,
    .cancelled = az_gateway_program_cancelled,
    .context = program,
  };
  const struct az_gateway_settings settings = {
    .instance = options->instance,
    .domain = options->domain,
    .address = options->advertised_address,
    .session_timeout_ms = AZ_SESSION_TIMEOUT_MS,
    .orphan_timeout_ms = AZ_ORPHAN_TIMEOUT_MS,
    .cross_domain_cost_ms = 4,
    .apply_ms = options->configuration_apply_ms,
    .remote_factor = options->remote_factor,
    .share_demand = options->share_demand,
    .fair_queue_shares = options->fair_queue_shares,
    .priority_discount = options->priority_discount,
    .tail_aware_moves = options->tail_aware_moves,
    .relative_slowness = options->relative_slowness,
    .separate_queues = options->separate_queues,
  };

  program->counters = az_counters_create ();
  az_http_limits_set (&program->options->limits, program->counters);
  program->gateway = az_gateway_create (&settings, az_generate_incarnation (), az_clock_system (),
                                        &io, program->counters);
}

static bool
open_program (struct az_gateway_program *program, GError **error)
{
  create_core (program);
  if (!az_gateway_program_open_status (program, error)
      || !az_gateway_program_open_jobs (program, error)
      || !az_gateway_program_open_rpc (program, error))
    return false;
  program->settings = (struct az_settings_watch){
    .path = az_program_settings_path (),
    .schema = az_gateway_schema,
    .n_schema = az_gateway_n_schema,
    .size = sizeof *program->options,
    .seeds_offset = offsetof (struct az_gateway_options, seeds),
    .add_seeds = az_gateway_program_add_seeds,
    .context = program,
  };
  az_settings_watch_open (&program->settings);
  az_gateway_program_add_seeds (program, program->options->seeds);
  az_gateway_program_open_store (program);
  az_gateway_program_open_membership (program);
  program->event_loop = (struct az_event_loop){
    .loop = program->loop,
    .flush = on_flush,
    .tick = on_tick,
    .context = program,
    .settings = &program->settings,
  };
  az_event_loop_open (&program->event_loop, TICK_MS);
  az_program_set_stop_handler (program->loop, on_stop, program);
  return true;
}

int
az_gateway_program_run (struct az_gateway_options *options)
{
  struct az_gateway_program program = { .options = options, .loop = uv_default_loop () };
  g_autoptr (GError) error = NULL;
  int exit_code = AZ_EXIT_SUCCESS;

  az_log_enable_buffering ();
  if (open_program (&program, &error))
    {
      az_log (LOG_NOTICE, "event=start instance=%s domain=%s jobs=%s peers=%s", options->instance,
              options->domain, options->jobs_address, options->peer_address);
      uv_run (program.loop, UV_RUN_DEFAULT);
      az_log (LOG_NOTICE, "event=stop instance=%s", options->instance);
    }
  else
    {
      az_log (LOG_ERR, "event=start outcome=failed reason=\"%s\"", error->message);
      exit_code = AZ_EXIT_FAILURE;
    }
  az_gateway_program_free_store (&program);
  az_gateway_destroy (program.gateway);
  az_http_limits_clear_counters ();
  az_counters_destroy (program.counters);
  az_settings_watch_close (&program.settings);
  az_log_flush ();
  return exit_code;
}
