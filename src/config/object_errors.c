#include "config/object_set.h"

static void
destroy_error (void *data)
{
  struct az_object_error *error = data;

  g_free (error->file);
  g_free (error->object);
  g_free (error->field);
  g_free (error->message);
  g_free (error);
}

GPtrArray *
az_object_errors_create (void)
{
  return g_ptr_array_new_with_free_func (destroy_error);
}

void
az_object_report (const struct az_object_location *location,
                  const char *field,
                  const char *format,
                  ...)
{
  struct az_object_error *error = g_new0 (struct az_object_error, 1);
  va_list arguments;

  error->file = g_strdup (location->file);
  error->object = g_strdup (location->object);
  error->field = g_strdup (field);
  va_start (arguments, format);
  error->message = g_strdup_vprintf (format, arguments);
  va_end (arguments);
  g_ptr_array_add (location->errors, error);
}
