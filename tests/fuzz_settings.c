#include "azurerock/settings.h"
#include <stddef.h>

struct settings
{
  char *name;
  char *address;
  int64_t number;
  bool flag;
  GPtrArray *names;
};

static const struct az_setting schema[] = {
  { "name", AZ_SETTING_STRING, offsetof (struct settings, name), true, 0, 0, "" },
  { "address", AZ_SETTING_ADDRESS, offsetof (struct settings, address), false, 0, 0, "" },
  { "number", AZ_SETTING_INTEGER, offsetof (struct settings, number), false, -5, 100, "" },
  { "flag", AZ_SETTING_BOOLEAN, offsetof (struct settings, flag), false, 0, 0, "" },
  { "names", AZ_SETTING_STRINGS, offsetof (struct settings, names), false, 0, 0, "" },
};

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  struct settings settings = { 0 };
  GError *error = NULL;
  gboolean valid = az_settings_load_text ((const char *)data, size, "fuzz", schema,
                                          G_N_ELEMENTS (schema), &settings, &error);

  if (valid == (error != NULL))
    g_error ("the result and the error contradict each other");
  if (valid && (!settings.name || settings.number < -5 || settings.number > 100))
    g_error ("settings outside their schema were accepted");
  g_clear_error (&error);
  az_settings_clear (schema, G_N_ELEMENTS (schema), &settings);
  return 0;
}
