#ifndef AZUREROCK_GATEWAY_INTERFERENCE_H
#define AZUREROCK_GATEWAY_INTERFERENCE_H

#include "dispatch/interference_decision.h"
#include "gateway/state.h"

/* Which queues of a service slow each other down, by the evidence that sidecars send. */

/** struct az_interfering_pair - tasks of queue @slowed take longer beside tasks of queue @beside,
 * or may do so */
struct az_interfering_pair
{
  char *service;
  char *slowed;
  char *beside;
  unsigned n_rows; /* rows of evidence that refer to it */
  struct az_effect_sum sum;
  struct az_interference_decision decision;
};

void
az_gateway_open_interference (struct az_gateway *gateway);
void
az_gateway_close_interference (struct az_gateway *gateway);

/** az_gateway_handle_interference - replaces the evidence of the upstream; a malformed message is
 * counted and ignored */
void
az_gateway_handle_interference (struct az_gateway *gateway,
                                struct upstream *upstream,
                                const struct az_node_interference *message);

/** az_gateway_forget_interference - drops the evidence of the upstream; call when its incarnation
 * ends, or that of its sidecar */
void
az_gateway_forget_interference (struct upstream *upstream);

/** az_gateway_update_interference - decides again for each pair, once a second */
void
az_gateway_update_interference (struct az_gateway *gateway);

/** az_gateway_list_interfering - lists the pairs that count as interfering, struct
 * az_interfering_pair *, in no order; valid until the next update */
GPtrArray *
az_gateway_list_interfering (const struct az_gateway *gateway);

#endif
