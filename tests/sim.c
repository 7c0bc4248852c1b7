#include "sim.h"
#include <stdio.h>

/* Faults are injected for a random time between these limits. Then all faults are repaired, and the
 * final checks follow after QUIET_MS. Jobs are submitted during the faults and for the first
 * quarter of QUIET_MS. */
#define FAULTS_MIN_MS 6000
#define FAULTS_MAX_MS 18000
#define QUIET_MS 9000

bool
sim_chance (struct sim *sim, double probability)
{
  return g_rand_double (sim->random) < probability;
}

int64_t
sim_random_ns (struct sim *sim, int64_t low_ms, int64_t high_ms)
{
  return (int64_t)g_rand_double_range (sim->random, (double)low_ms * SIM_MS,
                                       (double)high_ms * SIM_MS);
}

void
sim_report_violation (struct sim *sim, const char *rule, const char *format, ...)
{
  va_list arguments;
  char *text;

  if (sim->violation)
    return;
  va_start (arguments, format);
  text = g_strdup_vprintf (format, arguments);
  va_end (arguments);
  sim->violation = g_strdup_printf ("%s: %s (seed %" G_GUINT64_FORMAT ", %d ms)", rule, text,
                                    (guint64)sim->seed, (int)(sim->now / SIM_MS));
  sim_trace (sim, "%s", sim->violation);
  g_free (text);
}

void
sim_trace (struct sim *sim, const char *format, ...)
{
  va_list arguments;

  if (!sim->trace)
    return;
  printf ("%9.3f ms ", (double)sim->now / SIM_MS);
  va_start (arguments, format);
  vprintf (format, arguments);
  va_end (arguments);
  putchar ('\n');
}

static void
free_job (void *data)
{
  g_free (((struct sim_job *)data)->starts_by_task);
  g_free (data);
}

static void
heal_all_faults (struct sim *sim, struct sim_node *no_node, void *data)
{
  (void)no_node;
  (void)data;
  sim->has_healed = true;
  sim->store.is_down = false;
  sim->store.is_slow = false;
  sim->store.loses_answers = false;
  sim_trace (sim, "all faults are repaired");
  for (int i = 0; i < SIM_N_ENTRIES + SIM_N_AGENTS; i++)
    {
      struct sim_node *node = &sim->nodes[i];

      sim->store_disconnected_until[i] = 0;
      for (int k = 0; k < SIM_N_ENTRIES + SIM_N_AGENTS; k++)
        {
          sim->disconnected_until[i][k] = 0;
          sim->stall_until[i][k] = 0;
        }
      if (!node->alive)
        sim_node_start (sim, node);
      if (!sim_node_is_frozen (node))
        continue;
      node->frozen_until = sim->now;
      sim_freeze (sim, node, 0);
    }
}

static void
end_load (struct sim *sim, struct sim_node *no_node, void *data)
{
  (void)no_node;
  (void)data;
  sim->has_load_ended = true;
}

static struct sim *
create (uint64_t seed, const struct sim_guards *guards, int trace)
{
  struct sim *sim = g_new0 (struct sim, 1);
  int64_t faults_end;

  sim->seed = seed;
  sim->trace = trace;
  sim->random = g_rand_new_with_seed ((guint32)seed);
  sim->events = g_array_new (FALSE, FALSE, sizeof (struct sim_event));
  sim->connections = g_array_new (FALSE, FALSE, sizeof (struct sim_connection));
  sim->publications = g_array_new (FALSE, FALSE, sizeof (struct sim_publication));
  sim->requests = g_array_new (FALSE, FALSE, sizeof (struct sim_request));
  sim->jobs = g_ptr_array_new_with_free_func (free_job);
  sim->jobs_by_id = g_hash_table_new (g_str_hash, g_str_equal);
  if (guards)
    sim->guards = *guards;
  faults_end = sim_random_ns (sim, FAULTS_MIN_MS, FAULTS_MAX_MS);
  sim->ends_at = faults_end + QUIET_MS * SIM_MS;
  sim_store_create (sim);
  sim_operator_create (sim);
  sim_nodes_create (sim);
  sim_callers_create (sim);
  sim_faults_create (sim);
  sim_schedule (sim, faults_end, NULL, heal_all_faults, NULL, NULL);
  sim_schedule (sim, faults_end + QUIET_MS * SIM_MS / 4, NULL, end_load, NULL, NULL);
  return sim;
}

static void
destroy (struct sim *sim)
{
  for (int i = 0; i < SIM_N_ENTRIES + SIM_N_AGENTS; i++)
    sim_node_destroy (&sim->nodes[i]);
  sim_events_clear (sim);
  sim_store_destroy (sim);
  g_array_unref (sim->connections);
  g_array_unref (sim->publications);
  g_array_unref (sim->requests);
  g_hash_table_destroy (sim->jobs_by_id);
  g_ptr_array_unref (sim->jobs);
  g_rand_free (sim->random);
  g_free (sim);
}

static void
add_totals (struct sim *totals, const struct sim *sim)
{
  totals->n_done += sim->n_done;
  totals->n_failed += sim->n_failed;
  totals->n_not_run += sim->n_not_run;
  totals->n_unknown += sim->n_unknown;
  totals->n_starts += sim->n_starts;
  totals->n_messages += sim->n_messages;
}

char *
sim_run (uint64_t seed, const struct sim_guards *guards, struct sim *totals)
{
  struct sim *sim = create (seed, guards, totals ? totals->trace : 0);
  char *violation;

  while (sim_step (sim))
    continue;
  if (!sim->violation)
    sim_rules_check_final (sim);
  if (totals)
    add_totals (totals, sim);
  violation = sim->violation;
  destroy (sim);
  return violation;
}
