#ifndef AZUREROCK_LOAD_METRICS_H
#define AZUREROCK_LOAD_METRICS_H

#include <glib.h>
#include <jansson.h>
#include <stddef.h>

/** Sums of the counters of several processes. */
struct az_load_metrics;

struct az_load_metrics *
az_load_metrics_create (void);
void
az_load_metrics_destroy (struct az_load_metrics *metrics);

/** az_load_metrics_add - adds the counters of one process in the text form of /metrics */
void
az_load_metrics_add (struct az_load_metrics *metrics, const char *text, size_t length);

/** az_load_metrics_get - sum of the counter @name with its labels, 0 if unknown */
double
az_load_metrics_get (const struct az_load_metrics *metrics, const char *name);

/**
 * struct az_load_messages - messages between own processes in an interval
 * @fixed: heartbeats and peer exchanges with their acknowledgements, whose rate is fixed
 * @others: all other messages
 * @wasted: refused, cancelled, duplicate, late and moved ones by the entries' count
 * @starts: started tasks
 */
struct az_load_messages
{
  double fixed;
  double others;
  double wasted;
  double starts;
};

/**
 * az_load_metrics_messages - messages between the readings @before and @after
 * @kinds: receives the number by kind, if not NULL
 *
 * Entries count what they send and receive, so that each message is taken from one counter: what
 * entries send, and what agents send as received by entries.
 */
struct az_load_messages
az_load_metrics_messages (const struct az_load_metrics *before,
                          const struct az_load_metrics *after,
                          json_t *kinds);

#endif
