#ifndef AZUREROCK_JOB_ID_H
#define AZUREROCK_JOB_ID_H

#include <stdbool.h>
#include <stdint.h>

/**
 * az_job_id_parse - checks the syntax of a job id: "<13 digits>-<8 to 64 of A-Z a-z 0-9 _ ->"
 * @time_ms: receives the Unix time in milliseconds that the 13 digits hold
 */
bool
az_job_id_parse (const char *id, int64_t *time_ms);

/** az_job_id_partition - partition that the id hashes to, 0 to AZ_PARTITIONS - 1 */
uint32_t
az_job_id_partition (const char *id);

#endif
