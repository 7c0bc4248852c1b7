#ifndef AZUREROCK_NET_RPC_BUDGET_H
#define AZUREROCK_NET_RPC_BUDGET_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Bytes that the connections of an RPC endpoint hold: records that are incomplete and messages that
 * aren't sent. Decides which connection to close and which ones to read from. */

/**
 * struct az_rpc_flow - what a connection holds in one direction
 * @moved: bytes that were read or written since the last judgement
 * @held_before: value of @held at the last judgement
 * @is_stalled: much was held at the last two judgements, and little was moved in between
 */
struct az_rpc_flow
{
  size_t held;
  size_t moved;
  size_t held_before;
  bool is_stalled;
};

/**
 * struct az_rpc_holder - a connection as the budget sees it
 * @is_known: the peer has identified itself, or this process has connected to it
 * @is_waiting: isn't read from while the budget is exceeded
 * @is_cut: is being closed because of a limit
 */
struct az_rpc_holder
{
  GList link;
  struct az_rpc_flow in;
  struct az_rpc_flow out;
  bool is_known;
  bool is_waiting;
  bool is_cut;
};

/** struct az_rpc_budget - connections of an endpoint with what they hold together */
struct az_rpc_budget
{
  GQueue holders;
  size_t bytes_max;
  size_t in;
  size_t out;
  int64_t judged_ms;
};

void
az_rpc_budget_add (struct az_rpc_budget *budget, struct az_rpc_holder *holder);
void
az_rpc_budget_remove (struct az_rpc_budget *budget, struct az_rpc_holder *holder);

/** az_rpc_budget_update - records what a connection holds now, in bytes */
void
az_rpc_budget_update (struct az_rpc_budget *budget,
                      struct az_rpc_holder *holder,
                      size_t in,
                      size_t out);

/** az_rpc_budget_judge - finds the stalled connections; to be called at least twice a second, after
 * the loop has polled for I/O */
void
az_rpc_budget_judge (struct az_rpc_budget *budget, int64_t now_ms);

bool
az_rpc_budget_is_exceeded (const struct az_rpc_budget *budget);

/**
 * az_rpc_budget_choose - the connection to close, NULL while there is no reason to close one
 *
 * Return: while the budget is exceeded, the connection that holds most among those whose peer is
 * unknown, unless that is less than 64 KiB; else among the stalled ones. If unsent messages alone
 * exceed it, the one with most of them.
 */
struct az_rpc_holder *
az_rpc_budget_choose (const struct az_rpc_budget *budget);

/** az_rpc_budget_is_in_turn - whether the budget is exceeded, and this is the known peer whose
 * incomplete record has most bytes */
bool
az_rpc_budget_is_in_turn (const struct az_rpc_budget *budget, const struct az_rpc_holder *holder);

/**
 * az_rpc_budget_may_read - whether more may be read from a connection
 *
 * While the budget is exceeded, the connections that hold less than an equal share of half of it
 * are read from, and the one that is in turn.
 */
bool
az_rpc_budget_may_read (const struct az_rpc_budget *budget, const struct az_rpc_holder *holder);

#endif
