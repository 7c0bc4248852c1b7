#ifndef AZUREROCK_ENTRY_GUARDS_H
#define AZUREROCK_ENTRY_GUARDS_H

#include <stdbool.h>

/**
 * struct az_entry_guards - checks that a test can disable; all fields are false outside tests
 *
 * The simulation disables one check at a time and must then detect a violation of the rule that the
 * check enforces.
 *
 * @answer_partial: the entry answers a job with "done" as soon as one of its tasks is done
 * @match_by_position: the entry assigns a result of an agent to the first open attempt at that
 *   agent, whichever attempt the result names
 */
struct az_entry_guards
{
  bool answer_partial;
  bool match_by_position;
};

#endif
