#ifndef AZUREROCK_ENTRY_GUARDS_H
#define AZUREROCK_ENTRY_GUARDS_H

#include <stdbool.h>

/**
 * struct az_entry_guards - checks that a test has turned off; all false outside tests
 *
 * The simulation turns off one at a time and must then find a violation of the rule it protects.
 */
struct az_entry_guards
{
  bool answer_partial;    /* a job is done when its first task is */
  bool match_by_position; /* a result is taken for the oldest open attempt at its agent */
};

#endif
