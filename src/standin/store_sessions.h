#ifndef AZUREROCK_STANDIN_STORE_SESSIONS_H
#define AZUREROCK_STANDIN_STORE_SESSIONS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

/* Sessions (leases) of the stand-in store. */
struct az_standin_sessions;

/**
 * az_standin_sessions_create - no sessions yet
 * @lapsed: called when a session ends by its TTL or by request
 */
struct az_standin_sessions *
az_standin_sessions_create (uv_loop_t *loop,
                            void (*lapsed) (void *context, const char *id),
                            void *context);

/** az_standin_sessions_destroy - frees all when their timers have closed */
void
az_standin_sessions_destroy (struct az_standin_sessions *sessions);

/** az_standin_sessions_add - id of a new session, valid while it lives */
const char *
az_standin_sessions_add (struct az_standin_sessions *sessions, int64_t ttl_ms);
bool
az_standin_sessions_has (const struct az_standin_sessions *sessions, const char *id);

/** az_standin_sessions_renew - restarts the TTL; false if there is no such session */
bool
az_standin_sessions_renew (struct az_standin_sessions *sessions, const char *id);

/** az_standin_sessions_pause - no session lapses while paused; each has its whole TTL afterwards,
 * as after an election in the published service */
void
az_standin_sessions_pause (struct az_standin_sessions *sessions, bool paused);
void
az_standin_sessions_remove (struct az_standin_sessions *sessions, const char *id);

#endif
