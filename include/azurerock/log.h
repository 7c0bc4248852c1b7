#ifndef AZUREROCK_LOG_H
#define AZUREROCK_LOG_H

#include <syslog.h>

/** az_log_open - names the program in each line and sets the least urgent level written
 * @program: string that stays valid for the life of the process
 * @level: LOG_ERR to LOG_DEBUG
 */
void
az_log_open (const char *program, int level);

/** az_log_parse_level - level for "error", "warning", "notice", "info" or "debug"; -1 if unknown */
int
az_log_parse_level (const char *name);

/**
 * az_log_buffer - collects lines for standard output, written by az_log_flush()
 *
 * Lines are "time=... level=... program=... pid=... " and the message, which is a list of
 * key=value pairs. A reader that doesn't keep up loses lines; their number is logged.
 */
void
az_log_buffer (void);

/** az_log_flush - writes what fits without blocking */
void
az_log_flush (void);

/** az_log - writes one line "<priority>time program[pid]: message" to standard error */
void
az_log (int level, const char *format, ...) __attribute__ ((format (printf, 2, 3)));

#endif
