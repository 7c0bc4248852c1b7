#ifndef AZUREROCK_QUOTA_SHARE_H
#define AZUREROCK_QUOTA_SHARE_H

#include <stdbool.h>
#include <stdint.h>

/**
 * struct az_quota_peer - last report received from another entry about one team
 * @has_higher_incarnation: the peer's incarnation is higher than this entry's. Slots that can't be
 *                          divided evenly go to the entries with the lowest incarnations; a caller
 *                          that leaves this false for all peers gets none of them while a peer
 *                          needs one.
 */
struct az_quota_peer
{
  bool has_higher_incarnation;
  uint32_t claim;
  uint32_t running;
  uint32_t waiting;
};

/**
 * az_quota_share - computes this entry's claim, the part of a team's quota that it may use, for the
 * next exchange interval
 * @quota: slots of the team over the whole system
 * @claim: current claim of this entry
 * @running: tasks of the team running through this entry
 * @waiting: tasks of the team waiting at this entry
 * @peers: last reports of the other entries
 * @n_peers: number of other entries in the roster. An entry without a report has claim 0 if it
 *           joined after the last exchange, otherwise its last claim.
 *
 * Per exchange, one claim rises by at most unclaimed / entries (plus one indivisible slot) and all
 * claims together by at most a quarter of the quota. A claim falls immediately. The sum of claims
 * therefore exceeds the quota by at most 25% for at most two exchanges. Quota without demand is
 * divided evenly among the entries, so that new tasks needn't wait for an exchange.
 */
uint32_t
az_quota_share (uint32_t quota,
                uint32_t claim,
                uint32_t running,
                uint32_t waiting,
                const struct az_quota_peer *peers,
                uint32_t n_peers);

#endif
