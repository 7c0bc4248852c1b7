#include "agent/program.h"
#include "azurerock/configuration.h"
#include "azurerock/log.h"

/* Time for which the seeds can answer before the store is read, and interval of further reads. */
#define ROSTER_READ_INTERVAL_MS 2000

static void
add_roster (struct az_agent_program *program, const struct az_store_value *value)
{
  g_autoptr (GError) error = NULL;
  struct az_table table;

  if (!az_owner_table_parse (value->value, value->length, &table, &error))
    {
      az_log (LOG_ERR, "cannot parse the owner table in the store: %s", error->message);
      return;
    }
  for (u_int i = 0; i < table.roster.roster_len; i++)
    az_agent_core_add_seed (program->core, table.roster.roster_val[i].rpc_address);
  az_owner_table_clear (&table);
}

static void
on_read (void *context, const struct az_store_answer *answer)
{
  struct az_agent_program *program = context;

  program->is_reading_store = false;
  if (program->is_stopped)
    return;
  if (answer->result != AZ_STORE_OK)
    az_log (LOG_WARNING, "cannot read the owner table from the store: %s",
            answer->error ? answer->error : "no answer");
  else if (answer->n_values > 0)
    add_roster (program, &answer->values[0]);
}

static void
on_interval (uv_timer_t *timer)
{
  struct az_agent_program *program = timer->data;

  if (program->open_connections > 0 || !program->store || program->is_reading_store)
    return;
  program->is_reading_store = true;
  az_store_client_get (program->store, AZ_STORE_KEY_OWNERS, false, on_read, program);
}

void
az_agent_program_open_roster (struct az_agent_program *program)
{
  const struct az_agent_options *options = program->options;
  guint n_seeds = options->seeds ? options->seeds->len : 0;

  for (guint i = 0; i < n_seeds; i++)
    az_agent_core_add_seed (program->core, g_ptr_array_index (options->seeds, i));
  if (options->store_address)
    program->store = az_store_client_create (program->loop, options->store_address);
  uv_timer_init (program->loop, &program->roster_timer);
  program->roster_timer.data = program;
  uv_timer_start (&program->roster_timer, on_interval, n_seeds > 0 ? ROSTER_READ_INTERVAL_MS : 0,
                  ROSTER_READ_INTERVAL_MS);
}

void
az_agent_program_close_roster (struct az_agent_program *program)
{
  az_store_client_destroy (program->store);
  uv_close ((uv_handle_t *)&program->roster_timer, NULL);
}
