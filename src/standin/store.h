#ifndef AZUREROCK_STANDIN_STORE_H
#define AZUREROCK_STANDIN_STORE_H

#include "azurerock/clock.h"
#include "azurerock/http_server.h"
#include "standin/store_faults.h"
#include "standin/store_kv.h"
#include "standin/store_sessions.h"

/* Kinds of requests, as /standin/stats counts them. */
enum az_standin_call
{
  AZ_STANDIN_CALL_GET,
  AZ_STANDIN_CALL_LIST,
  AZ_STANDIN_CALL_WATCH,
  AZ_STANDIN_CALL_PUT,
  AZ_STANDIN_CALL_DELETE,
  AZ_STANDIN_CALL_TXN,
  AZ_STANDIN_CALL_SESSION_CREATE,
  AZ_STANDIN_CALL_SESSION_RENEW,
  AZ_STANDIN_CALL_SESSION_DESTROY,
  AZ_STANDIN_CALL_UNKNOWN,
  AZ_STANDIN_N_CALLS,
};

/** struct az_standin_store - test double of the platform's key-value store (Consul KV protocol) */
struct az_standin_store
{
  uv_loop_t *loop;
  const struct az_clock *clock;
  struct az_http_server *server;
  struct az_standin_kv *kv;
  struct az_standin_sessions *sessions;
  struct az_standin_faults faults;
  GPtrArray *waiting; /* struct az_standin_waiting_request: delayed or blocking requests */
  uint64_t calls[AZ_STANDIN_N_CALLS];
  uint64_t limited;      /* requests above the rate limit */
  uint64_t failed;       /* requests that an outage failed */
  uint64_t lost_answers; /* writes that took effect and whose answer was dropped */
  bool must_drop_answer; /* set while the answer of the present write is still to be dropped */
};

/** az_standin_store_init - initializes @store; the caller sets @store->server */
void
az_standin_store_init (struct az_standin_store *store, uv_loop_t *loop);
void
az_standin_store_clear (struct az_standin_store *store);

/** az_standin_store_handle_request - handles a request of the HTTP server; @context is the store */
void
az_standin_store_handle_request (void *context, const struct az_http_request *request);

/** az_standin_store_handle_disconnect - forgets a waiting request whose client has disconnected */
void
az_standin_store_handle_disconnect (void *context, uint32_t handle);

/** az_standin_store_serve - executes a request of the Consul protocol at once */
void
az_standin_store_serve (struct az_standin_store *store, const struct az_http_request *request);
void
az_standin_store_serve_txn (struct az_standin_store *store, const struct az_http_request *request);
void
az_standin_store_serve_session (struct az_standin_store *store,
                                const struct az_http_request *request);

/** az_standin_store_classify - kind of @request, for statistics and rate limits */
enum az_standin_call
az_standin_store_classify (const struct az_http_request *request);

/** az_standin_store_is_write - whether the rate limit of writes applies to requests of this kind */
bool
az_standin_store_is_write (enum az_standin_call call);

/** az_standin_store_wait - serves a copy of @request after @wait_ms; if @on_change is set, earlier
 * when the keys that it reads change */
void
az_standin_store_wait (struct az_standin_store *store,
                       const struct az_http_request *request,
                       int64_t wait_ms,
                       bool on_change);

/** az_standin_store_has_changed - whether keys of a blocking read changed after its index */
bool
az_standin_store_has_changed (const struct az_standin_store *store,
                              const struct az_http_request *request);

/** az_standin_store_wake - schedules the answers of blocking reads whose keys have changed */
void
az_standin_store_wake (void *context);

/** az_standin_store_fail_waiting - fails all delayed requests and blocking reads */
void
az_standin_store_fail_waiting (struct az_standin_store *store);

/** az_standin_store_fail - closes the connection if the outage is "close", or else answers 500 */
void
az_standin_store_fail (struct az_standin_store *store, uint32_t handle);

/** az_standin_store_answer - answers with @json and releases the reference */
void
az_standin_store_answer (struct az_standin_store *store, uint32_t handle, int status, json_t *json);
void
az_standin_store_answer_text (struct az_standin_store *store,
                              uint32_t handle,
                              int status,
                              const char *text);

/** az_standin_store_inject_lost_answer - call between a KV write that took effect and its answer:
 * drops the answer while lose_write_answers is above 0 */
void
az_standin_store_inject_lost_answer (struct az_standin_store *store);

/** az_standin_entry_print - formats a key with its indexes, and its value if @with_value is set, as
 * in answers of the Consul protocol */
json_t *
az_standin_entry_print (const struct az_standin_entry *entry, bool with_value);

#endif
