#ifndef AZUREROCK_LOG_H
#define AZUREROCK_LOG_H

#include <syslog.h>

/** az_log_init - sets the program name and the least urgent level that is logged
 * @program: string that stays valid for the life of the process
 * @level: LOG_ERR to LOG_DEBUG
 */
void
az_log_init (const char *program, int level);

/** az_log_parse_level - syslog level of "error", "warning", "notice", "info" or "debug", or -1 */
int
az_log_parse_level (const char *name);

/**
 * az_log_enable_buffering - buffers lines for standard output until az_log_flush() writes them
 *
 * A line is "time=... level=... program=... pid=... " and the message, a list of key=value pairs.
 * If the reader of standard output is too slow, lines are dropped and their number is logged.
 */
void
az_log_enable_buffering (void);

/** az_log_flush - writes as many buffered lines as possible without blocking */
void
az_log_flush (void);

/** az_log - writes one line "<priority>time program[pid]: message" to standard error, or buffers it
 * after az_log_enable_buffering() */
void
az_log (int level, const char *format, ...) __attribute__ ((format (printf, 2, 3)));

#endif
