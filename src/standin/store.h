#ifndef AZUREROCK_STANDIN_STORE_H
#define AZUREROCK_STANDIN_STORE_H

#include "azurerock/clock.h"
#include "azurerock/http_server.h"
#include "standin/store_faults.h"
#include "standin/store_kv.h"
#include "standin/store_sessions.h"

/* Kinds of calls that /standin/stats counts. */
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
  AZ_STANDIN_CALLS,
};

/** struct az_standin_store - state of the stand-in store */
struct az_standin_store
{
  uv_loop_t *loop;
  const struct az_clock *clock;
  struct az_http_server *server;
  struct az_standin_kv *kv;
  struct az_standin_sessions *sessions;
  struct az_standin_faults faults;
  GPtrArray *waiting; /* struct az_standin_waiting: delayed requests and blocking reads */
  uint64_t calls[AZ_STANDIN_CALLS];
  uint64_t limited;
  uint64_t failed;
  uint64_t lost_answers;
  bool answer_lost; /* the request at hand is a write whose answer is to be lost */
};

/** az_standin_store_init - creates the parts of @store except its server */
void
az_standin_store_init (struct az_standin_store *store, uv_loop_t *loop);
void
az_standin_store_clear (struct az_standin_store *store);

/** az_standin_store_request - takes one request: counts, fails, delays or serves it */
void
az_standin_store_request (void *context, const struct az_http_request *request);
void
az_standin_store_gone (void *context, uint32_t handle);

/** az_standin_store_serve - executes a request of the KV protocol now */
void
az_standin_store_serve (struct az_standin_store *store, const struct az_http_request *request);
void
az_standin_store_serve_txn (struct az_standin_store *store, const struct az_http_request *request);
void
az_standin_store_serve_session (struct az_standin_store *store,
                                const struct az_http_request *request);

/** az_standin_store_classify - kind of a call for statistics and limits */
enum az_standin_call
az_standin_store_classify (const struct az_http_request *request);

/** az_standin_store_is_write - whether calls of this kind count against the limit of writes */
bool
az_standin_store_is_write (enum az_standin_call call);

/** az_standin_store_wait - keeps a request and serves it after @ms, or when the keys change if
 * @on_change */
void
az_standin_store_wait (struct az_standin_store *store,
                       const struct az_http_request *request,
                       int64_t ms,
                       bool on_change);

/** az_standin_store_has_changed - whether the keys of a blocking read changed since its index */
bool
az_standin_store_has_changed (const struct az_standin_store *store,
                              const struct az_http_request *request);

/** az_standin_store_wake - serves the blocking reads whose keys have changed */
void
az_standin_store_wake (void *context);

/** az_standin_store_drop_waiting - fails everything that waits */
void
az_standin_store_drop_waiting (struct az_standin_store *store);

/** az_standin_store_fail - answers as the present outage demands */
void
az_standin_store_fail (struct az_standin_store *store, uint32_t handle);

/** az_standin_store_answer - answers with @json, which it releases */
void
az_standin_store_answer (struct az_standin_store *store, uint32_t handle, int status, json_t *json);
void
az_standin_store_answer_text (struct az_standin_store *store,
                              uint32_t handle,
                              int status,
                              const char *text);

/** az_standin_store_written - notes that a KV write took effect */
void
az_standin_store_written (struct az_standin_store *store);

/** az_standin_entry_print - an entry as the KV protocol shows it */
json_t *
az_standin_entry_print (const struct az_standin_entry *entry, bool with_value);

#endif
