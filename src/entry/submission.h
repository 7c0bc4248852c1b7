#ifndef AZUREROCK_ENTRY_SUBMISSION_H
#define AZUREROCK_ENTRY_SUBMISSION_H

#include "azurerock/message.h"
#include <jansson.h>
#include <stdbool.h>

/** struct az_submission - body of POST /v1/jobs; @job points into the rest */
struct az_submission
{
  struct az_submit job;
  bool is_first_attempt;
  json_t *json;
  GPtrArray *printed; /* payloads that were not strings, as JSON text */
};

/** struct az_submission_error - why a body is refused */
struct az_submission_error
{
  int status;
  const char *code;
  char message[128];
};

/**
 * az_submission_parse - reads {"id", "team", "service", "deadline_ms", "attempt",
 * "tasks": [{"payload", "size"}]}
 *
 * A payload is a string, taken as its bytes, or any other JSON value, taken as its text. Free
 * with az_submission_clear() in either case.
 */
bool
az_submission_parse (const char *body,
                     size_t length,
                     struct az_submission *submission,
                     struct az_submission_error *error);
void
az_submission_clear (struct az_submission *submission);

#endif
