#ifndef AZUREROCK_DISPATCH_CRASH_SUSPICION_H
#define AZUREROCK_DISPATCH_CRASH_SUSPICION_H

#include <stdbool.h>
#include <stdint.h>

/**
 * struct az_crash_suspicion - queues whose tasks are suspected of crashing the upstreams of a
 * service
 *
 * A crash is blamed on the task that had started last, which may be wrong, and upstreams crash for
 * other reasons too. A queue is suspected when two assumptions differ enough in how likely they
 * make the recent crashes: that tasks of the queue cause them, or that crashes hit tasks by chance,
 * by which a queue gets the blame in proportion to its share of the starts. At most one crash of
 * a failure domain in 50 ms counts, for 10 s, and three are needed for a suspicion, which bounds
 * the memory.
 */
struct az_crash_suspicion;

/**
 * struct az_blamed_crash - the crash of one incarnation of an upstream
 * @sidecar: incarnation of the sidecar process that reported it
 * @life: number of the upstream's incarnation, which each sidecar process counts from 1
 * @domain: failure domain of the upstream
 * @queue: queue of the task that had started last; empty if there was none, which says nothing
 * @job_id: its job; empty if its start wasn't acknowledged
 * @is_isolated: the upstream was isolated, so that few queues could be blamed
 */
struct az_blamed_crash
{
  uint32_t upstream;
  uint64_t sidecar;
  uint64_t life;
  const char *domain;
  const char *queue;
  const char *job_id;
  bool is_isolated;
};

/**
 * struct az_crash_verdict - what is known of the queue after a crash
 * @is_newly_suspected: the crash made the queue suspected
 * @n_crashes: remembered crashes
 * @n_blamed: those that are blamed on the queue
 * @n_repeated: those after which a job was blamed that had been blamed on another upstream
 * @score: logarithm of the ratio of the two likelihoods
 */
struct az_crash_verdict
{
  bool is_newly_suspected;
  unsigned n_crashes;
  unsigned n_blamed;
  unsigned n_repeated;
  double score;
};

struct az_crash_suspicion *
az_crash_suspicion_create (void);
void
az_crash_suspicion_destroy (struct az_crash_suspicion *suspicion);

/** az_crash_suspicion_record - records a crash; @share is the share of the queue in the starts of
 * the service, from 0 to 1 */
struct az_crash_verdict
az_crash_suspicion_record (struct az_crash_suspicion *suspicion,
                           const struct az_blamed_crash *crash,
                           double share,
                           int64_t now_us);
bool
az_crash_suspicion_is_suspected (const struct az_crash_suspicion *suspicion,
                                 const char *queue,
                                 int64_t now_us);

/** az_crash_suspicion_is_any_suspected - whether a queue is suspected that wasn't taken as cleared
 */
bool
az_crash_suspicion_is_any_suspected (const struct az_crash_suspicion *suspicion);

/** az_crash_suspicion_take_cleared - forgets a queue that is no longer suspected and returns its
 * name, to be freed with g_free(), or NULL if there is none */
char *
az_crash_suspicion_take_cleared (struct az_crash_suspicion *suspicion, int64_t now_us);

#endif
