#ifndef AZUREROCK_AGENT_GUARDS_H
#define AZUREROCK_AGENT_GUARDS_H

#include <stdbool.h>

/**
 * struct az_agent_guards - safety checks that a test has disabled; all false outside tests
 *
 * The simulation tests disable one check at a time and must then detect a violation of the rule
 * that the check enforces. The conditions are the start conditions, numbered as in start.c.
 */
struct az_agent_guards
{
  bool no_grant_check;         /* condition 1: the entry holds the grant */
  bool no_owner_check;         /* condition 2: the entry owns the job id */
  bool no_evidence_check;      /* condition 3: the evidence of freshness is recent */
  bool no_service_check;       /* condition 4: the domain is in service */
  bool no_stopping_check;      /* condition 4: the agent is not stopping */
  bool no_deadline_check;      /* condition 5: the deadline has not passed */
  bool no_record_check;        /* condition 6: the task has no record */
  bool no_fence_check;         /* condition 6: neither fenced nor cancelled */
  bool accept_old_view;        /* a VIEW replaces one of a higher revision */
  bool fate_ignores_records;   /* QUERY reports "not started" without a look at the records */
  bool unknown_is_not_started; /* a task whose outcome is unknown is reported as refused */
};

#endif
