#ifndef AZUREROCK_TESTS_ENTRY_FIXTURE_H
#define AZUREROCK_TESTS_ENTRY_FIXTURE_H

#include "azurerock/configuration.h"
#include "azurerock/entry_core.h"

/*
 * Runs an entry core on a simulated clock. Messages and answers of the core are recorded. The test
 * acts as the agents, the peers, the callers and the store.
 */
#define TEST_WALL_MS 1796361241000LL
#define TEST_SELF 500
#define TEST_PEER 900
#define TEST_OTHER 901

struct test_answer
{
  uint32_t request;
  bool pending;
  az_outcome outcome;
  char *code;
  uint32_t n_results;
  char *first_result;
};

struct test_sent
{
  uint32_t connection;
  struct az_message message; /* deep copy, encoded and decoded by XDR */
};

struct test_entry
{
  int64_t now_ns;
  int64_t wall_offset_ms;
  struct az_clock clock;
  GRand *random;
  struct az_counters *counters;
  struct az_entry_core *core;
  GPtrArray *sent;    /* struct test_sent */
  GPtrArray *answers; /* struct test_answer */
  GPtrArray *connect_addresses;
  bool has_written_table;
  struct az_table written;
  uint64_t written_index;
  uint64_t store_index;
  uint64_t revision;
};

struct test_entry *
test_entry_create (void);
struct test_entry *
test_entry_create_with (const struct az_entry_settings *settings);
void
test_entry_destroy (struct test_entry *entry);

/** test_entry_advance - advances the clock in steps of 10 ms and calls the tick after each */
void
test_entry_advance (struct test_entry *entry, int64_t ms);

/** test_entry_configure - hands the core the result of a store read that contains a configuration
 * with a new revision; fields of 0 mean a default */
struct test_configuration
{
  bool withdrawn; /* takes domain "a" out of service */
  uint32_t quota;
  uint32_t max_queued;
  int64_t retention_ms;
  int64_t deadline_ms;
};
void
test_entry_configure (struct test_entry *entry, const struct test_configuration *fields);
char *
test_entry_document (uint64_t revision, const struct test_configuration *fields);

/** test_entry_read - passes a store read with unchanged configuration and owner table */
void
test_entry_read (struct test_entry *entry, const uint64_t *sessions, size_t n_sessions);

/** test_entry_read_table - passes a store read with @table as the new owner table */
void
test_entry_read_table (struct test_entry *entry,
                       const struct az_table *table,
                       const uint64_t *sessions,
                       size_t n_sessions);

/** test_entry_commit - completes the table write that the core requested, and a read of it */
void
test_entry_commit (struct test_entry *entry, const uint64_t *sessions, size_t n_sessions);

/** test_entry_start - creates an entry with the first owner table and revision 1 */
struct test_entry *
test_entry_start (void);

/** test_entry_connect_agent - connects an agent in domain "a" with 4 slots and as many grants */
void
test_entry_connect_agent (struct test_entry *entry,
                          uint32_t connection,
                          uint64_t incarnation,
                          const char *instance);
void
test_entry_connect_agent_for (struct test_entry *entry,
                              uint32_t connection,
                              uint64_t incarnation,
                              const char *instance,
                              const char *upstream);
void
test_entry_grant (struct test_entry *entry, uint32_t connection, uint64_t first_id, uint32_t count);

/**
 * test_entry_table - fills an owner table
 * @n: number of members, of TEST_SELF, TEST_PEER and TEST_OTHER
 * @owner: owner of all partitions; 0 divides them among the members
 */
void
test_entry_table (struct az_table *table, uint64_t version, uint32_t n, uint64_t owner);

/** test_entry_connect_peer - connects a peer, which identifies itself with PEER_HELLO */
void
test_entry_connect_peer (struct test_entry *entry, uint32_t connection, uint64_t incarnation);

/** test_entry_peer_ack - sends the core a PEER_STATE_ACK for the PEER_STATE that it sent at the
 * present time of the clock */
void
test_entry_peer_ack (struct test_entry *entry,
                     uint32_t connection,
                     uint64_t revision,
                     uint64_t table_version,
                     bool restored);

/** test_entry_id - returns a job id of the given age, valid until the next call */
const char *
test_entry_id (const struct test_entry *entry, int64_t age_ms, const char *token);
void
test_entry_submit (struct test_entry *entry, uint32_t request, const char *id, uint32_t n_tasks);

/** test_entry_submit_attempt - submits a job of one task with the caller's attempt number */
void
test_entry_submit_attempt (struct test_entry *entry,
                           uint32_t request,
                           const char *id,
                           uint32_t attempt);
void
test_entry_submit_first (struct test_entry *entry,
                         uint32_t request,
                         const char *id,
                         uint32_t n_tasks);

/** test_entry_count - counts messages of a kind since the last test_entry_clear_sent() */
uint32_t
test_entry_count (const struct test_entry *entry, az_proc proc);
const struct test_sent *
test_entry_last (const struct test_entry *entry, az_proc proc);
void
test_entry_clear_sent (struct test_entry *entry);

/** test_entry_started - returns the @index-th task sent in START messages, or NULL */
const struct az_start_task *
test_entry_started (const struct test_entry *entry, uint32_t index, uint32_t *connection);
uint32_t
test_entry_n_started (const struct test_entry *entry);

/** test_entry_finish - sends the core a RESULT for the @index-th started task */
void
test_entry_finish (struct test_entry *entry, uint32_t index, az_status status);
void
test_entry_refuse (struct test_entry *entry, uint32_t index, az_refusal reason);
void
test_entry_send_fate (struct test_entry *entry,
                      uint32_t index,
                      uint32_t connection,
                      az_status status);

/** test_entry_answer - returns the answer of @request or NULL; fails if there are two */
const struct test_answer *
test_entry_answer (const struct test_entry *entry, uint32_t request);
void
test_entry_assert_answer (const struct test_entry *entry,
                          uint32_t request,
                          az_outcome outcome,
                          const char *code);
uint64_t
test_entry_counter (const struct test_entry *entry, const char *name);
const char *
test_entry_receive (struct test_entry *entry,
                    uint32_t connection,
                    const struct az_message *message);

#endif
