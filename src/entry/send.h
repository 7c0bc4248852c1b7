#ifndef AZUREROCK_ENTRY_SEND_H
#define AZUREROCK_ENTRY_SEND_H

#include "entry/state.h"

/** az_entry_send - sends a message and counts it */
void
az_entry_send (struct az_entry_state *state, uint32_t connection, const struct az_message *message);

void
az_entry_count_received (struct az_entry_state *state, az_proc proc);

/** az_entry_register_counters - registers all metrics of the core */
void
az_entry_register_counters (struct az_entry_state *state);
void
az_entry_count (struct az_entry_state *state, uint32_t counter, uint64_t amount);

/** az_entry_update_gauges - updates the metrics that are a present size or age */
void
az_entry_update_gauges (struct az_entry_state *state);

#endif
