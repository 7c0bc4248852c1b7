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

/** struct az_standin_bucket - token bucket whose burst size is one second of its rate */
struct az_standin_bucket
{
  int64_t per_s; /* refill rate; 0: no limit */
  int64_t micro_tokens;
  struct timespec last_refill;
};

/** struct az_standin_faults - injected faults and rate limits of the stand-in store */
struct az_standin_faults
{
  enum az_standin_outage outage;
  int64_t delay_ms;
  int64_t lose_write_answers; /* number of KV writes and transactions whose answer is still to be
                               * dropped */
  struct az_standin_bucket writes;
  struct az_standin_bucket reads;
};

/** az_standin_bucket_take - takes one token; false if there is none */
bool
az_standin_bucket_take (struct az_standin_bucket *bucket, struct timespec now);

/**
 * az_standin_faults_update - sets the faults that a JSON object names
 * @json: any of "outage" ("off", "error" or "close"), "delay_ms", "lose_write_answers",
 *        "writes_per_s" and "reads_per_s"
 *
 * Return: NULL, or an error text if @json is invalid; @faults is unchanged then.
 */
const char *
az_standin_faults_update (struct az_standin_faults *faults, const json_t *json);
json_t *
az_standin_faults_print (const struct az_standin_faults *faults);

#endif
