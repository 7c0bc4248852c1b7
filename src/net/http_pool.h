#ifndef AZUREROCK_NET_HTTP_POOL_H
#define AZUREROCK_NET_HTTP_POOL_H

#include "net/http_limits.h"
#include <glib.h>
#include <stdbool.h>

/** enum az_http_phase - what a connection is doing */
enum az_http_phase
{
  AZ_HTTP_NEW,     /* no request has begun yet */
  AZ_HTTP_IDLE,    /* between requests */
  AZ_HTTP_HEAD,    /* the head of a request is incomplete */
  AZ_HTTP_BODY,    /* the body of a request is incomplete */
  AZ_HTTP_RUNNING, /* a complete request is in progress; never cut */
  AZ_HTTP_ANSWER,  /* an answer isn't sent completely */
  AZ_HTTP_CUT,     /* being closed because of a limit */
  AZ_HTTP_N_PHASES,
};

/**
 * struct az_http_holder - a connection as the limits see it
 * @since_ms: start of the present phase
 * @held_since_ms: start of the request or answer that holds @bytes
 */
struct az_http_holder
{
  struct az_http_pool *pool;
  GList link;
  enum az_http_phase phase;
  int64_t since_ms;
  int64_t held_since_ms;
  size_t bytes;
};

/** struct az_http_ledger - bytes that the connections of several pools hold together */
struct az_http_ledger
{
  GPtrArray *pools;
  size_t bytes;
  size_t cut_bytes; /* part of @bytes, held by connections that are being closed */
};

/** Connections of one listener, in the order in which they entered their phases. */
struct az_http_pool;

/**
 * az_http_pool_create - creates an empty pool
 * @ledger: counts the bytes of its connections; must outlive the pool
 */
struct az_http_pool *
az_http_pool_create (struct az_http_ledger *ledger);

/** az_http_pool_destroy - frees the pool, which must be empty */
void
az_http_pool_destroy (struct az_http_pool *pool);
unsigned
az_http_pool_count (const struct az_http_pool *pool);

/** az_http_pool_add - adds a connection in phase AZ_HTTP_NEW */
void
az_http_pool_add (struct az_http_pool *pool, struct az_http_holder *holder, int64_t now_ms);
void
az_http_pool_remove (struct az_http_holder *holder);

/** az_http_pool_update - records the phase and the bytes that the connection holds now */
void
az_http_pool_update (struct az_http_holder *holder,
                     enum az_http_phase phase,
                     size_t bytes,
                     int64_t now_ms);

/** az_http_pool_is_closing - whether a connection is being closed because of a limit */
bool
az_http_pool_is_closing (const struct az_http_pool *pool);

/**
 * az_http_pool_choose_for_room - the connection to close for a new one
 *
 * Return: the oldest one without any request, else the one that is in its phase for longest; NULL
 * if all have requests in progress, or one is being closed already.
 */
struct az_http_holder *
az_http_pool_choose_for_room (const struct az_http_pool *pool);

/** az_http_pool_choose_expired - a connection whose phase takes too long, or NULL
 * @cause: set if there is one */
struct az_http_holder *
az_http_pool_choose_expired (const struct az_http_pool *pool,
                             const struct az_http_limits *limits,
                             int64_t now_ms,
                             enum az_http_cause *cause);

/** az_http_pool_postpone - extends all time limits, after the process was paused */
void
az_http_pool_postpone (struct az_http_pool *pool, int64_t by_ms, int64_t now_ms);

/**
 * az_http_ledger_choose - the connection to close while too many bytes are held
 *
 * Return: the one with the largest product of bytes and time; NULL if no more than @bytes_max are
 * held, or all by requests in progress.
 */
struct az_http_holder *
az_http_ledger_choose (const struct az_http_ledger *ledger, size_t bytes_max, int64_t now_ms);

/** az_http_ledger_process - the ledger of this process */
struct az_http_ledger *
az_http_ledger_process (void);

#endif
