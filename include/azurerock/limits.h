#ifndef AZUREROCK_LIMITS_H
#define AZUREROCK_LIMITS_H

/* An agent or entry starts no task if the last evidence that its configuration and owner table are
 * the newest is older than this. */
#define AZ_FRESHNESS_LIMIT_MS 2500

/* The wall clocks of two instances may differ by at most this, and so may a wall clock and true
 * time. Operators must keep the clocks within this limit. */
#define AZ_CLOCK_SKEW_MAX_MS 500

/* Exceeds the freshness limit plus twice the clock skew. Every agent therefore has the new owner
 * table or refuses all starts before the new owner accepts ids. */
#define AZ_HANDOVER_MS 4000

/* A new owner answers "outcome unknown" to ids whose time is before the confirmation of its owner
 * table plus AZ_HANDOVER_MS. The confirmation, for which enough entries must report that they have
 * the table, takes up to two peer exchanges. The ids of the new owner therefore begin
 * AZ_HANDOVER_MS plus this margin after the write of the table, so that no caller with a new id
 * gets that answer. */
#define AZ_CONFIRMATION_MARGIN_MS 1000

/* A grant of an agent expires after this time unless it is renewed. */
#define AZ_GRANT_LIFETIME_MS 5000

/* An agent recalls a grant from one entry for the demand of another only if it is at least this
 * old. */
#define AZ_RECALL_MIN_GRANT_AGE_MS 5

/* An agent sends heartbeats at the short interval to its home entry and to entries for which it has
 * run tasks recently, and at the long one to other entries. */
#define AZ_HEARTBEAT_SHORT_INTERVAL_MS 700
#define AZ_HEARTBEAT_LONG_INTERVAL_MS 3000

#define AZ_PEER_EXCHANGE_MS 500
#define AZ_STORE_POLL_WAIT_MS 500

/* The session of an entry in the store ends after this time without a renewal. Other entries take
 * over the ids of a dead owner only after its session has ended. */
#define AZ_OWNER_SESSION_MS 5000
#define AZ_OWNER_SESSION_RENEW_MS 1000

/* Maximum memory that an entry uses for the answers that it keeps. */
#define AZ_ANSWER_BYTES_MAX 16777216

/* Maximum memory that an agent uses for task records, and the time for which it keeps them. */
#define AZ_RECORD_BYTES_MAX 8388608
#define AZ_RECORD_RETENTION_MS 30000

/* An entry sends DEMAND to at most this many agents of an upstream. */
#define AZ_DEMAND_SAMPLE_AGENTS 16

#define AZ_REQUEST_BODY_MAX 4194304

#endif
