#include "azurerock/configuration.h"
#include "azurerock/limits.h"
#include "azurerock/log.h"
#include "entry/program.h"
#include <string.h>

#define READ_RETRY_MS 250

static void
watch (struct az_entry_program *program);

static void
on_retry (uv_timer_t *timer)
{
  watch (timer->data);
}

static void
retry_later (struct az_entry_program *program, const char *error)
{
  az_log (LOG_WARNING, "store not read: %s", error ? error : "no answer");
  uv_timer_start (&program->poll.retry, on_retry, READ_RETRY_MS, 0);
}

static void
clear_value (struct az_store_value *value)
{
  g_free (value->key);
  g_free (value->value);
  memset (value, 0, sizeof *value);
}

/* Passes the documents that changed since the last read to the core. */
static void
pass_documents (struct az_entry_program *program)
{
  struct az_entry_poll *poll = &program->poll;
  bool config_changed = poll->config.key && poll->config.modify_index != poll->config_index;
  bool owners_changed = poll->owners.key && poll->owners.modify_index != poll->owners_index;
  const struct az_store_reading reading = {
    .sent = poll->read_sent,
    .config = config_changed ? poll->config.value : NULL,
    .config_length = poll->config.length,
    .config_absent = !poll->config.key,
    .owners = owners_changed ? poll->owners.value : NULL,
    .owners_length = poll->owners.length,
    .owners_absent = !poll->owners.key,
    .owners_index = poll->owners.modify_index,
    .sessions = (const uint64_t *)(const void *)poll->sessions->data,
    .n_sessions = poll->sessions->len,
  };

  poll->config_index = poll->config.modify_index;
  poll->owners_index = poll->owners.modify_index;
  poll->index = poll->watched_index;
  poll->has_passed_documents = true;
  az_entry_core_store_read (program->core, &reading);
}

static void
finish_read (struct az_entry_program *program, const char *error)
{
  struct az_entry_poll *poll = &program->poll;

  if (program->is_stopped)
    return;
  if (poll->has_failed)
    retry_later (program, error);
  else
    pass_documents (program);
  if (!poll->has_failed)
    watch (program);
}

static void
copy_value (struct az_entry_program *program,
            const struct az_store_answer *answer,
            struct az_store_value *to)
{
  clear_value (to);
  if (answer->result != AZ_STORE_OK)
    program->poll.has_failed = true;
  else if (answer->n_values > 0)
    {
      const struct az_store_value *value = &answer->values[0];

      *to = *value;
      to->key = g_strdup (value->key);
      to->value = g_memdup2 (value->value, value->length + 1);
    }
}

static void
on_config (void *context, const struct az_store_answer *answer)
{
  struct az_entry_program *program = context;

  copy_value (program, answer, &program->poll.config);
  finish_read (program, answer->error);
}

static void
on_owners (void *context, const struct az_store_answer *answer)
{
  struct az_entry_program *program = context;

  copy_value (program, answer, &program->poll.owners);
  if (program->poll.has_failed || program->is_stopped)
    finish_read (program, answer->error);
  else
    az_store_client_get (program->store, AZ_STORE_KEY_CONFIG, false, on_config, program);
}

/* The configuration is read after the table, so that it is at least as new: an entry that has a
 * table version must have every revision that was published before it. */
static void
read_documents (struct az_entry_program *program)
{
  struct az_entry_poll *poll = &program->poll;

  poll->has_failed = false;
  poll->read_sent = az_clock_now (az_clock_system ());
  az_store_client_get (program->store, AZ_STORE_KEY_OWNERS, false, on_owners, program);
}

static void
read_sessions (struct az_entry_program *program, const struct az_store_answer *answer)
{
  GArray *sessions = program->poll.sessions;

  g_array_set_size (sessions, 0);
  for (size_t i = 0; i < answer->n_values; i++)
    {
      const char *key = answer->values[i].key;
      guint64 incarnation;

      if (g_str_has_prefix (key, AZ_STORE_KEY_ENTRIES)
          && g_ascii_string_to_unsigned (key + strlen (AZ_STORE_KEY_ENTRIES), 10, 1, G_MAXUINT64,
                                         &incarnation, NULL))
        g_array_append_val (sessions, incarnation);
    }
}

/* Reports a read that found no change: its send time renews the evidence of freshness. */
static void
pass_unchanged (struct az_entry_program *program)
{
  const struct az_entry_poll *poll = &program->poll;
  const struct az_store_reading reading = {
    .sent = poll->watch_sent,
    .config_absent = poll->config_index == 0,
    .owners_absent = poll->owners_index == 0,
    .owners_index = poll->owners_index,
  };

  az_entry_core_store_read (program->core, &reading);
}

static void
on_watch (void *context, const struct az_store_answer *answer)
{
  struct az_entry_program *program = context;
  struct az_entry_poll *poll = &program->poll;

  if (program->is_stopped)
    return;
  if (answer->result != AZ_STORE_OK)
    {
      retry_later (program, answer->error);
      return;
    }
  if (poll->has_passed_documents && answer->index == poll->index)
    {
      pass_unchanged (program);
      watch (program);
      return;
    }
  poll->watched_index = answer->index;
  read_sessions (program, answer);
  read_documents (program);
}

static void
watch (struct az_entry_program *program)
{
  struct az_entry_poll *poll = &program->poll;

  poll->watch_sent = az_clock_now (az_clock_system ());
  az_store_client_watch (program->store, AZ_STORE_KEY_PREFIX,
                         poll->has_passed_documents ? poll->index : 0, AZ_STORE_POLL_WAIT_MS,
                         on_watch, program);
}

void
az_entry_program_open_store (struct az_entry_program *program)
{
  struct az_entry_poll *poll = &program->poll;

  program->store = az_store_client_create (program->loop, program->options->store_address);
  poll->sessions = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  uv_timer_init (program->loop, &poll->retry);
  poll->retry.data = program;
  az_entry_program_open_session (program);
  watch (program);
}

void
az_entry_program_close_store (struct az_entry_program *program)
{
  struct az_entry_poll *poll = &program->poll;

  az_store_client_destroy (program->store);
  clear_value (&poll->config);
  clear_value (&poll->owners);
  g_array_unref (poll->sessions);
  g_free (program->session.id);
  uv_close ((uv_handle_t *)&poll->retry, NULL);
  uv_close ((uv_handle_t *)&program->session.renew, NULL);
}
