#ifndef AZUREROCK_AGENT_GUARDS_H
#define AZUREROCK_AGENT_GUARDS_H

#include <stdbool.h>

/**
 * struct az_agent_guards - checks that a test has turned off; all false outside tests
 *
 * The simulation turns off one at a time and must then find a violation of the rule it protects.
 */
struct az_agent_guards
{
  bool no_grant_check;         /* start condition 1 */
  bool no_owner_check;         /* start condition 2 */
  bool no_evidence_check;      /* start condition 3 */
  bool no_service_check;       /* start condition 4, in service */
  bool no_stopping_check;      /* start condition 4, not stopping */
  bool no_deadline_check;      /* start condition 5 */
  bool no_record_check;        /* start condition 6, no record */
  bool no_fence_check;         /* start condition 6, neither fenced nor cancelled */
  bool accept_old_view;        /* a VIEW of a lower revision replaces a newer one */
  bool fate_ignores_records;   /* QUERY answers "not started" without looking at records */
  bool unknown_is_not_started; /* an upstream task of unknown fate is reported as refused */
};

#endif
