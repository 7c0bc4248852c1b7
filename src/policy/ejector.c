#include "azurerock/ejector.h"
#include <glib.h>

/* A member is ejected only if its failure rate is at least this many times that of the others,
 * since a job whose tasks fail everywhere says nothing about one member. */
#define FAILURE_RATE_FACTOR 3

#define DEFAULT_POLICY                                                                             \
  {                                                                                                \
    .failures = 5, .window = 10, .max_share_percent = 30, .base_ms = 1000, .max_ms = 30000         \
  }

struct member
{
  GArray *window; /* bool failed, oldest first */
  uint32_t failures;
  uint32_t n_reports_since_readmission;
  bool is_ejected;
  bool is_probing;     /* a probe task is running */
  int64_t interval_ms; /* length of the current or last ejection; 0 before the first one */
  struct timespec retry_at;
};

struct az_ejector
{
  const struct az_clock *clock;
  struct az_ejection_policy policy;
  GHashTable *members; /* member to struct member */
  uint32_t n_ejected;
  uint64_t failures; /* over the windows of all members */
  uint64_t reports;
};

static void
free_member (void *data)
{
  struct member *member = data;

  g_array_unref (member->window);
  g_free (member);
}

struct az_ejector *
az_ejector_create (const struct az_clock *clock)
{
  struct az_ejector *ejector = g_new0 (struct az_ejector, 1);

  ejector->clock = clock;
  ejector->policy = (struct az_ejection_policy)DEFAULT_POLICY;
  ejector->members = g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL, free_member);
  return ejector;
}

void
az_ejector_destroy (struct az_ejector *ejector)
{
  if (!ejector)
    return;
  g_hash_table_unref (ejector->members);
  g_free (ejector);
}

static struct member *
find_member (const struct az_ejector *ejector, uint32_t member)
{
  return g_hash_table_lookup (ejector->members, GUINT_TO_POINTER (member));
}

static void
drop_oldest_report (struct az_ejector *ejector, struct member *member)
{
  if (g_array_index (member->window, bool, 0))
    {
      member->failures--;
      ejector->failures--;
    }
  ejector->reports--;
  g_array_remove_index (member->window, 0);
}

static void
clear_window (struct az_ejector *ejector, struct member *member)
{
  ejector->failures -= member->failures;
  ejector->reports -= member->window->len;
  member->failures = 0;
  g_array_set_size (member->window, 0);
}

static void
readmit (struct az_ejector *ejector, struct member *member)
{
  member->is_ejected = false;
  member->is_probing = false;
  member->n_reports_since_readmission = 0;
  ejector->n_ejected--;
}

static uint32_t
max_ejected (const struct az_ejector *ejector)
{
  uint64_t members = g_hash_table_size (ejector->members);

  return (uint32_t)(members * ejector->policy.max_share_percent / 100);
}

static struct member *
earliest_ejected (const struct az_ejector *ejector)
{
  struct member *earliest = NULL;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, ejector->members);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct member *member = value;

      if (!member->is_ejected)
        continue;
      if (!earliest || az_time_compare (member->retry_at, earliest->retry_at) < 0)
        earliest = member;
    }
  return earliest;
}

/* The ejected share can exceed the maximum after members leave or the policy changes. */
static void
enforce_max_share (struct az_ejector *ejector)
{
  while (ejector->n_ejected > max_ejected (ejector))
    readmit (ejector, earliest_ejected (ejector));
}

void
az_ejector_set_policy (struct az_ejector *ejector, const struct az_ejection_policy *policy)
{
  GHashTableIter iter;
  gpointer value;

  ejector->policy = *policy;
  g_hash_table_iter_init (&iter, ejector->members);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct member *member = value;

      while (member->window->len > policy->window)
        drop_oldest_report (ejector, member);
    }
  enforce_max_share (ejector);
}

void
az_ejector_add (struct az_ejector *ejector, uint32_t member)
{
  struct member *row;

  if (find_member (ejector, member))
    return;
  row = g_new0 (struct member, 1);
  row->window = g_array_new (FALSE, FALSE, sizeof (bool));
  g_hash_table_insert (ejector->members, GUINT_TO_POINTER (member), row);
}

