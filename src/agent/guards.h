#ifndef AZUREROCK_AGENT_GUARDS_H
#define AZUREROCK_AGENT_GUARDS_H

#include <stdbool.h>

/**
 * struct az_agent_guards - safety checks that a test has disabled; all false outside tests
 *
 * The simulation tests disable one check at a time and must then detect a violation of the rule
 * that the check enforces. The start conditions are numbered as in start.c.
 *
 * @no_grant_check: the agent starts tasks without a valid grant of the entry (condition 1)
 * @no_owner_check: the agent starts tasks of entries that don't own the job id (condition 2)
 * @no_evidence_check: the agent starts tasks without recent evidence of freshness (condition 3)
 * @no_service_check: the agent starts tasks while its domain is out of service (condition 4)
 * @no_stopping_check: the agent starts tasks while it is stopping (condition 4)
 * @no_deadline_check: the agent starts tasks whose deadline has passed (condition 5)
 * @no_record_check: the agent starts tasks of which it has a record already (condition 6)
 * @no_fence_check: the agent starts tasks that are fenced or cancelled (condition 6)
 * @accept_old_view: the agent replaces its view by a VIEW of a lower revision
 * @fate_ignores_records: if an entry asks with QUERY for the outcome of an attempt, the agent
 *   replies as if it had no record of it, so that a task that has run is reported as not started
 * @unknown_is_not_started: the agent reports a task whose outcome is unknown as refused, which
 *   means that it has not started
 */
struct az_agent_guards
{
  bool no_grant_check;
  bool no_owner_check;
  bool no_evidence_check;
  bool no_service_check;
  bool no_stopping_check;
  bool no_deadline_check;
  bool no_record_check;
  bool no_fence_check;
  bool accept_old_view;
  bool fate_ignores_records;
  bool unknown_is_not_started;
};

#endif
