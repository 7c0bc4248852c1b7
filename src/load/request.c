#include "load/request.h"
#include <jansson.h>
#include <string.h>

#define TOKEN_LENGTH 16

static const char *const outcome_names[AZ_LOAD_N_OUTCOMES] = {
  [AZ_LOAD_OPEN] = "open",       [AZ_LOAD_DONE] = "done",       [AZ_LOAD_FAILED] = "failed",
  [AZ_LOAD_NOT_RUN] = "not_run", [AZ_LOAD_UNKNOWN] = "unknown", [AZ_LOAD_LOST] = "lost",
  [AZ_LOAD_INVALID] = "invalid",
};

const char *
az_load_outcome_name (enum az_load_outcome outcome)
{
  return outcome_names[outcome];
}

void
az_load_request_create_id (char id[AZ_LOAD_ID_SIZE], int64_t wall_ms, GRand *random)
{
  static const char letters[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789_-";
  char token[TOKEN_LENGTH + 1] = { 0 };

  for (int i = 0; i < TOKEN_LENGTH; i++)
    token[i] = letters[g_rand_int (random) % (sizeof letters - 1)];
  g_snprintf (id, AZ_LOAD_ID_SIZE, "%013" G_GINT64_FORMAT "-%s", wall_ms, token);
}

void
az_load_request_append_body (const struct az_load_request *request, GString *body)
{
  g_string_append_printf (body, "{\"id\":\"%s\",\"team\":\"%s\",\"service\":\"%s\",\"attempt\":%u,",
                          request->id, request->team, request->service, request->attempt);
  if (request->deadline_ms)
    g_string_append_printf (body, "\"deadline_ms\":%" G_GINT64_FORMAT ",", request->deadline_ms);
  g_string_append (body, "\"tasks\":[");
  for (uint32_t i = 0; i < request->n_tasks; i++)
    g_string_append_printf (
        body, "%s{\"payload\":{\"sleep_ms\":%" G_GINT64_FORMAT ",\"echo\":\"%s/%u\"}}",
        i ? "," : "", request->run_times_us[i] / 1000, request->id, i);
  g_string_append (body, "]}");
}

static bool
has_own_results (const json_t *answer, const char *id, uint32_t n_tasks)
{
  const json_t *results = json_object_get (answer, "results");
  char expected[AZ_LOAD_ID_SIZE + 16];

  if (json_array_size (results) != n_tasks)
    return false;
  for (uint32_t i = 0; i < n_tasks; i++)
    {
      const char *result = json_string_value (json_array_get (results, i));

      g_snprintf (expected, sizeof expected, "%s/%u", id, i);
      if (!result || strcmp (result, expected) != 0)
        return false;
    }
  return true;
}

static enum az_load_outcome
find_outcome (const char *name)
{
  for (int i = AZ_LOAD_DONE; name && i <= AZ_LOAD_UNKNOWN; i++)
    if (strcmp (name, outcome_names[i]) == 0)
      return (enum az_load_outcome)i;
  return AZ_LOAD_INVALID;
}

enum az_load_outcome
az_load_answer_parse (const char *body,
                      size_t length,
                      const char *id,
                      uint32_t n_tasks,
                      bool *mismatched,
                      char **code)
{
  json_t *answer = json_loadb (body, length, 0, NULL);
  const char *answered_id = json_string_value (json_object_get (answer, "id"));
  enum az_load_outcome outcome
      = find_outcome (json_string_value (json_object_get (answer, "outcome")));

  *mismatched = answered_id && strcmp (answered_id, id) != 0;
  if (outcome == AZ_LOAD_DONE && (!answered_id || !has_own_results (answer, id, n_tasks)))
    *mismatched = true;
  *code
      = g_strdup (json_string_value (json_object_get (json_object_get (answer, "error"), "code")));
  json_decref (answer);
  return outcome;
}
