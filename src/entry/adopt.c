#include "azurerock/log.h"
#include "entry/agents.h"
#include "entry/cluster.h"
#include "entry/jobs.h"
#include "entry/send.h"

bool
az_entry_adopt_configuration (struct az_entry_state *state, const char *document, size_t length)
{
  GError *error = NULL;
  struct az_configuration *configuration = az_configuration_parse (document, length, &error);

  if (!configuration)
    {
      az_log (LOG_ERR, "configuration not adopted: %s", error->message);
      g_error_free (error);
      return false;
    }
  if (configuration->revision <= state->revision)
    {
      az_configuration_destroy (configuration);
      return true;
    }
  if (state->configuration)
    az_configuration_destroy (state->configuration);
  state->configuration = configuration;
  state->revision = configuration->revision;
  g_free (state->document);
  state->document = g_memdup2 (document, length);
  state->document_length = length;
  az_entry_apply_configuration (state);
  return true;
}

static char *
list_withdrawn_domains (const struct az_entry_state *state)
{
  GString *names = g_string_new (NULL);
  const struct az_domain *domains;
  uint32_t count = 0;

  if (state->configuration)
    {
      domains = az_object_set_domains (state->configuration->objects, &count);
      for (uint32_t i = 0; i < count; i++)
        if (!domains[i].in_service)
          g_string_append_printf (names, "%s%s", names->len ? "," : "", domains[i].name);
    }
  return g_string_free (names, FALSE);
}

static void
write_revision_event (struct az_entry_state *state)
{
  char *withdrawn = list_withdrawn_domains (state);
  char *revision = g_strdup_printf ("%" G_GUINT64_FORMAT, state->revision);
  char *version = g_strdup_printf ("%" G_GUINT64_FORMAT, (uint64_t)state->table.table_version);

  az_event_log_write (state->events, "revision", "revision", revision, "table_version", version,
                      "withdrawn_domains", withdrawn, NULL);
  az_log (LOG_NOTICE, "revision %s, owner table version %s, withdrawn domains: %s", revision,
          version, withdrawn);
  g_free (withdrawn);
  g_free (revision);
  g_free (version);
}

void
az_entry_notify_state_change (struct az_entry_state *state)
{
  write_revision_event (state);
  az_entry_agents_update (state);
  for (uint32_t h = az_table_rows_next (state->peers, 0); h;
       h = az_table_rows_next (state->peers, h))
    az_entry_config_send (state, az_entry_state_peer (state, h));
  /* An exchange at once lets peers confirm the new state without waiting for the interval. */
  state->next_exchange = state->now;
}

/* Stores the owners in the version directly before @table, or 0 if this entry doesn't have that
 * version. */
static void
find_former_owners (const struct az_entry_state *state,
                    const struct az_table *table,
                    uint64_t *former_owners)
{
  bool is_next = state->has_table && state->table.table_version + 1 == table->table_version;

  for (uint32_t i = 0; i < AZ_PARTITIONS; i++)
    former_owners[i] = is_next ? state->table.partitions.partitions_val[i].owner : 0;
}

/* The owner of a job that waits to be forwarded may have changed. */
static void
forward_waiting_jobs (struct az_entry_state *state)
{
  az_entry_forward_all (state, 0);
}

void
az_entry_adopt_table (struct az_entry_state *state, const struct az_table *table)
{
  uint64_t former_owners[AZ_PARTITIONS];

  if (table->partitions.partitions_len != AZ_PARTITIONS
      || (state->has_table && table->table_version <= state->table.table_version))
    return;
  find_former_owners (state, table, former_owners);
  if (state->has_table)
    az_owner_table_clear (&state->table);
  az_owner_table_copy (&state->table, table);
  state->has_table = true;
  for (uint32_t i = 0; i < AZ_PARTITIONS; i++)
    az_entry_update_ownership (state, i, former_owners[i]);
  az_entry_peers_update (state);
  az_entry_update_confirmation (state);
  az_entry_quota_update (state, false);
  forward_waiting_jobs (state);
}
