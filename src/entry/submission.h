#ifndef AZUREROCK_ENTRY_SUBMISSION_H
#define AZUREROCK_ENTRY_SUBMISSION_H

#include "azurerock/message.h"
#include <jansson.h>
#include <stdbool.h>

/** struct az_submission - parsed body of POST /v1/jobs; @job points into the other fields */
struct az_submission
{
  struct az_submit job;
  bool is_first_attempt;
  json_t *json;
  GPtrArray *json_payloads; /* JSON text of payloads that are not strings */
};

/** struct az_submission_error - HTTP status and error of a rejected body */
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
 * The payload is the bytes of a JSON string, or the JSON text of any other value. The caller frees
 * @submission with az_submission_clear(), also after an error.
 */
bool
az_submission_parse (const char *body,
                     size_t length,
                     struct az_submission *submission,
                     struct az_submission_error *error);
void
az_submission_clear (struct az_submission *submission);

#endif
