#ifndef AZUREROCK_STANDIN_STORE_FAULTS_H
#define AZUREROCK_STANDIN_STORE_FAULTS_H

#include "azurerock/clock.h"
#include <jansson.h>
#include <stdbool.h>

enum az_standin_outage
{
  AZ_STANDIN_OUTAGE_OFF,
  AZ_STANDIN_OUTAGE_ERROR, /* answers 500 */
  AZ_STANDIN_OUTAGE_CLOSE, /* closes the connection without an answer */
};

/** struct az_standin_bucket - token bucket that holds one second of its rate */
struct az_standin_bucket
{
  int64_t per_s; /* 0: no limit */
  int64_t micro_tokens;
  struct timespec filled;
};

/** struct az_standin_faults - switches of the stand-in store */
struct az_standin_faults
{
  enum az_standin_outage outage;
  int64_t delay_ms;
  int64_t lose_write_answers; /* answers of KV writes and transactions still to be lost */
  struct az_standin_bucket writes;
  struct az_standin_bucket reads;
};

/** az_standin_bucket_take - takes one token, or returns false */
bool
az_standin_bucket_take (struct az_standin_bucket *bucket, struct timespec now);

/**
 * az_standin_faults_update - applies an object with any of "outage" ("off", "error", "close"),
 * "delay_ms", "lose_write_answers", "writes_per_s", "reads_per_s"
 *
 * Return: NULL, or what is wrong; nothing is changed then.
 */
const char *
az_standin_faults_update (struct az_standin_faults *faults, const json_t *json);
json_t *
az_standin_faults_print (const struct az_standin_faults *faults);

#endif
