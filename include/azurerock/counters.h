#ifndef AZUREROCK_COUNTERS_H
#define AZUREROCK_COUNTERS_H

#include <glib.h>
#include <stdint.h>

/** Registry of named counters and gauges that /metrics reports. */
struct az_counters;

struct az_counters *
az_counters_create (void);
void
az_counters_destroy (struct az_counters *counters);

/**
 * az_counters_register - adds a counter or gauge
 * @name: "azurerock_..." in snake case, with labels if any: name{label="x"}
 * @help: one line; not copied, so it must outlive the registry
 *
 * Return: handle for az_counters_add(), az_counters_set() and az_counters_get(). A name that is
 * already registered gives its existing handle.
 */
uint32_t
az_counters_register (struct az_counters *counters, const char *name, const char *help);
void
az_counters_add (struct az_counters *counters, uint32_t counter, uint64_t amount);
void
az_counters_set (struct az_counters *counters, uint32_t counter, uint64_t value);
uint64_t
az_counters_get (const struct az_counters *counters, uint32_t counter);

/** az_counters_format - appends all values to @text in the Prometheus text format */
void
az_counters_format (const struct az_counters *counters, GString *text);

#endif
