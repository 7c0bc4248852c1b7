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

/* The fields are in the reading order of a schema row; a handful of rows exist.
 * NOLINTBEGIN(clang-analyzer-optin.performance.Padding) */

/** struct az_setting - one field of a settings file; a table of these is its schema */
struct az_setting
{
  const char *name;
  enum az_setting_type type;
  size_t offset; /* of the field in the settings structure */
  bool required;
  int64_t minimum;
  int64_t maximum;
  const char *help; /* one line for --help-settings and the operators' page */
};
/* NOLINTEND(clang-analyzer-optin.performance.Padding) */

#define AZ_SETTINGS_ERROR (az_settings_error_quark ())
GQuark
az_settings_error_quark (void);

/**
 * az_settings_load - fills @settings, which holds the defaults, from a JSON object in @path
 *
 * Return: FALSE with an error that names every wrong, missing and unknown field of the file, a
 * line each.
 */
gboolean
az_settings_load (const char *path,
                  const struct az_setting *schema,
                  size_t n_schema,
                  void *settings,
                  GError **error);

/** az_settings_load_text - the same from @text; @origin is named as the file */
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
