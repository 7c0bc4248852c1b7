#ifndef AZUREROCK_ENTRY_GUARDS_H
#define AZUREROCK_ENTRY_GUARDS_H

#include <stdbool.h>

/**
 * struct az_entry_guards - checks that a test can disable; all fields are false outside tests
 *
 * The simulation disables one check at a time and must then detect that its rule is violated.
 */
struct az_entry_guards
{
  bool answer_partial;    /* a job is answered "done" when one of its tasks is done */
  bool match_by_position; /* a result is assigned to the first open attempt at its agent */
};

#endif
