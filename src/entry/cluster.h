#ifndef AZUREROCK_ENTRY_CLUSTER_H
#define AZUREROCK_ENTRY_CLUSTER_H

#include "entry/board.h"

/* Configuration, owner table, peers and evidence of freshness. */

/** az_entry_adopt_configuration - puts a newer revision in force
 *
 * Return: whether @document is a valid configuration; an older one changes nothing.
 */
bool
az_entry_adopt_configuration (struct az_entry_board *board, const char *document, size_t length);

/** az_entry_apply_configuration - fills services, upstreams and teams from the revision */
void
az_entry_apply_configuration (struct az_entry_board *board);

/** az_entry_adopt_table - puts a newer owner table in force; copies @table */
void
az_entry_adopt_table (struct az_entry_board *board, const struct az_table *table);

/** az_entry_changed - tells agents and peers after a newer revision or table */
void
az_entry_changed (struct az_entry_board *board);

/** az_entry_owner_of - incarnation that owns @id, the present owner if the interval's is gone */
uint64_t
az_entry_owner_of (const struct az_entry_board *board, const char *id);

/** az_entry_owns_partitions - whether a member is owner of any partition */
bool
az_entry_owns_partitions (const struct az_entry_board *board, uint64_t incarnation);

/** az_entry_has_reported - whether a member has, or had, this table version or a later one */
bool
az_entry_has_reported (const struct az_entry_board *board, uint64_t incarnation, uint64_t version);

/** az_entry_note_ownership - after a newer table; @former_owner: in the version just before it, 0
 * if that is not known */
void
az_entry_note_ownership (struct az_entry_board *board, uint32_t partition, uint64_t former_owner);

/** az_entry_knows - whether an id of that time without a record has certainly not run */
bool
az_entry_knows (const struct az_entry_owned *owned, int64_t id_time_ms);

/** az_entry_knows_until - whether knowledge of its former intervals goes on to @until_ms */
bool
az_entry_knows_until (const struct az_entry_board *board, uint32_t partition, uint64_t until_ms);

/** az_entry_extend_knowledge - over intervals of other owners that have surely run nothing */
void
az_entry_extend_knowledge (struct az_entry_board *board);

/** az_entry_confirm - notes whether the table version is confirmed, and sets horizons */
void
az_entry_confirm (struct az_entry_board *board);

/** az_entry_evidence_update - after a store read, a reply of a peer or a change of state */
void
az_entry_evidence_update (struct az_entry_board *board);

/** az_entry_evidence_age_ms - G_MAXUINT32 if there is no evidence */
uint32_t
az_entry_evidence_age_ms (const struct az_entry_board *board);
bool
az_entry_is_fresh (const struct az_entry_board *board);

/** az_entry_check_restored - a restarted entry has its state when a majority of others has acked */
void
az_entry_check_restored (struct az_entry_board *board);

void
az_entry_store_read (struct az_entry_board *board, const struct az_store_reading *reading);

/** az_entry_roster_tick - writes the next owner table if one is due */
void
az_entry_roster_tick (struct az_entry_board *board);
void
az_entry_table_written (struct az_entry_board *board, enum az_table_write result);

/** az_entry_has_live_peer - whether another member of the roster is live */
bool
az_entry_has_live_peer (const struct az_entry_board *board);

/** az_entry_is_live - whether the member's session exists or may still */
bool
az_entry_is_live (const struct az_entry_board *board, uint64_t incarnation);

/* Plans of the next owner table: each changes @table and returns whether it did. */
bool
az_entry_plan_join (const struct az_entry_board *board, struct az_table *table);
bool
az_entry_plan_takeover (const struct az_entry_board *board, struct az_table *table);
bool
az_entry_plan_removal (const struct az_entry_board *board, struct az_table *table);
bool
az_entry_plan_share (const struct az_entry_board *board, struct az_table *table);
bool
az_entry_plan_stop (const struct az_entry_board *board, struct az_table *table);

/** az_entry_plan_replace - takes the place of the member with this entry's instance name */
bool
az_entry_plan_replace (const struct az_entry_board *board, struct az_table *table);

/** az_entry_plan_move - gives a partition to @owner from a time that every agent will know */
void
az_entry_plan_move (const struct az_entry_board *board,
                    struct az_partition *partition,
                    uint64_t owner);

/** az_entry_peers_update - one peer for each other member of the roster */
void
az_entry_peers_update (struct az_entry_board *board);
const char *
az_entry_received_peer_hello (struct az_entry_board *board,
                              uint32_t connection,
                              const struct az_peer_hello *hello);
void
az_entry_peer_opened (struct az_entry_board *board, uint32_t connection);
void
az_entry_peer_closed (struct az_entry_board *board, uint32_t peer, uint32_t connection);
void
az_entry_peer_unreachable (struct az_entry_board *board, const char *address);

/** az_entry_peers_tick - connections and the regular exchange */
void
az_entry_peers_tick (struct az_entry_board *board);
void
az_entry_received_peer_state (struct az_entry_board *board,
                              struct az_entry_peer *peer,
                              const struct az_peer_state *state);
void
az_entry_received_peer_state_ack (struct az_entry_board *board,
                                  struct az_entry_peer *peer,
                                  const struct az_peer_state_ack *ack);
void
az_entry_received_config (struct az_entry_board *board, const struct az_config *config);

/** az_entry_config_send - sends configuration and table to a peer that has older ones */
void
az_entry_config_send (struct az_entry_board *board, struct az_entry_peer *peer);

/** az_entry_peer_find - the peer of @incarnation, or NULL */
struct az_entry_peer *
az_entry_peer_find (const struct az_entry_board *board, uint64_t incarnation);

/**
 * az_entry_quota_update - turns the reports of peers into claims and slot limits of the teams
 * @is_exchange: whether an exchange interval has passed; a claim rises only then
 */
void
az_entry_quota_update (struct az_entry_board *board, bool is_exchange);
void
az_entry_quota_received (struct az_entry_board *board,
                         struct az_entry_peer *peer,
                         const struct az_peer_state *state);

#endif
