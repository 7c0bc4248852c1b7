#ifndef AZUREROCK_SETTINGS_H
#define AZUREROCK_SETTINGS_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

enum az_setting_type
{
  AZ_SETTING_STRING,  /* char *, allocated */
  AZ_SETTING_ADDRESS, /* char *, allocated: "ip:port" */
  AZ_SETTING_INTEGER, /* int64_t within minimum and maximum */
  AZ_SETTING_NUMBER,  /* double within minimum and maximum */
  AZ_SETTING_BOOLEAN, /* bool */
  AZ_SETTING_STRINGS, /* GPtrArray * of char * */
};

/* The fields are in the order in which rows of a schema are easiest to read in the source. Another
 * order would save padding, which costs little in so few rows.
 * NOLINTBEGIN(clang-analyzer-optin.performance.Padding) */

/** struct az_setting - describes one field of a settings file; an array of these is the schema */
struct az_setting
{
  const char *name;
  enum az_setting_type type;
  size_t offset; /* position of the value in the settings structure */
  bool required;
  int64_t minimum;
  int64_t maximum;
  const char *help; /* one line for --help-settings and the operator manual */
};
/* NOLINTEND(clang-analyzer-optin.performance.Padding) */

#define AZ_SETTINGS_ERROR (az_settings_error_quark ())
GQuark
az_settings_error_quark (void);

/**
 * az_settings_load - reads the JSON object in the file @path into @settings
 * @settings: must hold the default values; absent fields keep them
 *
 * Return: FALSE with an error if the file can't be read or has errors. The error has one line for
 * each invalid, missing or unknown field.
 */
gboolean
az_settings_load (const char *path,
                  const struct az_setting *schema,
                  size_t n_schema,
                  void *settings,
                  GError **error);

/** az_settings_load_text - reads the settings from @text; @origin is the file name in errors */
gboolean
az_settings_load_text (const char *text,
                       size_t length,
                       const char *origin,
                       const struct az_setting *schema,
                       size_t n_schema,
                       void *settings,
                       GError **error);

/** az_settings_clear - frees the allocated fields */
void
az_settings_clear (const struct az_setting *schema, size_t n_schema, void *settings);

#endif
