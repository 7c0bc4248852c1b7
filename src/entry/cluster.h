#ifndef AZUREROCK_ENTRY_CLUSTER_H
#define AZUREROCK_ENTRY_CLUSTER_H

#include "entry/state.h"

/*
 * Configuration, owner table, peers and evidence of freshness.
 *
 * The owner table divides job ids into partitions. For each partition it names the owner, the start
 * of the owner's interval and the previous owner. An id carries its creation time: the owner serves
 * the ids whose time is in its interval, which lasts until the interval of the next owner starts,
 * and the previous owner serves older ids. A table version is confirmed when enough members of the
 * roster have reported it (see ownership.c).
 */

/** az_entry_adopt_configuration - applies the document if its revision is newer
 *
 * Return: whether @document is a valid configuration, also if it is too old to be applied.
 */
bool
az_entry_adopt_configuration (struct az_entry_state *state, const char *document, size_t length);

/** az_entry_apply_configuration - sets services, upstreams and teams from the current revision */
void
az_entry_apply_configuration (struct az_entry_state *state);

/** az_entry_adopt_table - replaces an older owner table by a copy of @table */
void
az_entry_adopt_table (struct az_entry_state *state, const struct az_table *table);

/** az_entry_notify_state_change - sends the new revision or owner table to agents and peers */
void
az_entry_notify_state_change (struct az_entry_state *state);

/** az_entry_owner_of - returns the owner that serves @id by its time, or the present owner of the
 * partition if that entry has left the roster */
uint64_t
az_entry_owner_of (const struct az_entry_state *state, const char *id);

/** az_entry_owns_partitions - whether the member owns any partition */
bool
az_entry_owns_partitions (const struct az_entry_state *state, uint64_t incarnation);

/** az_entry_has_reported_version - whether the member has reported @version or a later one */
bool
az_entry_has_reported_version (const struct az_entry_state *state,
                               uint64_t incarnation,
                               uint64_t version);

/**
 * az_entry_update_ownership - updates the id ranges of a partition after a newer table
 * @former_owner: owner in the table version directly before, 0 if that version is not known
 */
void
az_entry_update_ownership (struct az_entry_state *state, uint32_t partition, uint64_t former_owner);

/** az_entry_has_complete_records - whether an id with the time @id_time_ms and without a record has
 * certainly not run */
bool
az_entry_has_complete_records (const struct az_entry_owned *owned, int64_t id_time_ms);

/** az_entry_has_complete_records_until - whether the range of complete records of this entry's
 * former intervals ends at @until_ms */
bool
az_entry_has_complete_records_until (const struct az_entry_state *state,
                                     uint32_t partition,
                                     uint64_t until_ms);

/** az_entry_extend_complete_range - extends the range of complete records by intervals in which
 * other owners have run nothing */
void
az_entry_extend_complete_range (struct az_entry_state *state);

/** az_entry_update_confirmation - confirms the table if enough members have reported it, and sets
 * the horizons (see struct az_entry_owned) */
void
az_entry_update_confirmation (struct az_entry_state *state);

/** az_entry_evidence_update - computes the evidence of freshness again; call after a store read, a
 * reply of a peer or a change of state */
void
az_entry_evidence_update (struct az_entry_state *state);

/** az_entry_evidence_age_ms - age of the evidence of freshness, G_MAXUINT32 without evidence */
uint32_t
az_entry_evidence_age_ms (const struct az_entry_state *state);
bool
az_entry_is_fresh (const struct az_entry_state *state);

/** az_entry_check_restored - marks this entry as restored (it has its state again and counts
 * towards majorities) once enough other members to form a majority of the roster without it have
 * acknowledged its state and no peer is known to have a newer one */
void
az_entry_check_restored (struct az_entry_state *state);

void
az_entry_store_read (struct az_entry_state *state, const struct az_store_reading *reading);

/** az_entry_roster_tick - writes the next owner table to the store if a change is due */
void
az_entry_roster_tick (struct az_entry_state *state);
void
az_entry_table_written (struct az_entry_state *state, enum az_table_write result);

/** az_entry_has_live_peer - whether another member of the roster is live */
bool
az_entry_has_live_peer (const struct az_entry_state *state);

/** az_entry_is_live - whether the member's session exists or may still exist */
bool
az_entry_is_live (const struct az_entry_state *state, uint64_t incarnation);

/* Each of these plans one kind of change in @table and returns whether it changed anything. */
bool
az_entry_plan_join (const struct az_entry_state *state, struct az_table *table);
bool
az_entry_plan_takeover (const struct az_entry_state *state, struct az_table *table);
bool
az_entry_plan_removal (const struct az_entry_state *state, struct az_table *table);
bool
az_entry_plan_rebalance (const struct az_entry_state *state, struct az_table *table);
bool
az_entry_plan_stop (const struct az_entry_state *state, struct az_table *table);

/** az_entry_plan_replace - puts this entry in the place of an earlier incarnation of its instance
 * in the roster of @table, the table that is being planned, and moves the partitions of that
 * incarnation to it; returns false if the roster has none */
bool
az_entry_plan_replace (const struct az_entry_state *state, struct az_table *table);

/** az_entry_plan_move - assigns a partition to @owner from a time by which every agent knows the
 * new owner or refuses all starts */
void
az_entry_plan_move (const struct az_entry_state *state,
                    struct az_partition *partition,
                    uint64_t owner);

/** az_entry_peers_update - adds and removes peers to match the roster */
void
az_entry_peers_update (struct az_entry_state *state);
const char *
az_entry_handle_peer_hello (struct az_entry_state *state,
                            uint32_t connection,
                            const struct az_peer_hello *hello);
void
az_entry_peer_opened (struct az_entry_state *state, uint32_t connection);
void
az_entry_peer_closed (struct az_entry_state *state, uint32_t peer, uint32_t connection);
void
az_entry_peer_unreachable (struct az_entry_state *state, const char *address);

/** az_entry_peers_tick - connects to peers, and sends each connected one a PEER_STATE at each
 * exchange interval */
void
az_entry_peers_tick (struct az_entry_state *state);
void
az_entry_handle_peer_state (struct az_entry_state *state,
                            struct az_entry_peer *peer,
                            const struct az_peer_state *peer_state);
void
az_entry_handle_peer_state_ack (struct az_entry_state *state,
                                struct az_entry_peer *peer,
                                const struct az_peer_state_ack *ack);
void
az_entry_handle_config (struct az_entry_state *state, const struct az_config *config);

/** az_entry_config_send - sends configuration and table to a peer that has older ones */
void
az_entry_config_send (struct az_entry_state *state, struct az_entry_peer *peer);

/** az_entry_peer_find - the peer of @incarnation, or NULL */
struct az_entry_peer *
az_entry_peer_find (const struct az_entry_state *state, uint64_t incarnation);

/**
 * az_entry_quota_update - updates claims and slot limits of the teams from the reports of peers
 * @is_exchange: whether an exchange interval has passed; a claim can rise only then
 */
void
az_entry_quota_update (struct az_entry_state *state, bool is_exchange);
void
az_entry_quota_received (struct az_entry_state *state,
                         struct az_entry_peer *peer,
                         const struct az_peer_state *peer_state);

#endif
