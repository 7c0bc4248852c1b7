#ifndef AZUREROCK_ENTRY_JOBS_H
#define AZUREROCK_ENTRY_JOBS_H

#include "entry/board.h"

/* Records of jobs, requests of callers, admission, forwarding and answers. */

/** az_entry_submit_copy - deep copy in two allocations besides the strings */
struct az_submit *
az_entry_submit_copy (const struct az_submit *submit);
void
az_entry_submit_free (struct az_submit *submit);
void
az_entry_answer_free (struct az_answer *answer);

/** az_entry_job_add - record of a new job; arms the timer of its deadline */
uint32_t
az_entry_job_add (struct az_entry_board *board,
                  const struct az_submit *submit,
                  enum az_entry_role role,
                  bool first_attempt);

/** az_entry_job_find - handle of the job, 0 if there is no record */
uint32_t
az_entry_job_find (const struct az_entry_board *board, const char *id);
void
az_entry_job_remove (struct az_entry_board *board, uint32_t handle);

/** az_entry_job_clear - frees what the record holds */
void
az_entry_job_clear (struct az_entry_job *job);

/** az_entry_job_shrink - frees all but the answer of an answered job */
void
az_entry_job_shrink (struct az_entry_job *job);

/** az_entry_job_add_waiter - lets @request wait for the answer, or answers it at once */
void
az_entry_job_add_waiter (struct az_entry_board *board,
                         uint32_t handle,
                         uint32_t request,
                         bool is_fetch,
                         struct timespec wait_until);

/** az_entry_job_add_waiting_peer - the same for an entry that forwarded the job */
void
az_entry_job_add_waiting_peer (struct az_entry_board *board, uint32_t handle, uint64_t incarnation);

/** az_entry_request_answer - the one answer of @request; NULL is "pending" */
void
az_entry_request_answer (struct az_entry_board *board,
                         uint32_t request,
                         const struct az_answer *answer);
void
az_entry_request_remove (struct az_entry_board *board, uint32_t request);

/** az_entry_request_expire - a fetch has waited long enough */
void
az_entry_request_expire (struct az_entry_board *board, uint32_t request);

/** az_entry_fetch - answers @request about a job, waiting at most @wait_ms for its end */
void
az_entry_fetch (struct az_entry_board *board, uint32_t request, const char *id, int64_t wait_ms);

/** az_entry_cancel - cancels a job here or at its owner; @request gets the job's answer */
void
az_entry_cancel (struct az_entry_board *board, uint32_t request, const char *id);

/**
 * struct az_entry_origin - where a submission came from
 * @request: the caller's request, if @peer is 0
 * @peer: incarnation of the entry that forwarded the job, or 0
 */
struct az_entry_origin
{
  uint32_t request;
  uint64_t peer;
  bool first_attempt;
};

/** az_entry_submit - admission of a job, or forwarding to its owner */
void
az_entry_submit (struct az_entry_board *board,
                 const struct az_submit *submit,
                 const struct az_entry_origin *origin);

/** az_entry_answer_origin - answers @origin about a job without a record */
void
az_entry_answer_origin (struct az_entry_board *board,
                        const char *id,
                        const struct az_entry_origin *origin,
                        az_outcome outcome,
                        const char *code,
                        const char *text);
/** az_entry_check_admission - why a job of this entry can't be accepted; fills team and group if it
 * can
 *
 * Return: error code, or NULL.
 */
const char *
az_entry_check_admission (struct az_entry_board *board,
                          const struct az_submit *submit,
                          uint32_t *team,
                          uint32_t *group,
                          const char **text);

/** az_entry_estimates_tick - quantiles of run times for admission and dispatch */
void
az_entry_estimates_tick (struct az_entry_board *board);

/** az_entry_deadline_ms - deadline of @submit within the limits of its service */
int64_t
az_entry_deadline_ms (const struct az_entry_board *board, const struct az_submit *submit);

