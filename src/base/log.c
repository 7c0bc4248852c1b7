#include "azurerock/log.h"
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#define LINE_MAX_BYTES 2048

static const char *program_name = "azurerock";
static int least_urgent_level = LOG_INFO;

void
az_log_open (const char *program, int level)
{
  program_name = program;
  least_urgent_level = level;
}

int
az_log_parse_level (const char *name)
{
  static const struct
  {
    const char *name;
    int level;
  } levels[] = {
    { "error", LOG_ERR }, { "warning", LOG_WARNING }, { "notice", LOG_NOTICE },
    { "info", LOG_INFO }, { "debug", LOG_DEBUG },
  };

  for (size_t i = 0; i < sizeof levels / sizeof levels[0]; i++)
    if (!strcmp (name, levels[i].name))
      return levels[i].level;
  return -1;
}

static size_t
format_prefix (char *line, size_t size, int level)
{
  struct timespec now;
  struct tm utc;
  char time_text[32];

  clock_gettime (CLOCK_REALTIME, &now);
  gmtime_r (&now.tv_sec, &utc);
  strftime (time_text, sizeof time_text, "%Y-%m-%dT%H:%M:%S", &utc);
  return (size_t)snprintf (line, size, "<%d>%s.%03ldZ %s[%ld]: ", LOG_DAEMON | level, time_text,
                           now.tv_nsec / 1000000, program_name, (long)getpid ());
}

void
az_log (int level, const char *format, ...)
{
  char line[LINE_MAX_BYTES];
  size_t length;
  va_list arguments;
  int written;

  if (level > least_urgent_level)
    return;
  length = format_prefix (line, sizeof line, level);
  va_start (arguments, format);
  written = vsnprintf (line + length, sizeof line - length - 1, format, arguments);
  va_end (arguments);
  if (written > 0)
    length += (size_t)written;
  if (length > sizeof line - 2)
    length = sizeof line - 2;
  line[length++] = '\n';
  /* One write keeps lines of several processes on one terminal apart. */
  if (write (STDERR_FILENO, line, length) < 0)
    return;
}
