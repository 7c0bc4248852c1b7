#include "azurerock/log.h"
#include "azurerock/program.h"
#include "entry/program.h"

#define TICK_MS 10

/* Time for the last answers to reach callers before their connections are closed. */
#define LINGER_MS 200

static void
flush (struct az_entry_program *program)
{
  az_entry_core_flush (program->core);
  az_rpc_flush (program->rpc);
}

static void
flush_before_wait (uv_prepare_t *prepare)
{
  flush (prepare->data);
}

static void
flush_after_wait (uv_check_t *check)
{
  flush (check->data);
}

static void
stop_loop (uv_timer_t *timer)
{
  struct az_entry_program *program = timer->data;

  program->is_stopped = true;
  az_rpc_destroy (program->rpc);
  az_entry_program_close_http (program);
  az_entry_program_close_store (program);
  uv_close ((uv_handle_t *)&program->tick_timer, NULL);
  uv_close ((uv_handle_t *)&program->linger_timer, NULL);
  uv_close ((uv_handle_t *)&program->prepare, NULL);
  uv_close ((uv_handle_t *)&program->check, NULL);
  az_program_close_signal_handles ();
}

void
az_entry_program_session_destroyed (struct az_entry_program *program)
{
  uv_timer_start (&program->linger_timer, stop_loop, LINGER_MS, 0);
}

static void
on_tick (uv_timer_t *timer)
{
  struct az_entry_program *program = timer->data;

  az_entry_core_tick (program->core);
  if (!program->is_stopping || program->is_closing || !az_entry_core_is_drained (program->core))
    return;
  program->is_closing = true;
  az_http_server_stop_accepting (program->http);
  az_entry_program_destroy_session (program);
}

static void
on_stop (void *context)
{
  struct az_entry_program *program = context;

  program->is_stopping = true;
  az_event_log_write (program->events, "stop", "outcome", "graceful", NULL);
  az_entry_core_stop (program->core);
}

static void
open_loop (struct az_entry_program *program)
{
  uv_timer_init (program->loop, &program->tick_timer);
  uv_timer_init (program->loop, &program->linger_timer);
  uv_prepare_init (program->loop, &program->prepare);
  uv_check_init (program->loop, &program->check);
  program->tick_timer.data = program->linger_timer.data = program;
  program->prepare.data = program->check.data = program;
  uv_timer_start (&program->tick_timer, on_tick, TICK_MS, TICK_MS);
  uv_prepare_start (&program->prepare, flush_before_wait);
  uv_check_start (&program->check, flush_after_wait);
  az_program_set_stop_handler (program->loop, on_stop, program);
}

static void
create_core (struct az_entry_program *program)
{
  const struct az_entry_options *options = program->options;
  const struct az_entry_io io = {
    .send = az_entry_program_send,
    .connect = az_entry_program_connect,
    .answer = az_entry_program_answer,
    .write_table = az_entry_program_write_table,
    .context = program,
  };
  struct az_entry_settings settings;

  az_entry_settings_init (&settings);
  settings.instance = options->instance;
  settings.domain = options->domain;
  settings.rpc_address = options->rpc_address;
  settings.http_address = options->http_address;
  program->core = az_entry_core_create (&settings, program->incarnation, az_clock_system (),
                                        program->random, &io, program->counters, program->events);
}

static void
destroy_program (struct az_entry_program *program)
{
  az_entry_core_destroy (program->core);
  az_event_log_destroy (program->events);
  az_http_limits_clear_counters ();
  az_counters_destroy (program->counters);
  g_rand_free (program->random);
}

/* Steps that can fail come first. */
static bool
open_program (struct az_entry_program *program, GError **error)
{
  program->incarnation = az_generate_incarnation ();
  program->counters = az_counters_create ();
  az_http_limits_set (&program->options->limits, program->counters);
  program->random = g_rand_new ();
  program->events = az_event_log_create (program->options->event_log, program->options->instance,
                                         program->incarnation, az_clock_system (), error);
  if (!program->events)
    return false;
  create_core (program);
  if (!az_entry_program_open_rpc (program, error) || !az_entry_program_open_http (program, error))
    return false;
  az_entry_program_open_store (program);
  open_loop (program);
  return true;
}

int
az_entry_program_run (const struct az_entry_options *options)
{
  struct az_entry_program program = { .options = options, .loop = uv_default_loop () };
  g_autoptr (GError) error = NULL;
  int exit_code = AZ_EXIT_SUCCESS;

  if (open_program (&program, &error))
    {
      az_log (LOG_NOTICE, "entry %s in failure domain %s: HTTP on %s, RPC on %s", options->instance,
              options->domain, options->http_address, options->rpc_address);
      uv_run (program.loop, UV_RUN_DEFAULT);
    }
  else
    {
      az_log (LOG_ERR, "%s", error->message);
      exit_code = AZ_EXIT_FAILURE;
    }
  destroy_program (&program);
  return exit_code;
}
