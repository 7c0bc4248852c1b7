#ifndef AZUREROCK_ENTRY_JOBS_H
#define AZUREROCK_ENTRY_JOBS_H

#include "entry/state.h"

/* Job records, requests of callers, admission, forwarding and answers. */

/** az_entry_submit_copy - returns a deep copy, to be freed with az_entry_submit_free() */
struct az_submit *
az_entry_submit_copy (const struct az_submit *submit);
void
az_entry_submit_free (struct az_submit *submit);
void
az_entry_answer_free (struct az_answer *answer);

/** az_entry_job_add - adds the record of a new job and arms the timer for its deadline */
uint32_t
az_entry_job_add (struct az_entry_state *state,
                  const struct az_submit *submit,
                  enum az_entry_role role,
                  bool is_first_submission);

/** az_entry_job_find - returns the handle of a job, or 0 if it has no record */
uint32_t
az_entry_job_find (const struct az_entry_state *state, const char *id);
void
az_entry_job_remove (struct az_entry_state *state, uint32_t handle);

/** az_entry_job_clear - frees the contents of the record, not the record itself */
void
az_entry_job_clear (struct az_entry_job *job);

/** az_entry_job_shrink - frees the request, the tasks and the waiters of an answered job */
void
az_entry_job_shrink (struct az_entry_job *job);

/**
 * az_entry_job_add_waiter - lets a caller's request wait for the answer of a job
 * @is_fetch: the request waits until @wait_until only, and then gets the answer "pending"
 *
 * The request is answered in the call if the answer exists already.
 */
void
az_entry_job_add_waiter (struct az_entry_state *state,
                         uint32_t handle,
                         uint32_t request,
                         bool is_fetch,
                         struct timespec wait_until);

/** az_entry_job_add_waiting_peer - sends the answer to an entry that forwarded the job */
void
az_entry_job_add_waiting_peer (struct az_entry_state *state, uint32_t handle, uint64_t incarnation);

/** az_entry_request_answer - answers @request and removes it; a NULL @answer means "pending" */
void
az_entry_request_answer (struct az_entry_state *state,
                         uint32_t request,
                         const struct az_answer *answer);
void
az_entry_request_remove (struct az_entry_state *state, uint32_t request);

/** az_entry_request_expire - answers a fetch "pending" if its waiting time has passed */
void
az_entry_request_expire (struct az_entry_state *state, uint32_t request);

/** az_entry_fetch - answers @request with the answer of a job, after at most @wait_ms */
void
az_entry_fetch (struct az_entry_state *state, uint32_t request, const char *id, int64_t wait_ms);

/** az_entry_cancel - cancels a job here or at its owner; @request gets the answer of the job */
void
az_entry_cancel (struct az_entry_state *state, uint32_t request, const char *id);

/**
 * struct az_entry_origin - sender of a submission
 * @request: request of the caller, if @peer is 0
 * @peer: incarnation of the entry that forwarded the job, 0 if it came from a caller
 * @is_first_submission: the caller stated that it had not submitted the id before
 */
struct az_entry_origin
{
  uint32_t request;
  uint64_t peer;
  bool is_first_submission;
};

/** az_entry_submit - queues, refuses or forwards a job, or adds @origin to a known job's waiters */
void
az_entry_submit (struct az_entry_state *state,
                 const struct az_submit *submit,
                 const struct az_entry_origin *origin);

/** az_entry_answer_origin - answers the sender of a submission for which no record is kept */
void
az_entry_answer_origin (struct az_entry_state *state,
                        const char *id,
                        const struct az_entry_origin *origin,
                        az_outcome outcome,
                        const char *code,
                        const char *text);

/**
 * az_entry_check_admission - checks whether this entry, as the owner, can accept a job
 * @team: receives the index of the team if the job is accepted
 * @service_index: receives the index of the service if the job is accepted
 * @text: receives the message for the caller if the job is refused
 *
 * Return: NULL if the job is accepted, otherwise the error code for the caller.
 */
const char *
az_entry_check_admission (struct az_entry_state *state,
                          const struct az_submit *submit,
                          uint32_t *team,
                          uint32_t *service_index,
                          const char **text);

/** az_entry_estimates_tick - updates the run time quantiles that admission and dispatch use */
void
az_entry_estimates_tick (struct az_entry_state *state);

/** az_entry_deadline_ms - time from now to the deadline, within the limits of the service */
int64_t
az_entry_deadline_ms (const struct az_entry_state *state, const struct az_submit *submit);

/**
 * az_entry_job_answer - ends a job with the given outcome
 *
 * Answers all waiters, drops the tasks that have not been sent, and cancels the open ones.
 */
