#ifndef AZUREROCK_DISPATCH_CRASH_RECORD_H
#define AZUREROCK_DISPATCH_CRASH_RECORD_H

#include <stdbool.h>
#include <stdint.h>

/* Remembers for a limited time under which tasks upstreams have crashed. */
struct az_crash_record;

/** The number of jobs that are remembered; the one whose last crash is the oldest is dropped for
 * another one. Even if each of 720 upstreams crashes under a job of its own, all are remembered. */
#define AZ_CRASH_RECORD_MAX 1024

/** A caller resubmits a job within seconds of its failure or not at all. */
#define AZ_CRASH_RECORD_MS 60000

/** struct az_crash - the crash of one incarnation, @life, of an upstream under a task
 * @sidecar: incarnation of the sidecar process that reported it; each process counts lives from 1
 */
struct az_crash
{
  uint32_t upstream;
  uint64_t sidecar;
  uint64_t life;
  uint32_t step;
  uint32_t index;
};

struct az_crash_record *
az_crash_record_create (void);
void
az_crash_record_destroy (struct az_crash_record *record);

/** az_crash_record_add - records the crash under a task of the job; returns false if it was
 * recorded before */
bool
az_crash_record_add (struct az_crash_record *record,
                     const char *job_id,
                     const struct az_crash *crash,
                     int64_t now_us);

/** az_crash_record_count - number of crashes recorded under the task, at most a few */
uint32_t
az_crash_record_count (struct az_crash_record *record,
                       const char *job_id,
                       uint32_t step,
                       uint32_t index,
                       int64_t now_us);

#endif
