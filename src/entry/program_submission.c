#include "entry/submission.h"
#include <stdarg.h>
#include <string.h>

#define DEADLINE_MAX_MS 86400000

static bool
refuse (struct az_submission_error *error, int status, const char *code, const char *format, ...)
    G_GNUC_PRINTF (4, 5);

static bool
refuse (struct az_submission_error *error, int status, const char *code, const char *format, ...)
{
  va_list arguments;

  error->status = status;
  error->code = code;
  va_start (arguments, format);
  g_vsnprintf (error->message, sizeof error->message, format, arguments);
  va_end (arguments);
  return false;
}

static bool
refuse_field (struct az_submission_error *error, const char *field, const char *problem)
{
  return refuse (error, 400, "invalid_request", "%.40s: %s", field, problem);
}

static bool
read_name (const json_t *value,
           const char *field,
           size_t max,
           char **to,
           struct az_submission_error *error)
{
  size_t length = json_string_length (value);

  if (!json_is_string (value) || length == 0 || length > max)
    return refuse_field (error, field, "must be a string that is neither empty nor too long");
  if (strlen (json_string_value (value)) != length)
    return refuse_field (error, field, "must not contain NUL");
  *to = (char *)json_string_value (value);
  return true;
}

static bool
read_number (const json_t *value,
             const char *field,
             json_int_t max,
             json_int_t *to,
             struct az_submission_error *error)
{
  if (!json_is_integer (value) || json_integer_value (value) < 0
      || json_integer_value (value) > max)
    return refuse_field (error, field, "must be an integer in range");
  *to = json_integer_value (value);
  return true;
}

static bool
read_payload (struct az_submission *submission,
              const json_t *value,
              az_payload *payload,
              struct az_submission_error *error)
{
  if (json_is_string (value))
    {
      payload->az_payload_val = (char *)json_string_value (value);
      payload->az_payload_len = (u_int)json_string_length (value);
    }
  else
    {
      payload->az_payload_val = json_dumps (value, JSON_COMPACT | JSON_ENCODE_ANY);
      payload->az_payload_len = (u_int)strlen (payload->az_payload_val);
      g_ptr_array_add (submission->json_payloads, payload->az_payload_val);
    }
  if (payload->az_payload_len > AZ_MAX_PAYLOAD)
    return refuse (error, 413, "payload_too_large", "payload: longer than %d bytes",
                   AZ_MAX_PAYLOAD);
  return true;
}

static bool
read_task (struct az_submission *submission,
           json_t *value,
           struct az_job_task *task,
           struct az_submission_error *error)
{
  json_int_t size = 0;
  const char *key;
  json_t *field;

  if (!json_is_object (value))
    return refuse_field (error, "tasks", "must hold objects");
  json_object_foreach (value, key, field)
  {
    if (strcmp (key, "payload") == 0)
      {
        if (!read_payload (submission, field, &task->payload, error))
          return false;
      }
    else if (strcmp (key, "size") == 0)
      {
        if (!read_number (field, "size", G_MAXUINT32, &size, error))
          return false;
      }
    else
      return refuse_field (error, key, "unknown field of a task");
  }
  task->size = (u_int)size;
  return true;
}

static bool
read_tasks (struct az_submission *submission, json_t *value, struct az_submission_error *error)
{
  struct az_submit *job = &submission->job;
  size_t count = json_array_size (value);

  if (!json_is_array (value) || count == 0)
    return refuse_field (error, "tasks", "must be an array that is not empty");
  if (count > AZ_MAX_TASKS)
    return refuse (error, 413, "too_many_tasks", "tasks: more than %d", AZ_MAX_TASKS);
  job->tasks.tasks_val = g_new0 (struct az_job_task, count);
  job->tasks.tasks_len = (u_int)count;
  for (size_t i = 0; i < count; i++)
    if (!read_task (submission, json_array_get (value, i), &job->tasks.tasks_val[i], error))
      return false;
  return true;
}

static bool
read_field (struct az_submission *submission,
            const char *key,
            json_t *value,
            struct az_submission_error *error)
{
  struct az_submit *job = &submission->job;
  json_int_t number = 0;
  bool is_valid;

  if (strcmp (key, "id") == 0)
    return read_name (value, key, AZ_MAX_JOB_ID, &job->job, error);
  if (strcmp (key, "team") == 0)
    return read_name (value, key, AZ_MAX_NAME, &job->team, error);
  if (strcmp (key, "service") == 0)
    return read_name (value, key, AZ_MAX_NAME, &job->service, error);
  if (strcmp (key, "tasks") == 0)
    return read_tasks (submission, value, error);
  if (strcmp (key, "deadline_ms") == 0)
    {
      is_valid = read_number (value, key, DEADLINE_MAX_MS, &number, error);
      job->deadline_ms = (u_int)number;
      return is_valid;
    }
  if (strcmp (key, "attempt") == 0)
    {
      is_valid = read_number (value, key, G_MAXINT32, &number, error);
      submission->is_first_attempt = number == 1;
      job->attempt = (u_int)number;
      return is_valid;
    }
  return refuse_field (error, key, "unknown field");
}

static bool
check_required (const struct az_submit *job, struct az_submission_error *error)
{
  if (!job->job)
    return refuse_field (error, "id", "missing");
  if (!job->team)
    return refuse_field (error, "team", "missing");
  if (!job->service)
    return refuse_field (error, "service", "missing");
  if (job->tasks.tasks_len == 0)
    return refuse_field (error, "tasks", "missing");
  return true;
}

bool
az_submission_parse (const char *body,
                     size_t length,
                     struct az_submission *submission,
                     struct az_submission_error *error)
{
  json_error_t syntax;
  const char *key;
  json_t *value;

  memset (submission, 0, sizeof *submission);
  submission->json_payloads = g_ptr_array_new_with_free_func (free);
  submission->json = json_loadb (body, length, JSON_REJECT_DUPLICATES | JSON_ALLOW_NUL, &syntax);
  if (!submission->json)
    return refuse (error, 400, "invalid_json", "line %d: %.100s", syntax.line, syntax.text);
  if (!json_is_object (submission->json))
    return refuse (error, 400, "invalid_request", "the body must be an object");
  json_object_foreach (submission->json, key,
                       value) if (!read_field (submission, key, value, error)) return false;
  return check_required (&submission->job, error);
}

void
az_submission_clear (struct az_submission *submission)
{
  g_free (submission->job.tasks.tasks_val);
  g_ptr_array_unref (submission->json_payloads);
  json_decref (submission->json);
}
