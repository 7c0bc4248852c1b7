#include "sim.h"

/* Interval at which the operator checks whether its publications are accepted. */
#define POLL_MS 60

const struct sim_publication *
sim_last_publication (const struct sim *sim)
{
  return &g_array_index (sim->publications, struct sim_publication, sim->publications->len - 1);
}

static char *
format_document (const struct sim_publication *publication)
{
  GString *text = g_string_new (NULL);

  g_string_append_printf (text,
                          "{\"revision\":%d,\"publish_id\":\"p%d\",\"author\":\"operator\","
                          "\"time\":\"2026-12-04T00:00:00Z\",\"message\":\"\",\"objects\":[",
                          (int)publication->revision, (int)publication->revision);
  for (int d = 0; d < SIM_N_DOMAINS; d++)
    g_string_append_printf (
        text, "{\"kind\":\"domain\",\"name\":\"d%d\",\"region\":\"r\",\"in_service\":%s},", d,
        publication->in_service[d] ? "true" : "false");
  g_string_append_printf (
      text,
      "{\"kind\":\"upstream\",\"name\":\"u\",\"domains\":[\"d0\",\"d1\",\"d2\"],\"slots\":%d,"
      "\"connections\":8},"
      "{\"kind\":\"policy\",\"name\":\"p\",\"max_tasks_per_job\":100,\"max_payload_bytes\":1000,"
      "\"task_timeout_ms\":1500,\"result_retention_ms\":20000,\"deadline_default_ms\":3000},"
      "{\"kind\":\"service\",\"name\":\"s\",\"upstreams\":[\"u\"],\"policy\":\"p\"},"
      "{\"kind\":\"team\",\"name\":\"t\",\"quota_slots\":100,\"weight\":1,\"services\":[\"s\"],"
      "\"max_queued_tasks\":1000}]}",
      SIM_SLOTS);
  return g_string_free (text, FALSE);
}

/* Like the operators' tool, this takes an entry that does not answer as one that has not confirmed
 * the revision. */
static bool
has_confirmed (struct sim *sim, const struct az_roster_entry *member, uint64_t revision)
{
  for (int i = 0; i < SIM_N_ENTRIES; i++)
    {
      struct sim_node *node = &sim->nodes[i];

      if (node->alive && !sim_node_is_frozen (node) && node->incarnation == member->incarnation)
        return sim_node_revision (node) >= revision;
    }
  return false;
}

/* A revision is accepted when at least half of all members have confirmed it, and at least half of
 * those that joined before the newest table version. Half of all members intersects each majority
 * of the present roster; half of the members that joined earlier intersects each majority of the
 * roster before. */
static bool
is_accepted (struct sim *sim, uint64_t revision)
{
  const struct az_table *table = &sim->store.table;
  uint32_t n_members = table->roster.roster_len;
  uint32_t confirmed = 0;
  uint32_t n_counted = 0;
  uint32_t counted_confirmed = 0;

  for (u_int i = 0; i < n_members; i++)
    {
      bool is_confirming = has_confirmed (sim, &table->roster.roster_val[i], revision);
      bool is_counted = table->roster.roster_val[i].joined < table->table_version;

      confirmed += is_confirming;
      n_counted += is_counted;
      counted_confirmed += is_counted && is_confirming;
    }
  return n_members && confirmed >= (n_members + 1) / 2 && counted_confirmed >= (n_counted + 1) / 2;
}

static void
check_acceptance (struct sim *sim, struct sim_node *no_node, void *data)
{
  (void)no_node;
  (void)data;
  for (guint i = sim->publications->len; i > 0; i--)
    {
      struct sim_publication *publication
          = &g_array_index (sim->publications, struct sim_publication, i - 1);

      if (publication->accepted_at)
        break;
      if (!sim->store.is_down && is_accepted (sim, publication->revision))
        {
          publication->accepted_at = sim->now;
          sim_trace (sim, "revision %d accepted", (int)publication->revision);
        }
    }
  sim_schedule (sim, sim->now + POLL_MS * SIM_MS, NULL, check_acceptance, NULL, NULL);
}

void
sim_operator_publish (struct sim *sim)
{
  struct sim_publication publication = *sim_last_publication (sim);
  int domain = (int)g_rand_int_range (sim->random, 0, SIM_N_DOMAINS);

  if (sim->store.is_down)
    return;
  publication.revision++;
  publication.accepted_at = 0;
  publication.in_service[domain] = !publication.in_service[domain];
  g_array_append_val (sim->publications, publication);
  g_free (sim->store.config);
  sim->store.config = format_document (&publication);
  sim->store.revision = publication.revision;
  sim_trace (sim, "publish revision %d: d%d %s", (int)publication.revision, domain,
             publication.in_service[domain] ? "in service" : "withdrawn");
}

void
sim_operator_create (struct sim *sim)
{
  struct sim_publication first = { .revision = 1, .in_service = { true, true, true } };

  g_array_append_val (sim->publications, first);
  sim->store.config = format_document (&first);
  sim->store.revision = 1;
  sim_schedule (sim, sim->now, NULL, check_acceptance, NULL, NULL);
}
