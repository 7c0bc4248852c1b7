#include "azurerock/log.h"
#include "dispatch/settings_watch.h"
#include "testing.h"
#include <stddef.h>
#include <unistd.h>

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
  struct az_settings_watch watch = { .path = path,
                                     .schema = schema,
                                     .n_schema = 1,
                                     .size = sizeof (struct values),
                                     .seeds_offset = offsetof (struct values, seeds) };
  GPtrArray *seeds;

  (void)state;
  write_file (path, "{\"seeds\":[\"10.0.0.1:1\"]}");
  az_settings_watch_open (&watch);
  assert_null (az_settings_watch_check (&watch));
  write_file (path, "{\"seeds\":[\"10.0.0.1:1\",\"10.0.0.2:1\"]}");
  seeds = az_settings_watch_check_if_due (&watch, 3000000);
  assert_non_null (seeds);
  assert_int_equal (seeds->len, 2);
  g_ptr_array_unref (seeds);
  assert_null (az_settings_watch_check (&watch));
  write_file (path, "{\"seeds\":7}");
  assert_null (az_settings_watch_check (&watch));
  unlink (path);
  assert_null (az_settings_watch_check (&watch));
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
