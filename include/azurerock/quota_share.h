#ifndef AZUREROCK_QUOTA_SHARE_H
#define AZUREROCK_QUOTA_SHARE_H

#include <stdbool.h>
#include <stdint.h>

/**
 * struct az_quota_peer - last report of another entry about one team
 * @is_after: the peer's incarnation is higher than this entry's. Slots that can't be divided
 *            evenly go to the entries with the lowest incarnations; a caller that leaves this
 *            false takes none of them while a peer needs one.
 */
struct az_quota_peer
{
  bool is_after;
  uint32_t claim;
  uint32_t running;
  uint32_t waiting;
};

/**
 * az_quota_share - this entry's claim on a team's quota for the next exchange interval
 * @quota: slots of the team over the whole system
 * @claim: present claim of this entry
 * @running: tasks of the team running through this entry
 * @waiting: tasks of the team waiting at this entry
 * @peers: last reports of the other entries
 * @n_peers: number of other entries in the roster; those without a report count with claim 0
 *           only if they joined after the last exchange, otherwise with their last claim
 *
 * A claim rises by at most unclaimed / entries per exchange (and one indivisible slot), all
 * claims together by at most a quarter of the quota, and falls at once, so that the sum of claims
 * exceeds the quota by at most 25% for at most two exchanges. Quota that no entry needs is spread
 * evenly, so that new tasks need not wait for an exchange.
 */
uint32_t
az_quota_share (uint32_t quota,
                uint32_t claim,
                uint32_t running,
                uint32_t waiting,
                const struct az_quota_peer *peers,
                uint32_t n_peers);

#endif
