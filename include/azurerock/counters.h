#ifndef AZUREROCK_COUNTERS_H
#define AZUREROCK_COUNTERS_H

#include <glib.h>
#include <stdint.h>

/** A named set of counters and gauges, printed in the text form of /metrics. */
struct az_counters;

struct az_counters *
az_counters_create (void);
void
az_counters_destroy (struct az_counters *counters);

/**
 * az_counters_register - adds a counter
 * @name: "azurerock_..." in snake case, with labels if any: name{label="x"}
 * @help: one line; kept by reference
 *
 * Return: handle for az_counters_add() and az_counters_set(); the same name gives the same handle.
 */
uint32_t
az_counters_register (struct az_counters *counters, const char *name, const char *help);
void
az_counters_add (struct az_counters *counters, uint32_t counter, uint64_t amount);
void
az_counters_set (struct az_counters *counters, uint32_t counter, uint64_t value);
uint64_t
az_counters_get (const struct az_counters *counters, uint32_t counter);

/** az_counters_print - appends "# HELP" and value lines to @text */
void
az_counters_print (const struct az_counters *counters, GString *text);

#endif
