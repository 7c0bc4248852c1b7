#ifndef AZUREROCK_LOAD_METRICS_H
#define AZUREROCK_LOAD_METRICS_H

#include <glib.h>
#include <jansson.h>
#include <stddef.h>

/** struct az_load_metrics - metrics of several processes, summed by name and labels */
struct az_load_metrics;

struct az_load_metrics *
az_load_metrics_create (void);
void
az_load_metrics_destroy (struct az_load_metrics *metrics);

/** az_load_metrics_add - adds the metrics of one process, given in the text format of /metrics */
void
az_load_metrics_add (struct az_load_metrics *metrics, const char *text, size_t length);

/** az_load_metrics_get - sum of the metric @name, which includes its labels; 0 if it is unknown */
double
az_load_metrics_get (const struct az_load_metrics *metrics, const char *name);

/**
 * struct az_load_messages - messages between azurerock processes during an interval
 * @n_fixed_rate: heartbeats, peer states and their acknowledgements; the load doesn't change their
 *                rate
 * @n_others: all other messages
 * @n_wasted: messages that led to no start (refused, cancelled, duplicate, late or moved), as
 *            counted by entries
 * @n_starts: started tasks
 */
struct az_load_messages
{
  double n_fixed_rate;
  double n_others;
  double n_wasted;
  double n_starts;
};

/**
 * az_load_metrics_count_messages - counts the messages between two readings of the metrics
 * @kinds: receives the number of messages of each kind, if not NULL
 *
 * Each message is counted once: at the sender if an entry sent it, and at the receiving entry if an
 * agent sent it.
 */
struct az_load_messages
az_load_metrics_count_messages (const struct az_load_metrics *before,
                                const struct az_load_metrics *after,
                                json_t *kinds);

#endif
