#include "azurerock/settings.h"
#include "testing.h"
#include <string.h>

struct settings
{
  char *name;
  char *listen;
  int64_t slots;
  bool verbose;
  GPtrArray *seeds;
};

static const struct az_setting schema[] = {
  { "name", AZ_SETTING_STRING, offsetof (struct settings, name), true, 0, 0, "name" },
  { "listen", AZ_SETTING_ADDRESS, offsetof (struct settings, listen), false, 0, 0, "address" },
  { "slots", AZ_SETTING_INTEGER, offsetof (struct settings, slots), false, 1, 64, "slots" },
  { "verbose", AZ_SETTING_BOOLEAN, offsetof (struct settings, verbose), false, 0, 0, "verbose" },
  { "seeds", AZ_SETTING_STRINGS, offsetof (struct settings, seeds), false, 0, 0, "seeds" },
};

static gboolean
load (const char *text, struct settings *settings, GError **error)
{
  return az_settings_load_text (text, strlen (text), "agent.json", schema, G_N_ELEMENTS (schema),
                                settings, error);
}

/* Guards against lost default values and values stored in the wrong field. */
static void
test_valid_settings (void **state)
{
  struct settings settings = { .listen = g_strdup ("127.0.0.1:1"), .slots = 8 };

  assert_true (load ("{\"name\":\"n\",\"verbose\":true,\"seeds\":[\"x\",\"y\"]}", &settings, NULL));
  assert_string_equal (settings.name, "n");
  assert_string_equal (settings.listen, "127.0.0.1:1");
  assert_int_equal (settings.slots, 8);
  assert_true (settings.verbose);
  assert_int_equal (settings.seeds->len, 2);
  assert_true (load ("{\"name\":\"m\",\"listen\":\"[::1]:0\",\"slots\":64}", &settings, NULL));
  assert_string_equal (settings.listen, "[::1]:0");
  az_settings_clear (schema, G_N_ELEMENTS (schema), &settings);
  assert_null (settings.name);
}

/* Guards against errors that don't name the file and the field, and against reporting only the
 * first error. */
static void
test_every_error_is_named (void **state)
{
  struct settings settings = { 0 };
  g_autoptr (GError) error = NULL;

  assert_false (load ("{\"listen\":\"localhost:1\",\"slots\":65,\"verbose\":1,\"seeds\":[1],"
                      "\"slot\":1}",
                      &settings, &error));
  assert_int_equal (error->domain, AZ_SETTINGS_ERROR);
  assert_string_equal (
      error->message,
      "agent.json: slot: unknown field\n"
      "agent.json: name: missing\n"
      "agent.json: listen: \"localhost:1\" must be a numeric IP address and a port, as in "
      "\"127.0.0.1:7001\"\n"
      "agent.json: slots: 65 is out of range: must be 1 to 64\n"
      "agent.json: verbose: must be true or false\n"
      "agent.json: seeds: item 0 must be a string");
  az_settings_clear (schema, G_N_ELEMENTS (schema), &settings);
}

/* Guards against addresses without a port, with a host name or with a port out of range. */
static void
test_addresses (void **state)
{
  const char *const wrong[]
      = { "", "127.0.0.1", "127.0.0.1:", "127.0.0.1:65536", "::1:80", "[]:1" };

  for (size_t i = 0; i < G_N_ELEMENTS (wrong); i++)
    {
      struct settings settings = { 0 };
      g_autofree char *text = g_strdup_printf ("{\"name\":\"n\",\"listen\":\"%s\"}", wrong[i]);
      g_autoptr (GError) error = NULL;

      assert_false (load (text, &settings, &error));
      assert_non_null (strstr (error->message, "agent.json: listen: "));
      az_settings_clear (schema, G_N_ELEMENTS (schema), &settings);
    }
}

/* Guards against duplicate keys, of which one would be ignored silently, and against errors that do
 * not name the file. */
static void
test_invalid_files (void **state)
{
  struct settings settings = { 0 };
  g_autoptr (GError) duplicate = NULL;
  g_autoptr (GError) missing = NULL;
  g_autoptr (GError) array = NULL;

  assert_false (load ("{\"name\":\"a\",\"name\":\"b\"}", &settings, &duplicate));
  assert_non_null (strstr (duplicate->message, "agent.json: line 1"));
  assert_false (load ("[]", &settings, &array));
  assert_false (az_settings_load ("/nonexistent/agent.json", schema, G_N_ELEMENTS (schema),
                                  &settings, &missing));
  assert_non_null (strstr (missing->message, "/nonexistent/agent.json"));
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_valid_settings),
    cmocka_unit_test (test_every_error_is_named),
    cmocka_unit_test (test_addresses),
    cmocka_unit_test (test_invalid_files),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
