#include "sim.h"
#include <string.h>

/* No task starts later than this after a withdrawal was accepted or a planned stop has begun. */
#define START_STOP_LIMIT_MS 3000

/* No task starts under an older revision later than this after a newer one was accepted. */
#define ADOPTION_LIMIT_MS 6000

static void
check_withdrawn (struct sim *sim, const struct sim_node *agent)
{
  int domain = agent->index % SIM_N_DOMAINS;

  for (guint i = sim->publications->len; i > 0; i--)
    {
      const struct sim_publication *publication
          = &g_array_index (sim->publications, struct sim_publication, i - 1);

      if (publication->in_service[domain])
        return;
      if (publication->accepted_at
          && sim->now > publication->accepted_at + START_STOP_LIMIT_MS * SIM_MS)
        sim_report_violation (
            sim, "R3", "start at %s %d ms after revision %d was accepted", agent->instance,
            (int)((sim->now - publication->accepted_at) / SIM_MS), (int)publication->revision);
    }
}

static void
check_adopted (struct sim *sim, struct sim_node *agent)
{
  uint64_t revision = sim_node_revision (agent);

  for (guint i = sim->publications->len; i > 0; i--)
    {
      const struct sim_publication *publication
          = &g_array_index (sim->publications, struct sim_publication, i - 1);

      if (publication->revision <= revision)
        return;
      if (publication->accepted_at
          && sim->now > publication->accepted_at + ADOPTION_LIMIT_MS * SIM_MS)
        sim_report_violation (
            sim, "R9", "start at %s with revision %d, %d ms after %d was accepted", agent->instance,
            (int)revision, (int)((sim->now - publication->accepted_at) / SIM_MS),
            (int)publication->revision);
    }
}

void
sim_rules_check_start (struct sim *sim, struct sim_node *agent, const struct az_attempt *id)
{
  struct sim_job *job = g_hash_table_lookup (sim->jobs_by_id, id->job);

  sim->n_starts++;
  sim_trace (sim, "start %s/%u attempt %u at %s", id->job, id->task, id->attempt, agent->instance);
  job->n_task_starts++;
  if (++job->starts_by_task[id->task] > 1)
    sim_report_violation (sim, job->is_non_idempotent ? "R6" : "R1", "second start of %s/%u, at %s",
                          id->job, id->task, agent->instance);
  if (job->was_answered_not_run && !job->has_parallel_submission)
    sim_report_violation (sim, "R5", "start of %s/%u after \"not run\"", id->job, id->task);
  if (agent->stopping && sim->now > agent->stopped_at + START_STOP_LIMIT_MS * SIM_MS)
    sim_report_violation (sim, "R7", "start of %s/%u at stopping %s", id->job, id->task,
                          agent->instance);
  check_withdrawn (sim, agent);
  check_adopted (sim, agent);
}

static void
check_results (struct sim *sim, const struct sim_job *job, const struct az_answer *answer)
{
  char expected[128];

  if (answer->results.results_len != job->n_tasks)
    sim_report_violation (sim, "R2", "%u results for %u tasks of %s", answer->results.results_len,
                          job->n_tasks, job->id);
  for (uint32_t i = 0; i < MIN (answer->results.results_len, job->n_tasks); i++)
    {
      const az_payload *payload = &answer->results.results_val[i].payload;

      g_snprintf (expected, sizeof expected, "%s/%u", job->id, i);
      if (!payload->az_payload_len)
        sim_report_violation (sim, "R2", "no result of %s/%u", job->id, i);
      else if (payload->az_payload_len != strlen (expected)
               || memcmp (payload->az_payload_val, expected, strlen (expected)) != 0)
        sim_report_violation (sim, "R4", "wrong result for %s/%u: %.*s", job->id, i,
                              (int)payload->az_payload_len, payload->az_payload_val);
    }
}

void
sim_rules_check_answer (struct sim *sim, struct sim_job *job, const struct az_answer *answer)
{
  sim_trace (sim, "answer %s outcome %d %s", job->id, (int)answer->outcome,
             answer->code ? answer->code : "");
  if (strcmp (answer->job, job->id) != 0)
    sim_report_violation (sim, "R4", "answer of %s for %s", answer->job, job->id);
  if (answer->outcome == AZ_OUTCOME_DONE)
    check_results (sim, job, answer);
  else if (answer->results.results_len)
    sim_report_violation (sim, "R2", "results in an answer of outcome %d", (int)answer->outcome);
  if (answer->outcome == AZ_OUTCOME_NOT_RUN && job->n_task_starts && !job->has_parallel_submission)
    sim_report_violation (sim, "R5", "\"not run\" (%s) for %s, of which %u tasks have started",
                          answer->code, job->id, job->n_task_starts);
  sim->n_done += answer->outcome == AZ_OUTCOME_DONE;
  sim->n_failed += answer->outcome == AZ_OUTCOME_FAILED;
  sim->n_not_run += answer->outcome == AZ_OUTCOME_NOT_RUN;
  sim->n_unknown += answer->outcome == AZ_OUTCOME_UNKNOWN;
}

void
sim_rules_check_revision (struct sim *sim, struct sim_node *node)
{
  uint64_t revision = sim_node_revision (node);

  if (revision < node->revision)
    sim_report_violation (sim, "R9", "%s went from revision %d back to %d", node->instance,
                          (int)node->revision, (int)revision);
  node->revision = revision;
}

void
sim_rules_check_drained (struct sim *sim, struct sim_node *node)
{
  for (guint i = 0; i < sim->requests->len; i++)
    {
      const struct sim_request *request = &g_array_index (sim->requests, struct sim_request, i);

      if (request->node == node->index && request->generation == node->generation
          && request->delivered && !request->answered && !request->abandoned)
        sim_report_violation (sim, "R8", "%s drained with an open request of %s", node->instance,
                              request->job->id);
    }
  if (node->running_tasks && g_hash_table_size (node->running_tasks))
    sim_report_violation (sim, "R8", "%s drained with running tasks", node->instance);
}

void
sim_rules_check_final (struct sim *sim)
{
  uint64_t published = sim_last_publication (sim)->revision;

  for (int i = 0; i < SIM_N_ENTRIES + SIM_N_AGENTS; i++)
    {
      struct sim_node *node = &sim->nodes[i];

      /* A process that has just started may not have read the configuration yet. */
      if (sim->now < node->started_at + ADOPTION_LIMIT_MS * SIM_MS)
        continue;
      if (node->alive && sim_node_revision (node) != published)
        sim_report_violation (sim, "R9", "%s ends with revision %d of %d", node->instance,
                              (int)sim_node_revision (node), (int)published);
    }
}
