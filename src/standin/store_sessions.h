#ifndef AZUREROCK_STANDIN_STORE_SESSIONS_H
#define AZUREROCK_STANDIN_STORE_SESSIONS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

/** struct az_standin_sessions - sessions of the stand-in store, which are leases with a TTL */
struct az_standin_sessions;

/**
 * az_standin_sessions_create - creates an empty set of sessions
 * @on_ended: called when a session expires or is destroyed by a request
 */
struct az_standin_sessions *
az_standin_sessions_create (uv_loop_t *loop,
                            void (*on_ended) (void *context, const char *id),
                            void *context);

/** az_standin_sessions_destroy - ends all sessions without a call of @on_ended; run the loop until
 * their timers have closed */
void
az_standin_sessions_destroy (struct az_standin_sessions *sessions);

/** az_standin_sessions_add - creates a session; its id is valid until the session ends */
const char *
az_standin_sessions_add (struct az_standin_sessions *sessions, int64_t ttl_ms);
bool
az_standin_sessions_has (const struct az_standin_sessions *sessions, const char *id);

/** az_standin_sessions_renew - restarts the TTL; false if there is no such session */
bool
az_standin_sessions_renew (struct az_standin_sessions *sessions, const char *id);

/** az_standin_sessions_set_paused - stops or resumes expiry; each session gets its whole TTL on
 * resumption, as after a leader election in Consul */
void
az_standin_sessions_set_paused (struct az_standin_sessions *sessions, bool paused);
void
az_standin_sessions_remove (struct az_standin_sessions *sessions, const char *id);

#endif
