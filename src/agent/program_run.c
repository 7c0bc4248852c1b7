#include "agent/program.h"
#include "azurerock/log.h"
#include "azurerock/program.h"

#define TICK_MS 20

static void
flush_before_wait (uv_prepare_t *prepare)
{
  struct az_agent_program *program = prepare->data;

  az_agent_core_flush (program->core);
  az_rpc_flush (program->rpc);
}

static void
flush_after_wait (uv_check_t *check)
{
  struct az_agent_program *program = check->data;

  az_agent_core_flush (program->core);
  az_rpc_flush (program->rpc);
}

static void
stop_loop (struct az_agent_program *program)
{
  program->is_stopped = true;
  az_agent_core_flush (program->core);
  az_rpc_destroy (program->rpc);
  az_agent_program_close_upstream (program);
  az_agent_program_close_probe (program);
  az_agent_program_close_roster (program);
  if (program->http)
    {
      az_http_server_stop_accepting (program->http);
      az_http_server_destroy (program->http);
    }
  uv_close ((uv_handle_t *)&program->tick_timer, NULL);
  uv_close ((uv_handle_t *)&program->prepare, NULL);
  uv_close ((uv_handle_t *)&program->check, NULL);
  az_program_close_signal_handles ();
}

static void
on_tick (uv_timer_t *timer)
{
  struct az_agent_program *program = timer->data;

  az_agent_core_tick (program->core);
  if (program->is_stopping && az_agent_core_is_drained (program->core))
    stop_loop (program);
}

static void
on_stop (void *context)
{
  struct az_agent_program *program = context;

  program->is_stopping = true;
  az_event_log_write (program->events, "stop", "outcome", "graceful", NULL);
  az_agent_core_stop (program->core);
}

static void
open_loop (struct az_agent_program *program)
{
  uv_timer_init (program->loop, &program->tick_timer);
  uv_prepare_init (program->loop, &program->prepare);
  uv_check_init (program->loop, &program->check);
  program->tick_timer.data = program->prepare.data = program->check.data = program;
  uv_timer_start (&program->tick_timer, on_tick, TICK_MS, TICK_MS);
  uv_prepare_start (&program->prepare, flush_before_wait);
  uv_check_start (&program->check, flush_after_wait);
  az_program_set_stop_handler (program->loop, on_stop, program);
}

static void
create_core (struct az_agent_program *program, uint64_t incarnation)
{
  const struct az_agent_options *options = program->options;
  const struct az_agent_io io = {
    .send = az_agent_program_send,
    .connect = az_agent_program_connect,
    .close = az_agent_program_close,
    .start = az_agent_program_start_task,
    .cancel = az_agent_program_cancel_task,
    .context = program,
  };
  struct az_agent_settings settings;

  az_agent_settings_init (&settings);
  settings.instance = options->instance;
  settings.upstream = options->upstream;
  settings.domain = options->domain;
  settings.slots = (uint32_t)options->slots;
  program->core = az_agent_core_create (&settings, incarnation, az_clock_system (), program->random,
                                        &io, program->counters, program->events);
}

static void
destroy (struct az_agent_program *program)
{
  az_agent_core_destroy (program->core);
  az_event_log_destroy (program->events);
  az_counters_destroy (program->counters);
  g_rand_free (program->random);
}

/* The steps that can fail come first. */
static bool
open_program (struct az_agent_program *program, GError **error)
{
  uint64_t incarnation = az_generate_incarnation ();

  program->counters = az_counters_create ();
  program->random = g_rand_new ();
  program->events = az_event_log_create (program->options->event_log, program->options->instance,
                                         incarnation, az_clock_system (), error);
  if (!program->events || !az_agent_program_open_http (program, error))
    return false;
  create_core (program, incarnation);
  az_agent_program_open_rpc (program);
  az_agent_program_open_upstream (program);
  az_agent_program_open_probe (program);
  az_agent_program_open_roster (program);
  open_loop (program);
  return true;
}

int
az_agent_program_run (const struct az_agent_options *options)
{
  struct az_agent_program program = { .options = options, .loop = uv_default_loop () };
  g_autoptr (GError) error = NULL;
  int exit_code = AZ_EXIT_SUCCESS;

  if (open_program (&program, &error))
    {
      az_log (LOG_NOTICE, "agent %s started: upstream %s, domain %s", options->instance,
              options->upstream, options->domain);
      uv_run (program.loop, UV_RUN_DEFAULT);
    }
  else
    {
      az_log (LOG_ERR, "%s", error->message);
      exit_code = AZ_EXIT_FAILURE;
    }
  destroy (&program);
  return exit_code;
}
