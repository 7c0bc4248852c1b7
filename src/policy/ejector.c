#include "azurerock/ejector.h"
#include <glib.h>

/* A member must fail this many times as often as the others: work that fails everywhere says
 * nothing about one member. */
#define RATE_FACTOR 3

#define DEFAULT_POLICY                                                                             \
  {                                                                                                \
    .failures = 5, .window = 10, .max_share_percent = 30, .base_ms = 1000, .max_ms = 30000         \
  }

struct member
{
  GArray *window; /* bool failed, oldest first */
  uint32_t failures;
  uint32_t healthy; /* reports since the last ejection or readmission */
  bool ejected;
  bool probing;
  int64_t interval_ms; /* 0 until the first ejection */
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
drop_oldest (struct az_ejector *ejector, struct member *member)
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
  member->ejected = false;
  member->probing = false;
  member->healthy = 0;
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

      if (!member->ejected)
        continue;
      if (!earliest || az_time_compare (member->retry_at, earliest->retry_at) < 0)
        earliest = member;
    }
  return earliest;
}

/* The share can grow past the cap when members leave or the policy changes. */
static void
enforce_cap (struct az_ejector *ejector)
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
        drop_oldest (ejector, member);
    }
  enforce_cap (ejector);
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
  if (row->ejected)
    ejector->n_ejected--;
  g_hash_table_remove (ejector->members, GUINT_TO_POINTER (member));
  enforce_cap (ejector);
}

static void
wait_longer (struct az_ejector *ejector, struct member *member)
{
  int64_t next = member->interval_ms ? 2 * member->interval_ms : ejector->policy.base_ms;

  member->interval_ms = MIN (next, ejector->policy.max_ms);
  member->retry_at = az_time_add_ms (az_clock_now (ejector->clock), member->interval_ms);
  member->probing = false;
}

/* Members without any report count as never failing: a worker that fails at once reports long
 * before the others finish their first tasks, and would get every task until then. */
static bool
fails_more_than_others (const struct az_ejector *ejector, const struct member *member)
{
  uint64_t other_failures = ejector->failures - member->failures;
  uint64_t other_reports = ejector->reports - member->window->len;

  if (member->failures < ejector->policy.failures)
    return false;
  return (uint64_t)member->failures * other_reports
         >= RATE_FACTOR * other_failures * member->window->len;
}

static void
eject (struct az_ejector *ejector, struct member *member)
{
  clear_window (ejector, member);
  member->ejected = true;
  ejector->n_ejected++;
  wait_longer (ejector, member);
}

static void
report_probe (struct az_ejector *ejector, struct member *member, bool success)
{
  /* Tasks that started before the ejection say nothing new. */
  if (!member->probing)
    return;
  if (success)
    readmit (ejector, member);
  else
    wait_longer (ejector, member);
}

/* A full window without a new ejection ends the doubling of the interval. */
static void
forget_interval (const struct az_ejector *ejector, struct member *member)
{
  if (++member->healthy >= ejector->policy.window)
    member->interval_ms = 0;
}

void
az_ejector_report (struct az_ejector *ejector, uint32_t member, bool success)
{
  struct member *row = find_member (ejector, member);
  bool failed = !success;

  if (!row || !ejector->policy.window)
    return;
  if (row->ejected)
    {
      report_probe (ejector, row, success);
      return;
    }
  if (row->window->len == ejector->policy.window)
    drop_oldest (ejector, row);
  g_array_append_val (row->window, failed);
  row->failures += failed;
  ejector->failures += failed;
  ejector->reports++;
  if (failed && ejector->n_ejected < max_ejected (ejector) && fails_more_than_others (ejector, row))
    eject (ejector, row);
  else
    forget_interval (ejector, row);
}

bool
az_ejector_may_start (struct az_ejector *ejector, uint32_t member)
{
  const struct member *row = find_member (ejector, member);

  if (!row || !row->ejected)
    return true;
  if (row->probing)
    return false;
  return az_time_compare (az_clock_now (ejector->clock), row->retry_at) >= 0;
}

void
az_ejector_started (struct az_ejector *ejector, uint32_t member)
{
  struct member *row = find_member (ejector, member);

  if (row && row->ejected)
    row->probing = true;
}

void
az_ejector_cancelled (struct az_ejector *ejector, uint32_t member)
{
  struct member *row = find_member (ejector, member);

  if (row)
    row->probing = false;
}

bool
az_ejector_is_ejected (const struct az_ejector *ejector, uint32_t member)
{
  const struct member *row = find_member (ejector, member);

  return row && row->ejected;
}

uint32_t
az_ejector_n_ejected (const struct az_ejector *ejector)
{
  return ejector->n_ejected;
}
