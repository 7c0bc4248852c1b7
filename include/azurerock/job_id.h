#ifndef AZUREROCK_JOB_ID_H
#define AZUREROCK_JOB_ID_H

#include <stdbool.h>
#include <stdint.h>

/** az_job_id_parse - checks "<13 digits>-<8 to 64 of A-Z a-z 0-9 _ ->"; @time_ms receives Unix ms
 */
bool
az_job_id_parse (const char *id, int64_t *time_ms);

/** az_job_id_partition - partition of the id space, 0 to AZ_PARTITIONS - 1 */
uint32_t
az_job_id_partition (const char *id);

#endif
