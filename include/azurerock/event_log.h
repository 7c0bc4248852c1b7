#ifndef AZUREROCK_EVENT_LOG_H
#define AZUREROCK_EVENT_LOG_H

#include "azurerock/clock.h"
#include <glib.h>
#include <stdint.h>

/*
 * One JSON object per line, for history checking. Every line has "event", "wall_ms" (Unix),
 * "mono_us" (CLOCK_BOOTTIME, comparable between processes of one machine), "instance" and
 * "incarnation" (decimal string). Further fields follow as given.
 */
struct az_event_log;

/**
 * az_event_log_create - opens @path for appending
 * @path: file name, or NULL for a log that discards its events
 *
 * Return: the log, or NULL with @error in the domain G_FILE_ERROR.
 */
struct az_event_log *
az_event_log_create (const char *path,
                     const char *instance,
                     uint64_t incarnation,
                     const struct az_clock *clock,
                     GError **error);
void
az_event_log_destroy (struct az_event_log *log);

/**
 * az_event_log_write - writes one event with one write(2), so that a kill loses no earlier event
 * @event: "submit", "start", "finish", "answer", "refuse", "revision", "publish", "accepted",
 * "stop"
 * @first_key: pairs of key and value strings, ended by NULL; a NULL value leaves the pair out
 */
void
az_event_log_write (struct az_event_log *log, const char *event, const char *first_key, ...)
    G_GNUC_NULL_TERMINATED;

#endif