/** az_entry_job_answer - ends a job: answers all who wait, cancels and forgets what is left */
void
az_entry_job_answer (struct az_entry_board *board,
                     uint32_t handle,
                     az_outcome outcome,
                     const char *code,
                     const char *text);

/** az_entry_job_deliver - the answer of a forwarded job came from its owner */
void
az_entry_job_deliver (struct az_entry_board *board,
                      uint32_t handle,
                      const struct az_answer *answer);

/** az_entry_job_settle - answers the job if its tasks leave only one outcome */
void
az_entry_job_settle (struct az_entry_board *board, uint32_t handle);
void
az_entry_job_cancel (struct az_entry_board *board, uint32_t handle);

/** az_entry_job_expire - the deadline of the job has passed */
void
az_entry_job_expire (struct az_entry_board *board, uint32_t handle);

/** az_entry_job_has_started - whether a task of the job has started or may have */
bool
az_entry_job_has_started (const struct az_entry_job *job);

/** az_entry_retain_answer - keeps the answer of @handle for later submissions of the id */
void
az_entry_retain_answer (struct az_entry_board *board, uint32_t handle);

/** az_entry_retention_tick - forgets answers past their retention */
void
az_entry_retention_tick (struct az_entry_board *board);
int64_t
az_entry_retention_ms (const struct az_entry_board *board, const char *service);

/**
 * struct az_entry_not_run_job - a job that is answered "not run" by its owner
 * @is_first: only the caller's first submission is known
 */
struct az_entry_not_run_job
{
  const char *id;
  const char *service;
  int64_t id_time_ms;
  uint32_t partition;
  uint32_t attempt;
  bool is_first_attempt;
};

void
az_entry_not_run_create (struct az_entry_board *board);
void
az_entry_not_run_destroy (struct az_entry_board *board);

/** az_entry_not_run_add - from now on the attempt and those before it are refused with @code */
void
az_entry_not_run_add (struct az_entry_board *board,
                      const struct az_entry_not_run_job *closing,
                      const char *code);

/** az_entry_not_run_code - code of the refusal of this attempt or a later one, or NULL */
const char *
az_entry_not_run_code (const struct az_entry_board *board, const struct az_submit *submit);
void
az_entry_not_run_tick (struct az_entry_board *board);

/* unanswered.c */
void
az_entry_unanswered_create (struct az_entry_board *board);
void
az_entry_unanswered_add (struct az_entry_board *board, const struct az_entry_job *job);
bool
az_entry_unanswered_has (const struct az_entry_board *board, const char *id);
void
az_entry_unanswered_tick (struct az_entry_board *board);

/** az_entry_forward - sends a job to its owner, or again after a reconnection */
void
az_entry_forward (struct az_entry_board *board, uint32_t handle);

/** az_entry_forward_instead - replaces what a record sends to the owner */
void
az_entry_forward_instead (struct az_entry_board *board,
                          uint32_t handle,
                          const struct az_submit *submit);

/** az_entry_forward_all - sends what waits for @peer, or for any owner if @peer is 0 */
void
az_entry_forward_all (struct az_entry_board *board, uint64_t peer);

/** az_entry_forward_check - gives up on an owner that has been away too long */
void
az_entry_forward_check (struct az_entry_board *board, uint32_t handle);
void
az_entry_received_answer (struct az_entry_board *board, const struct az_answer *answer);

/** az_entry_recover_start - asks @agent, or all if NULL, for records of taken partitions */
void
az_entry_recover_start (struct az_entry_board *board, struct az_entry_agent *agent);

/** az_entry_recover_tick - forgets records that no caller asked for */
void
az_entry_recover_tick (struct az_entry_board *board);
void
az_entry_received_records (struct az_entry_board *board, const struct az_records *records);

/** az_entry_recover_job - record of a job whose tasks have all finished at agents, or 0 */
uint32_t
az_entry_recover_job (struct az_entry_board *board, const char *id);

/** az_entry_forget - a record of that time is dropped early: it and older ids are not known */
void
az_entry_forget (struct az_entry_owned *owned, int64_t id_time_ms);

#endif
