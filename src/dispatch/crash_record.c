#include "dispatch/crash_record.h"
#include "dispatch/time_us.h"
#include <glib.h>

/* Further crashes under a job aren't recorded. */
#define CRASHES_PER_JOB_MAX 8

struct entry
{
  char *job_id;
  struct az_crash crashes[CRASHES_PER_JOB_MAX];
  uint32_t n_crashes;
  int64_t last_crash_us;
  GList link; /* in order of age */
};

struct az_crash_record
{
  GHashTable *entries; /* job id -> struct entry * */
  GQueue by_age;       /* struct entry *, the one with the oldest last crash first */
};

static void
free_entry (gpointer value)
{
  struct entry *entry = value;

  g_free (entry->job_id);
  g_free (entry);
}

struct az_crash_record *
az_crash_record_create (void)
{
  struct az_crash_record *record = g_new0 (struct az_crash_record, 1);

  record->entries = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_entry);
  return record;
}

void
az_crash_record_destroy (struct az_crash_record *record)
{
  if (!record)
    return;
  g_hash_table_unref (record->entries);
  g_free (record);
}

static void
drop_oldest (struct az_crash_record *record)
{
  struct entry *oldest = g_queue_peek_head (&record->by_age);

  g_queue_unlink (&record->by_age, &oldest->link);
  g_hash_table_remove (record->entries, oldest->job_id);
}

static void
expire (struct az_crash_record *record, int64_t now_us)
{
  const struct entry *oldest;

  while ((oldest = g_queue_peek_head (&record->by_age))
         && now_us - oldest->last_crash_us >= AZ_CRASH_RECORD_MS * AZ_US_PER_MS)
    drop_oldest (record);
}

static struct entry *
find_entry (struct az_crash_record *record, const char *job_id, int64_t now_us)
{
  expire (record, now_us);
  return g_hash_table_lookup (record->entries, job_id);
}

static struct entry *
add_entry (struct az_crash_record *record, const char *job_id)
{
  struct entry *entry;

  if (g_hash_table_size (record->entries) >= AZ_CRASH_RECORD_MAX)
    drop_oldest (record);
  entry = g_new0 (struct entry, 1);
  entry->job_id = g_strdup (job_id);
  entry->link.data = entry;
  g_hash_table_insert (record->entries, entry->job_id, entry);
  g_queue_push_tail_link (&record->by_age, &entry->link);
  return entry;
}

static bool
is_under (const struct az_crash *crash, uint32_t step, uint32_t index)
{
  return crash->step == step && crash->index == index;
}

static bool
has_crash (const struct entry *entry, const struct az_crash *crash)
{
  for (uint32_t i = 0; i < entry->n_crashes; i++)
    if (entry->crashes[i].upstream == crash->upstream && entry->crashes[i].sidecar == crash->sidecar
        && entry->crashes[i].life == crash->life
        && is_under (&entry->crashes[i], crash->step, crash->index))
      return true;
  return false;
}

bool
az_crash_record_add (struct az_crash_record *record,
                     const char *job_id,
                     const struct az_crash *crash,
                     int64_t now_us)
{
  struct entry *entry = find_entry (record, job_id, now_us);

  if (!entry)
    entry = add_entry (record, job_id);
  if (has_crash (entry, crash) || entry->n_crashes == CRASHES_PER_JOB_MAX)
    return false;
  entry->crashes[entry->n_crashes++] = *crash;
  entry->last_crash_us = now_us;
  g_queue_unlink (&record->by_age, &entry->link);
  g_queue_push_tail_link (&record->by_age, &entry->link);
  return true;
}

uint32_t
az_crash_record_count (struct az_crash_record *record,
                       const char *job_id,
                       uint32_t step,
                       uint32_t index,
                       int64_t now_us)
{
  const struct entry *entry = find_entry (record, job_id, now_us);
  uint32_t count = 0;

  for (uint32_t i = 0; entry && i < entry->n_crashes; i++)
    count += is_under (&entry->crashes[i], step, index);
  return count;
}
