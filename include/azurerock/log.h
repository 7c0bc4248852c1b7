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

/** az_log - writes one line "<priority>time program[pid]: message" to standard error */
void
az_log (int level, const char *format, ...) __attribute__ ((format (printf, 2, 3)));

#endif
