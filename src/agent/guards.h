#ifndef AZUREROCK_AGENT_GUARDS_H
#define AZUREROCK_AGENT_GUARDS_H

#include <stdbool.h>

/**
 * struct az_agent_guards - safety checks that a test has disabled; all false outside tests
 *
 * The simulation tests disable one check at a time and must then detect a violation of the rule
 * that the check enforces. Each field tells what the agent does wrongly if it is set; the start
 * conditions are numbered as in start.c.
 */
struct az_agent_guards
{
  bool no_grant_check;         /* starts tasks without a valid grant of the entry (condition 1) */
  bool no_owner_check;         /* starts tasks of entries that don't own the job id (condition 2) */
  bool no_evidence_check;      /* starts tasks without recent evidence of freshness (condition 3) */
  bool no_service_check;       /* starts tasks while the domain is out of service (condition 4) */
  bool no_stopping_check;      /* starts tasks while the agent is stopping (condition 4) */
  bool no_deadline_check;      /* starts tasks whose deadline has passed (condition 5) */
  bool no_record_check;        /* starts tasks that have a record already (condition 6) */
  bool no_fence_check;         /* starts tasks that are fenced or cancelled (condition 6) */
  bool accept_old_view;        /* replaces the view by a VIEW of a lower revision */
  bool fate_ignores_records;   /* answers QUERY with "not started" without a look at the records */
  bool unknown_is_not_started; /* reports a task whose outcome is unknown as refused */
};

#endif
