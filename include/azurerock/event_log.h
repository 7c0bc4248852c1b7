#ifndef AZUREROCK_EVENT_LOG_H
#define AZUREROCK_EVENT_LOG_H

#include "azurerock/clock.h"
#include <glib.h>
#include <stdint.h>

/*
 * Log of protocol events that the tests' history checker reads. Each line is a JSON object with
 * "event", "wall_ms" (Unix time), "mono_us" (CLOCK_BOOTTIME, comparable between processes of one
 * machine), "instance", "incarnation" (decimal string) and the fields given by the caller.
 */
struct az_event_log;

/**
 * az_event_log_create - opens @path for appending
 * @path: file name, or NULL to discard all events
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
 * az_event_log_write - writes one event with one write(2), so that no earlier event is lost when
 * the process is killed
 * @event: "submit", "start", "finish", "answer", "refuse", "revision", "publish", "accepted",
 * "stop"
 * @first_key: first of a NULL-terminated list of key and value strings; a pair whose value is NULL
 * is omitted
 */
void
az_event_log_write (struct az_event_log *log, const char *event, const char *first_key, ...)
    G_GNUC_NULL_TERMINATED;

#endif
