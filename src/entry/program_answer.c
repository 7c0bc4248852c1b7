#include "entry/program.h"
#include <string.h>

struct code_status
{
  const char *code;
  int status;
};

/* Causes of "not run" that the caller can remove. All other codes are conditions of the service and
 * get status 503. */
static const struct code_status not_run_statuses[] = {
  { "invalid_request", 400 },        { "id_in_future", 400 },    { "id_too_old", 400 },
  { "team_not_allowed", 400 },       { "unknown_team", 404 },    { "unknown_service", 404 },
  { "payload_too_large", 413 },      { "too_many_tasks", 413 },  { "queue_full", 429 },
  { "deadline_cannot_be_met", 429 }, { "deadline_passed", 429 },
};

static int
find_status (const struct az_answer *answer)
{
  switch (answer->outcome)
    {
    case AZ_OUTCOME_DONE:
      return 200;
    case AZ_OUTCOME_FAILED:
      return 502;
    case AZ_OUTCOME_UNKNOWN:
      return 504;
    case AZ_OUTCOME_NOT_RUN:
      break;
    }
  for (size_t i = 0; i < G_N_ELEMENTS (not_run_statuses); i++)
    if (answer->code && strcmp (answer->code, not_run_statuses[i].code) == 0)
      return not_run_statuses[i].status;
  return 503;
}

static const char *
format_outcome (az_outcome outcome)
{
  switch (outcome)
    {
    case AZ_OUTCOME_DONE:
      return "done";
    case AZ_OUTCOME_FAILED:
      return "failed";
    case AZ_OUTCOME_NOT_RUN:
      return "not_run";
    case AZ_OUTCOME_UNKNOWN:
      break;
    }
  return "unknown";
}

/* Formats the result as a string, or as {"base64": ...} if its bytes are not valid UTF-8. */
static json_t *
format_result (const az_payload *payload)
{
  const char *bytes = payload->az_payload_val ? payload->az_payload_val : "";
  json_t *text = json_stringn (bytes, payload->az_payload_len);
  g_autofree char *encoded = NULL;

  if (text)
    return text;
  encoded = g_base64_encode ((const guchar *)bytes, payload->az_payload_len);
  return json_pack ("{s:s}", "base64", encoded);
}

static json_t *
format_results (const struct az_answer *answer)
{
  json_t *results = json_array ();

  for (u_int i = 0; i < answer->results.results_len; i++)
    json_array_append_new (results, format_result (&answer->results.results_val[i].payload));
  return results;
}

static json_t *
format_error (const char *id, const char *outcome, const char *code, const char *message)
{
  json_t *error
      = json_pack ("{s:s, s:s}", "code", code ? code : "", "message", message ? message : "");

  return json_pack ("{s:s?, s:s, s:o}", "id", id, "outcome", outcome, "error", error);
}

void
az_entry_program_respond_json (struct az_entry_program *program,
                               uint32_t request,
                               int status,
                               json_t *body)
{
  char *text = json_dumps (body, JSON_COMPACT);

  az_http_server_respond (program->http, request, status, "application/json", text ? text : "",
                          text ? strlen (text) : 0);
  free (text);
  json_decref (body);
}

void
az_entry_program_respond_error (struct az_entry_program *program,
                                uint32_t request,
                                int status,
                                const char *id,
                                const char *code,
                                const char *message)
{
  az_entry_program_respond_json (program, request, status,
                                 format_error (id, "not_run", code, message));
}

void
az_entry_program_respond_pending (struct az_entry_program *program,
                                  uint32_t request,
                                  const char *id)
{
  az_entry_program_respond_json (program, request, 202,
                                 json_pack ("{s:s?, s:s}", "id", id, "outcome", "pending"));
}

void
az_entry_program_answer (void *context, uint32_t request, const struct az_answer *answer)
{
  struct az_entry_program *program = context;
  const char *id = g_hash_table_lookup (program->job_ids, GUINT_TO_POINTER (request));
  const char *outcome = answer ? format_outcome (answer->outcome) : "";

  if (program->submit_request == request)
    program->submit_request = 0;
  if (!answer)
    az_entry_program_respond_pending (program, request, id);
  else if (answer->outcome == AZ_OUTCOME_DONE)
    az_entry_program_respond_json (program, request, 200,
                                   json_pack ("{s:s?, s:s, s:o}", "id", answer->job, "outcome",
                                              outcome, "results", format_results (answer)));
  else
    az_entry_program_respond_json (
        program, request, find_status (answer),
        format_error (answer->job, outcome, answer->code, answer->message));
  g_hash_table_remove (program->job_ids, GUINT_TO_POINTER (request));
}
