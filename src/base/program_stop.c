#include "azurerock/log.h"
#include "azurerock/program.h"
#include <signal.h>
#include <unistd.h>

static const int stop_signals[] = { SIGTERM, SIGINT };

static uv_signal_t signal_handles[G_N_ELEMENTS (stop_signals)];
static bool is_stopping;
static void (*stop_callback) (void *context);
static void *stop_context;

static void
on_signal (uv_signal_t *handle, int signal_number)
{
  (void)handle;
  if (is_stopping)
    _exit (AZ_EXIT_FAILURE);
  is_stopping = true;
  az_log (LOG_NOTICE, "stopping on signal %d", signal_number);
  stop_callback (stop_context);
}

void
az_program_set_stop_handler (uv_loop_t *loop, void (*stop) (void *context), void *context)
{
  is_stopping = false;
  stop_callback = stop;
  stop_context = context;
  for (size_t i = 0; i < G_N_ELEMENTS (signal_handles); i++)
    {
      uv_signal_init (loop, &signal_handles[i]);
      uv_signal_start (&signal_handles[i], on_signal, stop_signals[i]);
    }
}

void
az_program_close_signal_handles (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (signal_handles); i++)
    if (!uv_is_closing ((uv_handle_t *)&signal_handles[i]))
      uv_close ((uv_handle_t *)&signal_handles[i], NULL);
}
