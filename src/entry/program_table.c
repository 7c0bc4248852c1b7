#include "azurerock/configuration.h"
#include "entry/program.h"
#include <string.h>

static void
on_written (void *context, const struct az_store_answer *answer)
{
  struct az_entry_program *program = context;
  enum az_table_write result = AZ_TABLE_WRITE_UNKNOWN;

  if (program->is_stopped)
    return;
  if (answer->result == AZ_STORE_OK)
    result = AZ_TABLE_WRITE_OK;
  else if (answer->result != AZ_STORE_UNKNOWN)
    result = AZ_TABLE_WRITE_CONFLICT;
  az_entry_core_table_written (program->core, result, answer->index);
}

void
az_entry_program_write_table (void *context, const struct az_table *table, uint64_t expected_index)
{
  struct az_entry_program *program = context;
  g_autofree char *document = az_owner_table_format (table);
  /* The second comparison fails if a revision was published that this entry doesn't have, so an
   * entry that has this table version has every revision published before it. */
  const struct az_store_write writes[] = {
    { AZ_STORE_KEY_OWNERS, document, strlen (document), expected_index },
    { AZ_STORE_KEY_CONFIG, NULL, 0, program->poll.config_index },
  };

  az_store_client_write (program->store, writes, G_N_ELEMENTS (writes), on_written, program);
}
