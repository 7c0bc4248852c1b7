#include "azurerock/log.h"
#include "dispatch/gateway_addresses.h"
#include "platform/operator.h"
#include "sidecar/program.h"

/* The withdrawn domains are read from the store only while no gateway relays them. */
#define WITHDRAWALS_INTERVAL_MS 1000

/* Time in which a newly connected gateway sends the withdrawn domains. */
#define GATEWAY_WAIT_MS 1000

static int64_t
now_us (void)
{
  return (int64_t)(uv_hrtime () / 1000);
}

static void
on_gateways_read (void *context, struct az_metadata_answer *answer)
{
  struct az_sidecar_program *program = context;

  if (program->is_closed)
    return;
  for (size_t i = 0; i < answer->n_items; i++)
    if (answer->items[i].value)
      az_sidecar_program_add_gateway (program, answer->items[i].value);
  az_sidecar_program_connect (program);
}

static void
read_gateways (struct az_sidecar_program *program)
{
  az_metadata_range (program->store, AZ_GATEWAYS_PREFIX, NULL, on_gateways_read, program);
}

static void
on_withdrawals_read (void *context, struct az_metadata_answer *answer)
{
  struct az_sidecar_program *program = context;
  g_autoptr (GPtrArray) domains = g_ptr_array_new ();

  program->is_reading_withdrawals = false;
  if (program->is_closed || answer->result != AZ_METADATA_OK)
    return;
  for (size_t i = 0; i < answer->n_items; i++)
    {
      const char *domain = platform_get_withdrawn_domain (answer->items[i].key);

      if (domain && answer->items[i].value)
        g_ptr_array_add (domains, (char *)domain);
    }
  az_sidecar_withdrawals_received (program->sidecar, answer->revision,
                                   (now_us () - program->withdrawals_requested_us) / 1000,
                                   (const char *const *)domains->pdata, domains->len);
}

static void
read_withdrawals (struct az_sidecar_program *program)
{
  program->is_reading_withdrawals = true;
  program->withdrawals_requested_us = now_us ();
  az_metadata_range (program->store, PLATFORM_WITHDRAWN_PREFIX, NULL, on_withdrawals_read, program);
}

static void
read_published (void *context, const struct az_metadata_read *read)
{
  const struct az_sidecar_program *program = context;

  az_metadata_read_all (program->store, PLATFORM_OPERATOR_PREFIX, read);
}

void
az_sidecar_program_open_relay (struct az_sidecar_program *program)
{
  const struct az_relay_io io = { read_published, az_sidecar_program_send_message, program };

  program->relay = az_relay_create (az_clock_system (), &io);
}

void
az_sidecar_program_poll_store (struct az_sidecar_program *program)
{
  int64_t now = now_us ();

  if (az_links_is_gateways_read_due (program->links))
    read_gateways (program);
  if (!program->is_reading_withdrawals
      && now - program->withdrawals_requested_us > WITHDRAWALS_INTERVAL_MS * 1000
      && az_links_since_last_session_ms (program->links) > GATEWAY_WAIT_MS
      && az_sidecar_has_outdated_withdrawals (program->sidecar))
    read_withdrawals (program);
}
