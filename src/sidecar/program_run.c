#include "azurerock/log.h"
#include "azurerock/program.h"
#include "dispatch/session_times.h"
#include "sidecar/program.h"

#define TICK_MS 25

/* Gateways send the list of withdrawn domains about every second. A withdrawal must be in force
 * within 5 s, so a sidecar whose list is older than half of that time reads it from the store. */
#define WITHDRAWALS_MAX_AGE_MS 2500

/* Shares of grace_s after which running tasks are stopped and after which the process exits. */
#define CANCEL_SHARE 0.8
#define EXIT_SHARE 0.88

static void
on_flush (void *context)
{
  struct az_sidecar_program *program = context;

  if (program->is_closed)
    return;
  az_sidecar_flush (program->sidecar);
  az_rpc_flush (program->rpc);
}

static void
close_program (struct az_sidecar_program *program)
{
  az_sidecar_flush (program->sidecar);
  program->is_closed = true;
  az_http_server_stop_accepting (program->registry);
  az_http_server_destroy (program->registry);
  az_http_server_destroy (program->metrics);
  az_sidecar_program_close_upstream (program);
  az_metadata_client_destroy (program->store);
  az_rpc_destroy (program->rpc);
  az_event_loop_close (&program->event_loop);
  az_program_close_signal_handles ();
}

static void
continue_stop (struct az_sidecar_program *program)
{
  double stopping_s = (double)((int64_t)(uv_hrtime () / 1000) - program->stop_requested_us) / 1e6;

  if (stopping_s > program->options->grace_s * CANCEL_SHARE && !program->has_cancelled_tasks)
    {
      program->has_cancelled_tasks = true;
      az_sidecar_cancel_all (program->sidecar);
    }
  if (az_sidecar_is_idle (program->sidecar) || stopping_s > program->options->grace_s * EXIT_SHARE)
    close_program (program);
}

static void
on_tick (void *context)
{
  struct az_sidecar_program *program = context;

  az_sidecar_tick (program->sidecar);
  az_sidecar_program_connect (program);
  az_sidecar_program_poll_store (program);
  if (program->is_stopping)
    continue_stop (program);
}

static void
on_stop (void *context)
{
  struct az_sidecar_program *program = context;

  program->is_stopping = true;
  program->stop_requested_us = (int64_t)(uv_hrtime () / 1000);
  az_sidecar_stop (program->sidecar);
}

static void
create_core (struct az_sidecar_program *program)
{
  const struct az_sidecar_options *options = program->options;
  const struct az_sidecar_io io = {
    .send = az_sidecar_program_send_message,
    .close = az_sidecar_program_close_session,
    .start = az_sidecar_program_start_task,
    .stop = az_sidecar_program_stop_task,
    .hold = az_sidecar_program_send_hold,
    .probe = az_sidecar_program_send_probe,
    .context = program,
  };
  const struct az_sidecar_settings settings = {
    .instance = options->instance,
    .domain = options->domain,
    .lease_ms = MIN (AZ_TASK_LEASE_MS, (int64_t)options->lease_max_ms),
    .session_timeout_ms = AZ_SESSION_TIMEOUT_MS,
    .stop_ms = (int64_t)options->stop_ms,
    .withdrawals_max_age_ms = WITHDRAWALS_MAX_AGE_MS,
    .relative_slowness = options->relative_slowness,
    .report_interference = options->report_interference,
  };

  program->counters = az_counters_create ();
  az_http_limits_set (&program->options->limits, program->counters);
  program->sidecar = az_sidecar_create (&settings, az_generate_incarnation (), az_clock_system (),
                                        &io, program->counters);
}

static bool
open_program (struct az_sidecar_program *program, GError **error)
{
  create_core (program);
  if (!az_sidecar_program_open_registry (program, error))
    return false;
  az_sidecar_program_open_rpc (program);
  program->settings = (struct az_settings_watch){
    .path = az_program_settings_path (),
    .schema = az_sidecar_schema,
    .n_schema = az_sidecar_n_schema,
    .size = sizeof *program->options,
    .seeds_offset = offsetof (struct az_sidecar_options, seeds),
    .add_seeds = az_sidecar_program_add_seeds,
    .context = program,
  };
  az_settings_watch_open (&program->settings);
  az_sidecar_program_add_seeds (program, program->options->seeds);
  program->store = az_metadata_client_create (program->loop, program->options->store_address);
  az_sidecar_program_open_relay (program);
  az_sidecar_program_read_record (program);
  program->event_loop = (struct az_event_loop){
    .loop = program->loop,
    .flush = on_flush,
    .tick = on_tick,
    .context = program,
    .settings = &program->settings,
  };
  az_event_loop_open (&program->event_loop, TICK_MS);
  az_sidecar_program_connect (program);
  az_sidecar_program_poll_store (program);
  az_program_set_stop_handler (program->loop, on_stop, program);
  return true;
}

int
az_sidecar_program_run (struct az_sidecar_options *options)
{
  struct az_sidecar_program program = { .options = options, .loop = uv_default_loop () };
  g_autoptr (GError) error = NULL;
  int exit_code = AZ_EXIT_SUCCESS;

  az_log_enable_buffering ();
  if (open_program (&program, &error))
    {
      az_log (LOG_NOTICE, "event=start instance=%s domain=%s registry=%s", options->instance,
              options->domain, options->registry_address);
      uv_run (program.loop, UV_RUN_DEFAULT);
      az_log (LOG_NOTICE, "event=stop instance=%s", options->instance);
    }
  else
    {
      az_log (LOG_ERR, "event=start outcome=failed reason=\"%s\"", error->message);
      exit_code = AZ_EXIT_FAILURE;
    }
  az_sidecar_destroy (program.sidecar);
  az_http_limits_clear_counters ();
  az_counters_destroy (program.counters);
  az_settings_watch_close (&program.settings);
  az_links_destroy (program.links);
  az_relay_destroy (program.relay);
  g_free (program.record);
  az_log_flush ();
  return exit_code;
}
