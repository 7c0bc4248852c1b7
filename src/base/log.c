#include "azurerock/log.h"
#include <poll.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#define LINE_MAX_BYTES 2048
#define BUFFER_BYTES 65536

/* A pipe that poll() reports as writable takes this many bytes without blocking. */
#define PIPE_WRITE_BYTES 4096

static const char *program_name = "azurerock";
static int least_urgent_level = LOG_INFO;
static bool is_buffered;
static char buffer[BUFFER_BYTES];
static size_t buffered_bytes;
static unsigned long n_dropped_lines;

static const struct
{
  const char *name;
  int level;
} levels[] = {
  { "error", LOG_ERR }, { "warning", LOG_WARNING }, { "notice", LOG_NOTICE },
  { "info", LOG_INFO }, { "debug", LOG_DEBUG },
};

void
az_log_init (const char *program, int level)
{
  program_name = program;
  least_urgent_level = level;
}

void
az_log_enable_buffering (void)
{
  is_buffered = true;
}

int
az_log_parse_level (const char *name)
{
  for (size_t i = 0; i < sizeof levels / sizeof levels[0]; i++)
    if (!strcmp (name, levels[i].name))
      return levels[i].level;
  return -1;
}

static const char *
level_name (int level)
{
  for (size_t i = 0; i < sizeof levels / sizeof levels[0]; i++)
    if (levels[i].level == level)
      return levels[i].name;
  return "other";
}

static size_t
format_prefix (char *line, size_t size, int level)
{
  struct timespec now;
  struct tm utc;
  char time_text[32];
  long ms;

  clock_gettime (CLOCK_REALTIME, &now);
  ms = now.tv_nsec / 1000000;
  gmtime_r (&now.tv_sec, &utc);
  strftime (time_text, sizeof time_text, "%Y-%m-%dT%H:%M:%S", &utc);
  if (is_buffered)
    return (size_t)snprintf (line, size, "time=%s.%03ldZ level=%s program=%s pid=%ld ", time_text,
                             ms, level_name (level), program_name, (long)getpid ());
  return (size_t)snprintf (line, size, "<%d>%s.%03ldZ %s[%ld]: ", LOG_DAEMON | level, time_text, ms,
                           program_name, (long)getpid ());
}

static void
append_line (const char *line, size_t length)
{
  if (buffered_bytes + length > sizeof buffer)
    az_log_flush ();
  if (buffered_bytes + length > sizeof buffer)
    {
      n_dropped_lines++;
      return;
    }
  memcpy (buffer + buffered_bytes, line, length);
  buffered_bytes += length;
}

static void
log_dropped_lines (void)
{
  unsigned long dropped = n_dropped_lines;

  if (dropped == 0 || buffered_bytes + LINE_MAX_BYTES > sizeof buffer)
    return;
  n_dropped_lines = 0;
  az_log (LOG_WARNING, "event=log-lines-dropped count=%lu reason=\"stdout reader is too slow\"",
          dropped);
}

/* Returns the number of bytes that one write takes without blocking, rounded down to whole lines. A
 * line that is longer than one such write is split. */
static size_t
compute_write_bytes (void)
{
  size_t bytes = buffered_bytes < PIPE_WRITE_BYTES ? buffered_bytes : PIPE_WRITE_BYTES;
  const char *end;

  if (bytes == buffered_bytes)
    return bytes;
  end = memrchr (buffer, '\n', bytes);
  return end ? (size_t)(end - buffer) + 1 : bytes;
}

void
az_log_flush (void)
{
  struct pollfd output = { .fd = STDOUT_FILENO, .events = POLLOUT };

  while (buffered_bytes > 0 && poll (&output, 1, 0) == 1 && (output.revents & POLLOUT))
    {
      ssize_t written = write (STDOUT_FILENO, buffer, compute_write_bytes ());

      if (written <= 0)
        break;
      buffered_bytes -= (size_t)written;
      memmove (buffer, buffer + written, buffered_bytes);
    }
  if (output.revents & (POLLERR | POLLNVAL))
    buffered_bytes = 0;
  log_dropped_lines ();
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
  if (is_buffered)
    {
      append_line (line, length);
      return;
    }
  /* A single write keeps the lines of processes that share a terminal from mixing. */
  if (write (STDERR_FILENO, line, length) < 0)
    return;
}
