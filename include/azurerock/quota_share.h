#ifndef AZUREROCK_QUOTA_SHARE_H
#define AZUREROCK_QUOTA_SHARE_H

#include <stdint.h>

/** struct az_quota_peer - last report of another entry about one team */
struct az_quota_peer
{
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
 * A claim rises by at most unclaimed / entries per exchange and falls at once, so that the sum
 * of claims exceeds the quota by at most 25% for at most two exchanges.
 */
uint32_t
az_quota_share (uint32_t quota,
                uint32_t claim,
                uint32_t running,
                uint32_t waiting,
                const struct az_quota_peer *peers,
                uint32_t n_peers);

#endif
