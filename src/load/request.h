#ifndef AZUREROCK_LOAD_REQUEST_H
#define AZUREROCK_LOAD_REQUEST_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define AZ_LOAD_ID_SIZE 40

enum az_load_outcome
{
  AZ_LOAD_OPEN, /* no answer yet */
  AZ_LOAD_DONE,
  AZ_LOAD_FAILED,
  AZ_LOAD_NOT_RUN,
  AZ_LOAD_UNKNOWN,
  AZ_LOAD_LOST,    /* no submission was answered */
  AZ_LOAD_INVALID, /* the answer is malformed or has no final outcome */
  AZ_LOAD_N_OUTCOMES,
};

/** az_load_outcome_name - name of @outcome, as in the answers of entries */
const char *
az_load_outcome_name (enum az_load_outcome outcome);

/** az_load_request_create_id - fills @id with a new job id (design page, section 3.1): 13 digits of
 * Unix time in milliseconds, '-', random token */
void
az_load_request_create_id (char id[AZ_LOAD_ID_SIZE], int64_t wall_ms, GRand *random);

/** struct az_load_request - fields of a submission */
struct az_load_request
{
  const char *id;
  const char *team;
  const char *service;
  int64_t deadline_ms;         /* 0: not sent, the deadline of the policy applies */
  uint32_t attempt;            /* the first submission of a job is 1 */
  const int64_t *run_times_us; /* run time of each task, sent in whole milliseconds */
  uint32_t n_tasks;
};

/** az_load_request_append_body - appends the JSON body of a submission to @body */
void
az_load_request_append_body (const struct az_load_request *request, GString *body);

/**
 * az_load_answer_parse - parses the answer to a job and returns its outcome
 * @id: id of the job
 * @n_tasks: number of tasks of the job
 * @mismatched: set if the answer names another job, or if a job answered as done lacks its id, has
 *              another number of results or the echo of another task
 * @code: receives the error code if there is one; free with g_free()
 */
enum az_load_outcome
az_load_answer_parse (const char *body,
                      size_t length,
                      const char *id,
                      uint32_t n_tasks,
                      bool *mismatched,
                      char **code);

#endif