void
az_entry_job_answer (struct az_entry_state *state,
                     uint32_t handle,
                     az_outcome outcome,
                     const char *code,
                     const char *text);

/** az_entry_job_deliver - sends @answer to all waiters of a job */
void
az_entry_job_deliver (struct az_entry_state *state,
                      uint32_t handle,
                      const struct az_answer *answer);

/** az_entry_job_check_outcome - answers the job if the states of its tasks decide the outcome */
void
az_entry_job_check_outcome (struct az_entry_state *state, uint32_t handle);
void
az_entry_job_cancel (struct az_entry_state *state, uint32_t handle);

/** az_entry_job_expire - answers the job if its deadline has passed */
void
az_entry_job_expire (struct az_entry_state *state, uint32_t handle);

/** az_entry_job_has_started - whether a task of the job has started or may have started */
bool
az_entry_job_has_started (const struct az_entry_job *job);

/**
 * az_entry_retain_answer - keeps an answered job so that later submissions of its id are answered
 *
 * Evicts the oldest answers while all together exceed the memory limit.
 */
void
az_entry_retain_answer (struct az_entry_state *state, uint32_t handle);

/** az_entry_retention_tick - removes answers whose retention period has passed */
void
az_entry_retention_tick (struct az_entry_state *state);
int64_t
az_entry_retention_ms (const struct az_entry_state *state, const char *service_name);

/**
 * struct az_entry_not_run_job - a job that its owner answers "not run"
 * @attempt: highest submission number that the caller stated, 0 if none
 * @is_first_attempt: every submission received was the caller's first one
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
az_entry_not_run_create (struct az_entry_state *state);
void
az_entry_not_run_destroy (struct az_entry_state *state);

/** az_entry_not_run_add - from now on, refuses submissions of the job with @code unless their
 * attempt is higher than the job's */
void
az_entry_not_run_add (struct az_entry_state *state,
                      const struct az_entry_not_run_job *job,
                      const char *code);

/**
 * az_entry_not_run_code - checks for a submission that must not run
 *
 * Return: the code with which this submission or a later one was refused, or NULL.
 */
const char *
az_entry_not_run_code (const struct az_entry_state *state, const struct az_submit *submit);
void
az_entry_not_run_tick (struct az_entry_state *state);

/* Jobs that this entry forwarded and whose answer it has not seen; see unanswered.c. */
void
az_entry_unanswered_submits_create (struct az_entry_state *state);
void
az_entry_unanswered_submits_add (struct az_entry_state *state, const struct az_entry_job *job);
bool
az_entry_has_unanswered_submit (const struct az_entry_state *state, const char *id);
void
az_entry_unanswered_submits_tick (struct az_entry_state *state);

/** az_entry_forward - sends a job to its owner, unless it was sent on the present connection */
void
az_entry_forward (struct az_entry_state *state, uint32_t handle);

/** az_entry_replace_forwarded - replaces the SUBMIT of a forwarded job and sends it to the owner */
void
az_entry_replace_forwarded (struct az_entry_state *state,
                            uint32_t handle,
                            const struct az_submit *submit);

/** az_entry_forward_all - forwards the jobs that @peer owns, or all jobs if @peer is 0 */
void
az_entry_forward_all (struct az_entry_state *state, uint64_t peer);

/** az_entry_forward_or_answer - called when a job has waited long enough for a connection to its
 * owner, or to be sent again: forwards it if the owner is connected, otherwise answers it if it was
 * never sent. A job that was sent before keeps waiting, since an entry may have a record of it. */
void
az_entry_forward_or_answer (struct az_entry_state *state, uint32_t handle);
void
az_entry_handle_answer (struct az_entry_state *state, const struct az_answer *answer);

/** az_entry_request_records - asks @agent, or all agents if it is NULL, for the task records of
 * partitions that this entry has taken over */
void
az_entry_request_records (struct az_entry_state *state, struct az_entry_agent *agent);

/** az_entry_recover_tick - removes recovered records that no caller asked for in time */
void
az_entry_recover_tick (struct az_entry_state *state);
void
az_entry_handle_records (struct az_entry_state *state, const struct az_records *records);

/** az_entry_recover_job - adds a job if all its tasks have records; returns its handle or 0 */
uint32_t
az_entry_recover_job (struct az_entry_state *state, const char *id);

/** az_entry_raise_horizon - excludes ids up to @id_time_ms from the complete records; call before
 * removing a job early */
void
az_entry_raise_horizon (struct az_entry_owned *owned, int64_t id_time_ms);

#endif