void
az_ejector_remove (struct az_ejector *ejector, uint32_t member)
{
  struct member *row = find_member (ejector, member);

  if (!row)
    return;
  clear_window (ejector, row);
  if (row->is_ejected)
    ejector->n_ejected--;
  g_hash_table_remove (ejector->members, GUINT_TO_POINTER (member));
  enforce_max_share (ejector);
}

static void
start_interval (struct az_ejector *ejector, struct member *member)
{
  int64_t next = member->interval_ms ? 2 * member->interval_ms : ejector->policy.base_ms;

  member->interval_ms = MIN (next, ejector->policy.max_ms);
  member->retry_at = az_time_add_ms (az_clock_now (ejector->clock), member->interval_ms);
  member->is_probing = false;
}

/* Members that have not reported count as never failing. Otherwise a member whose tasks fail
 * immediately, which reports long before the others finish their first tasks, would receive all
 * tasks until then. */
static bool
fails_more_than_others (const struct az_ejector *ejector, const struct member *member)
{
  uint64_t other_failures = ejector->failures - member->failures;
  uint64_t other_reports = ejector->reports - member->window->len;

  if (member->failures < ejector->policy.failures)
    return false;
  return (uint64_t)member->failures * other_reports
         >= FAILURE_RATE_FACTOR * other_failures * member->window->len;
}

static void
eject (struct az_ejector *ejector, struct member *member)
{
  clear_window (ejector, member);
  member->is_ejected = true;
  ejector->n_ejected++;
  start_interval (ejector, member);
}

static void
report_probe (struct az_ejector *ejector, struct member *member, bool success)
{
  /* Only the result of the probe counts: other tasks started before the ejection. */
  if (!member->is_probing)
    return;
  if (success)
    readmit (ejector, member);
  else
    start_interval (ejector, member);
}

/* The length of the next ejection is reset to the base once the member has reported a full window
 * of tasks without being ejected again. */
static void
reset_interval_if_recovered (const struct az_ejector *ejector, struct member *member)
{
  if (++member->n_reports_since_readmission >= ejector->policy.window)
    member->interval_ms = 0;
}

void
az_ejector_report (struct az_ejector *ejector, uint32_t member, bool success)
{
  struct member *row = find_member (ejector, member);
  bool failed = !success;

  if (!row || !ejector->policy.window)
    return;
  if (row->is_ejected)
    {
      report_probe (ejector, row, success);
      return;
    }
  if (row->window->len == ejector->policy.window)
    drop_oldest_report (ejector, row);
  g_array_append_val (row->window, failed);
  row->failures += failed;
  ejector->failures += failed;
  ejector->reports++;
  if (failed && ejector->n_ejected < max_ejected (ejector) && fails_more_than_others (ejector, row))
    eject (ejector, row);
  else
    reset_interval_if_recovered (ejector, row);
}

bool
az_ejector_can_start (struct az_ejector *ejector, uint32_t member)
{
  const struct member *row = find_member (ejector, member);

  if (!row || !row->is_ejected)
    return true;
  if (row->is_probing)
    return false;
  return az_time_compare (az_clock_now (ejector->clock), row->retry_at) >= 0;
}

void
az_ejector_record_start (struct az_ejector *ejector, uint32_t member)
{
  struct member *row = find_member (ejector, member);

  if (row && row->is_ejected)
    row->is_probing = true;
}

void
az_ejector_record_cancel (struct az_ejector *ejector, uint32_t member)
{
  struct member *row = find_member (ejector, member);

  if (row)
    row->is_probing = false;
}

bool
az_ejector_is_ejected (const struct az_ejector *ejector, uint32_t member)
{
  const struct member *row = find_member (ejector, member);

  return row && row->is_ejected;
}

uint32_t
az_ejector_n_ejected (const struct az_ejector *ejector)
{
  return ejector->n_ejected;
}
