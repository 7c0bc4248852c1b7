#include "azurerock/log.h"
#include "entry/agents.h"
#include "entry/cluster.h"
#include "entry/jobs.h"
#include "entry/send.h"

bool
az_entry_adopt_configuration (struct az_entry_board *board, const char *document, size_t length)
{
  GError *error = NULL;
  struct az_configuration *configuration = az_configuration_parse (document, length, &error);

  if (!configuration)
    {
      az_log (LOG_ERR, "configuration not adopted: %s", error->message);
      g_error_free (error);
      return false;
    }
  if (configuration->revision <= board->revision)
    {
      az_configuration_destroy (configuration);
      return true;
    }
  if (board->configuration)
    az_configuration_destroy (board->configuration);
  board->configuration = configuration;
  board->revision = configuration->revision;
  g_free (board->document);
  board->document = g_memdup2 (document, length);
  board->document_length = length;
  az_entry_apply_configuration (board);
  return true;
}

static char *
list_withdrawn_domains (const struct az_entry_board *board)
{
  GString *names = g_string_new (NULL);
  const struct az_domain *domains;
  uint32_t count = 0;

  if (board->configuration)
    {
      domains = az_object_set_domains (board->configuration->objects, &count);
      for (uint32_t i = 0; i < count; i++)
        if (!domains[i].in_service)
          g_string_append_printf (names, "%s%s", names->len ? "," : "", domains[i].name);
    }
  return g_string_free (names, FALSE);
}

static void
write_revision_event (struct az_entry_board *board)
{
  char *withdrawn = list_withdrawn_domains (board);
  char *revision = g_strdup_printf ("%" G_GUINT64_FORMAT, board->revision);
  char *version = g_strdup_printf ("%" G_GUINT64_FORMAT, (uint64_t)board->table.table_version);

  az_event_log_write (board->events, "revision", "revision", revision, "table_version", version,
                      "withdrawn_domains", withdrawn, NULL);
  az_log (LOG_NOTICE, "revision %s, owner table version %s, withdrawn domains: %s", revision,
          version, withdrawn);
  g_free (withdrawn);
  g_free (revision);
  g_free (version);
}

void
az_entry_notify_state_change (struct az_entry_board *board)
{
  write_revision_event (board);
  az_entry_agents_update (board);
  for (uint32_t h = az_table_rows_next (board->peers, 0); h;
       h = az_table_rows_next (board->peers, h))
    az_entry_config_send (board, az_entry_board_peer (board, h));
  /* An exchange at once lets peers confirm the new state without waiting for the interval. */
  board->next_exchange = board->now;
}

/* Owners in the version directly before @table; 0 if this entry doesn't have that version. */
static void
find_former_owners (const struct az_entry_board *board,
                    const struct az_table *table,
                    uint64_t *former_owners)
{
  bool is_next = board->has_table && board->table.table_version + 1 == table->table_version;

  for (uint32_t i = 0; i < AZ_PARTITIONS; i++)
    former_owners[i] = is_next ? board->table.partitions.partitions_val[i].owner : 0;
}

/* The owner of a job that waits to be forwarded may have changed. */
static void
forward_waiting_jobs (struct az_entry_board *board)
{
  az_entry_forward_all (board, 0);
}

void
az_entry_adopt_table (struct az_entry_board *board, const struct az_table *table)
{
  uint64_t former_owners[AZ_PARTITIONS];

  if (table->partitions.partitions_len != AZ_PARTITIONS
      || (board->has_table && table->table_version <= board->table.table_version))
    return;
  find_former_owners (board, table, former_owners);
  if (board->has_table)
    az_owner_table_clear (&board->table);
  az_owner_table_copy (&board->table, table);
  board->has_table = true;
  for (uint32_t i = 0; i < AZ_PARTITIONS; i++)
    az_entry_update_ownership (board, i, former_owners[i]);
  az_entry_peers_update (board);
  az_entry_update_confirmation (board);
  az_entry_quota_update (board, false);
  forward_waiting_jobs (board);
}
