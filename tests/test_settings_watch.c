#include "azurerock/log.h"
#include "dispatch/settings_watch.h"
#include "testing.h"
#include <stddef.h>
#include <unistd.h>

/* The seeds added by the last change, and the number of changes. */
struct added
{
  guint n_seeds;
  guint n_changes;
};

static void
record_seeds (void *context, const GPtrArray *seeds)
{
  struct added *added = context;

  added->n_seeds = seeds->len;
  added->n_changes++;
}

struct values
{
  GPtrArray *seeds;
};

static const struct az_setting schema[]
    = { { "seeds", AZ_SETTING_STRINGS, offsetof (struct values, seeds), true, 0, 0, "seeds" } };

static void
write_file (const char *path, const char *text)
{
  assert_true (g_file_set_contents (path, text, -1, NULL));
}

/* Guards against a process that keeps stale seeds because it got no SIGHUP, and against one that
 * drops its valid seeds when the file is malformed or missing. */
static void
test_changes_are_noticed_and_broken_files_ignored (void **state)
{
  g_autofree char *path = g_strdup_printf ("/tmp/settings-watch-%d.json", (int)getpid ());
  struct added added = { 0 };
  struct az_settings_watch watch = { .path = path,
                                     .schema = schema,
                                     .n_schema = 1,
                                     .size = sizeof (struct values),
                                     .seeds_offset = offsetof (struct values, seeds),
                                     .add_seeds = record_seeds,
                                     .context = &added };

  (void)state;
  write_file (path, "{\"seeds\":[\"10.0.0.1:1\"]}");
  az_settings_watch_open (&watch);
  az_settings_watch_check (&watch);
  assert_int_equal (added.n_changes, 0);
  write_file (path, "{\"seeds\":[\"10.0.0.1:1\",\"10.0.0.2:1\"]}");
  az_settings_watch_check_if_due (&watch, 2999999);
  assert_int_equal (added.n_changes, 0);
  az_settings_watch_check_if_due (&watch, 3000000);
  assert_int_equal (added.n_changes, 1);
  assert_int_equal (added.n_seeds, 2);
  az_settings_watch_check (&watch);
  write_file (path, "{\"seeds\":7}");
  az_settings_watch_check (&watch);
  unlink (path);
  az_settings_watch_check (&watch);
  assert_int_equal (added.n_changes, 1);
  az_settings_watch_close (&watch);
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (test_changes_are_noticed_and_broken_files_ignored) };

  az_log_init ("test", LOG_ERR);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
