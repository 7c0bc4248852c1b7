#include "ctl/ctl.h"
#include <string.h>

GQuark
az_ctl_error_quark (void)
{
  return g_quark_from_static_string ("az-ctl-error");
}

/* Result of a store call, filled in by its callback. */
struct reply
{
  bool is_done;
  enum az_store_result result;
  char *error;
  GPtrArray *values;
};

static void
destroy_value (void *data)
{
  az_ctl_value_clear (data);
  g_free (data);
}

void
az_ctl_value_clear (struct az_ctl_value *value)
{
  g_free (value->key);
  g_free (value->text);
  memset (value, 0, sizeof *value);
}

static void
on_answer (void *context, const struct az_store_answer *answer)
{
  struct reply *reply = context;

  reply->is_done = true;
  reply->result = answer->result;
  reply->error = g_strdup (answer->error);
  for (size_t i = 0; i < answer->n_values; i++)
    {
      const struct az_store_value *from = &answer->values[i];
      struct az_ctl_value *value = g_new0 (struct az_ctl_value, 1);

      value->key = g_strdup (from->key);
      value->text = g_memdup2 (from->value, from->length + 1);
      value->length = from->length;
      value->index = from->modify_index;
      g_ptr_array_add (reply->values, value);
    }
}

static void
wait_for_reply (struct az_ctl *ctl, const struct reply *reply)
{
  while (!reply->is_done)
    uv_run (ctl->loop, UV_RUN_ONCE);
}

static GPtrArray *
read_keys (struct az_ctl *ctl, const char *key, bool recurse, GError **error)
{
  struct reply reply = { .values = g_ptr_array_new_with_free_func (destroy_value) };

  az_store_client_get (ctl->store, key, recurse, on_answer, &reply);
  wait_for_reply (ctl, &reply);
  if (reply.result != AZ_STORE_OK)
    {
      g_set_error (error, AZ_CTL_ERROR, 0, "store %s: can't read %s: %s", ctl->options->store, key,
                   reply.error);
      g_clear_pointer (&reply.values, g_ptr_array_unref);
    }
  g_free (reply.error);
  return reply.values;
}

GPtrArray *
az_ctl_read_all (struct az_ctl *ctl, const char *prefix, GError **error)
{
  return read_keys (ctl, prefix, true, error);
}

bool
az_ctl_read (struct az_ctl *ctl, const char *key, struct az_ctl_value *value, GError **error)
{
  GPtrArray *values = read_keys (ctl, key, false, error);

  memset (value, 0, sizeof *value);
  if (!values)
    return false;
  if (values->len > 0)
    {
      struct az_ctl_value *found = g_ptr_array_index (values, 0);

      *value = *found;
      memset (found, 0, sizeof *found);
    }
  g_ptr_array_unref (values);
  return true;
}

enum az_store_result
az_ctl_write (struct az_ctl *ctl,
              const struct az_store_write *writes,
              size_t n_writes,
              char **reason)
{
  struct reply reply = { .values = g_ptr_array_new_with_free_func (destroy_value) };

  az_store_client_write (ctl->store, writes, n_writes, on_answer, &reply);
  wait_for_reply (ctl, &reply);
  g_ptr_array_unref (reply.values);
  *reason = reply.error;
  return reply.result;
}

static void
on_timeout (uv_timer_t *timer)
{
  *(bool *)timer->data = true;
}

static void
on_timer_closed (uv_handle_t *timer)
{
  g_free (timer);
}

void
az_ctl_sleep (struct az_ctl *ctl, int64_t ms)
{
  uv_timer_t *timer = g_new0 (uv_timer_t, 1);
  bool is_over = false;

  uv_timer_init (ctl->loop, timer);
  timer->data = &is_over;
  uv_timer_start (timer, on_timeout, (uint64_t)ms, 0);
  while (!is_over && !ctl->stopping)
    uv_run (ctl->loop, UV_RUN_ONCE);
  uv_close ((uv_handle_t *)timer, on_timer_closed);
}

bool
az_ctl_read_configuration (struct az_ctl *ctl, struct az_ctl_stored *stored, GError **error)
{
  struct az_ctl_value value;
  bool valid = true;

  memset (stored, 0, sizeof *stored);
  if (!az_ctl_read (ctl, AZ_STORE_KEY_CONFIG, &value, error))
    return false;
  stored->index = value.index;
  if (value.text)
    {
      stored->configuration = az_configuration_parse (value.text, value.length, error);
      valid = stored->configuration != NULL;
    }
  az_ctl_value_clear (&value);
  return valid;
}

bool
az_ctl_read_table (struct az_ctl *ctl, struct az_table *table, GError **error)
{
  struct az_ctl_value value;
  bool valid = true;

  memset (table, 0, sizeof *table);
  if (!az_ctl_read (ctl, AZ_STORE_KEY_OWNERS, &value, error))
    return false;
  if (value.text)
    valid = az_owner_table_parse (value.text, value.length, table, error);
  az_ctl_value_clear (&value);
  return valid;
}
