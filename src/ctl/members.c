#include "azurerock/http_client.h"
#include "ctl/ctl.h"
#include <jansson.h>

/* A request for the status of one entry. */
struct poll
{
  struct az_http_client *client;
  struct az_ctl_member *member;
  uint32_t *n_pending;
};

/* Reads an unsigned 64-bit number from a JSON integer or a decimal string. */
static bool
read_number (const json_t *json, const char *name, uint64_t *number)
{
  const json_t *value = json_object_get (json, name);
  guint64 parsed;

  if (json_is_integer (value) && json_integer_value (value) >= 0)
    {
      *number = (uint64_t)json_integer_value (value);
      return true;
    }
  if (!json_is_string (value)
      || !g_ascii_string_to_unsigned (json_string_value (value), 10, 0, G_MAXUINT64, &parsed, NULL))
    return false;
  *number = parsed;
  return true;
}

static void
on_status (void *context, const struct az_http_response *response)
{
  struct poll *poll = context;
  uint64_t incarnation, revision;
  json_t *json = NULL;

  (*poll->n_pending)--;
  if (response->result == AZ_HTTP_ANSWERED && response->status == 200)
    json = json_loadb (response->body, response->body_length, 0, NULL);
  if (read_number (json, "incarnation", &incarnation) && read_number (json, "revision", &revision)
      && incarnation == poll->member->entry->incarnation)
    {
      poll->member->answered = true;
      poll->member->revision = revision;
    }
  json_decref (json);
}

struct az_ctl_member *
az_ctl_poll_members (struct az_ctl *ctl, const struct az_table *table, int64_t timeout_ms)
{
  uint32_t count = table->roster.roster_len;
  struct az_ctl_member *members = g_new0 (struct az_ctl_member, count + 1);
  struct poll *polls = g_new0 (struct poll, count + 1);
  uint32_t n_pending = count;

  for (uint32_t i = 0; i < count; i++)
    {
      const az_roster_entry *entry = &table->roster.roster_val[i];

      members[i].entry = entry;
      polls[i] = (struct poll){ az_http_client_create (ctl->loop, entry->http_address, 1),
                                &members[i], &n_pending };
      az_http_client_request (polls[i].client, "GET", "/v1/status", NULL, 0, NULL, 0, timeout_ms,
                              on_status, &polls[i]);
    }
  while (n_pending > 0)
    uv_run (ctl->loop, UV_RUN_ONCE);
  for (uint32_t i = 0; i < count; i++)
    az_http_client_destroy (polls[i].client);
  g_free (polls);
  return members;
}
