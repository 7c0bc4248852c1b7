#ifndef AZUREROCK_ENTRY_GUARDS_H
#define AZUREROCK_ENTRY_GUARDS_H

#include <stdbool.h>

/**
 * struct az_entry_guards - checks that a test can disable; all fields are false outside tests
 *
 * The simulation disables one check at a time and must then detect a violation of the rule that the
 * check enforces.
 */
struct az_entry_guards
{
  bool answer_partial;    /* if set, a job is answered "done" as soon as one task is done */
  bool match_by_position; /* if set, a result is assigned to the first open attempt at its agent */
};

#endif
