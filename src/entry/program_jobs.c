#include "entry/program.h"
#include "entry/submission.h"
#include <string.h>

#define JOBS_PATH "/v1/jobs"

/* Longest wait of a fetch, which is then answered as pending. */
#define WAIT_MAX_MS 60000

/* Reads a number from the query, or @default_value if it is absent; returns false if it is
 * malformed. */
static bool
read_query_number (const char *query, const char *name, int64_t default_value, int64_t *value)
{
  g_auto (GStrv) parts = g_strsplit (query, "&", -1);
  size_t length = strlen (name);
  guint64 number;

  *value = default_value;
  for (size_t i = 0; parts[i]; i++)
    {
      if (strncmp (parts[i], name, length) != 0 || parts[i][length] != '=')
        continue;
      if (!g_ascii_string_to_unsigned (parts[i] + length + 1, 10, 0, G_MAXINT32, &number, NULL))
        return false;
      *value = (int64_t)number;
    }
  return true;
}

static bool
read_query_number_or_refuse (struct az_entry_program *program,
                             const struct az_http_request *request,
                             const char *name,
                             int64_t default_value,
                             int64_t *value)
{
  if (read_query_number (request->query, name, default_value, value))
    return true;
  az_entry_program_respond_error (program, request->handle, 400, NULL, "invalid_request",
                                  "a number in the query is malformed");
  return false;
}

static void
handle_submit (struct az_entry_program *program, const struct az_http_request *request)
{
  struct az_submission submission;
  struct az_submission_error error;
  int64_t wait;

  if (!read_query_number_or_refuse (program, request, "wait", 1, &wait))
    return;
  if (!az_submission_parse (request->body, request->body_length, &submission, &error))
    {
      az_entry_program_respond_error (program, request->handle, error.status, submission.job.job,
                                      error.code, error.message);
      az_submission_clear (&submission);
      return;
    }
  program->submit_request = request->handle;
  az_entry_core_submit (program->core, request->handle, &submission.job,
                        submission.is_first_attempt);
  /* The request still waits in the core, which forwards a job only if a request waits for it. The
   * later answer finds no open request and is dropped. */
  if (wait == 0 && program->submit_request)
    az_entry_program_respond_pending (program, request->handle, submission.job.job);
  program->submit_request = 0;
  az_submission_clear (&submission);
}

static void
handle_fetch (struct az_entry_program *program,
              const struct az_http_request *request,
              const char *id)
{
  int64_t wait_ms;

  if (!read_query_number_or_refuse (program, request, "wait_ms", 0, &wait_ms))
    return;
  g_hash_table_insert (program->job_ids, GUINT_TO_POINTER (request->handle), g_strdup (id));
  az_entry_core_fetch (program->core, request->handle, id, MIN (wait_ms, WAIT_MAX_MS));
}

static void
handle_cancel (struct az_entry_program *program,
               const struct az_http_request *request,
               const char *id)
{
  g_hash_table_insert (program->job_ids, GUINT_TO_POINTER (request->handle), g_strdup (id));
  az_entry_core_cancel (program->core, request->handle, id);
}

bool
az_entry_program_handle_jobs (struct az_entry_program *program,
                              const struct az_http_request *request)
{
  const char *id = request->path + strlen (JOBS_PATH);

  if (strncmp (request->path, JOBS_PATH, strlen (JOBS_PATH)) != 0)
    return false;
  if (*id == '\0' && strcmp (request->method, "POST") == 0)
    handle_submit (program, request);
  else if (*id != '/' || strlen (id) < 2 || strlen (id + 1) > AZ_MAX_JOB_ID)
    return false;
  else if (strcmp (request->method, "GET") == 0)
    handle_fetch (program, request, id + 1);
  else if (strcmp (request->method, "DELETE") == 0)
    handle_cancel (program, request, id + 1);
  else
    return false;
  return true;
}
