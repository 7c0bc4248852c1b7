#include "azurerock/event_log.h"
#include <errno.h>
#include <fcntl.h>
#include <jansson.h>
#include <stdarg.h>
#include <string.h>
#include <unistd.h>

struct az_event_log
{
  int fd;
  const struct az_clock *clock;
  char *instance;
  char incarnation[24];
};

struct az_event_log *
az_event_log_create (const char *path,
                     const char *instance,
                     uint64_t incarnation,
                     const struct az_clock *clock,
                     GError **error)
{
  struct az_event_log *log;
  int fd = -1;

  if (path)
    {
      fd = open (path, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
      if (fd < 0)
        {
          g_set_error (error, G_FILE_ERROR, (gint)g_file_error_from_errno (errno), "%s: %s", path,
                       g_strerror (errno));
          return NULL;
        }
    }
  log = g_new0 (struct az_event_log, 1);
  log->fd = fd;
  log->clock = clock;
  log->instance = g_strdup (instance);
  g_snprintf (log->incarnation, sizeof log->incarnation, "%" G_GUINT64_FORMAT, incarnation);
  return log;
}

void
az_event_log_destroy (struct az_event_log *log)
{
  if (!log)
    return;
  if (log->fd >= 0)
    close (log->fd);
  g_free (log->instance);
  g_free (log);
}

static json_t *
create_event (const struct az_event_log *log, const char *event)
{
  int64_t mono_us = az_time_to_ns (az_clock_now (log->clock)) / 1000;

  return json_pack ("{s:s, s:I, s:I, s:s, s:s}", "event", event, "wall_ms",
                    (json_int_t)az_clock_wall_ms (log->clock), "mono_us", (json_int_t)mono_us,
                    "instance", log->instance, "incarnation", log->incarnation);
}

static void
write_line (int fd, json_t *line)
{
  char *text = json_dumps (line, JSON_COMPACT);
  size_t length = strlen (text);

  text[length] = '\n';
  if (write (fd, text, length + 1) < 0)
    g_warning ("event log: %s", g_strerror (errno));
  free (text);
}

void
az_event_log_write (struct az_event_log *log, const char *event, const char *first_key, ...)
{
  json_t *line;
  va_list arguments;

  if (!log || log->fd < 0)
    return;
  line = create_event (log, event);
  va_start (arguments, first_key);
  for (const char *key = first_key; key; key = va_arg (arguments, const char *))
    {
      const char *value = va_arg (arguments, const char *);

      if (value)
        json_object_set_new (line, key, json_string (value));
    }
  va_end (arguments);
  write_line (log->fd, line);
  json_decref (line);
}
