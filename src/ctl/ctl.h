#ifndef AZUREROCK_CTL_CTL_H
#define AZUREROCK_CTL_CTL_H

#include "azurerock/configuration.h"
#include "azurerock/event_log.h"
#include "azurerock/program.h"
#include "azurerock/store_client.h"

/** struct az_ctl_options - values of the command line and the settings file */
struct az_ctl_options
{
  char *store;
  char *message;
  char *author;
  char *event_log;
  gint64 parent; /* revision that the store must hold for a publication, or -1 for any */
  gint wait_s;
  gboolean publish;
};

/** struct az_ctl - state of one run of azurerock-ctl */
struct az_ctl
{
  const struct az_ctl_options *options;
  uv_loop_t *loop;
  struct az_store_client *store;
  struct az_event_log *events;
  struct timespec deadline; /* end of the wait for acceptance */
  bool stopping;            /* a stop signal was received */
};

/** struct az_ctl_value - value of a key; @text is NULL if the key doesn't exist, @index is the
 * modification index */
struct az_ctl_value
{
  char *key;
  char *text;
  size_t length;
  uint64_t index;
};

/** az_ctl_read - reads one key and waits for the result; false with @error if the read fails */
bool
az_ctl_read (struct az_ctl *ctl, const char *key, struct az_ctl_value *value, GError **error);
void
az_ctl_value_clear (struct az_ctl_value *value);

/** az_ctl_read_all - reads all keys below @prefix; returns an array of struct az_ctl_value, or NULL
 * with @error */
GPtrArray *
az_ctl_read_all (struct az_ctl *ctl, const char *prefix, GError **error);

/** az_ctl_write - writes all keys in one transaction and waits for the result; @reason receives the
 * error or NULL, free with g_free() */
enum az_store_result
az_ctl_write (struct az_ctl *ctl,
              const struct az_store_write *writes,
              size_t n_writes,
              char **reason);

/** az_ctl_sleep - runs the event loop for @ms, or until a stop signal */
void
az_ctl_sleep (struct az_ctl *ctl, int64_t ms);

/** struct az_ctl_stored - published configuration, or NULL, and its modification index */
struct az_ctl_stored
{
  struct az_configuration *configuration;
  uint64_t index;
};

bool
az_ctl_read_configuration (struct az_ctl *ctl, struct az_ctl_stored *stored, GError **error);

/** az_ctl_read_table - reads the owner table; if there is none, @table is empty with version 0 */
bool
az_ctl_read_table (struct az_ctl *ctl, struct az_table *table, GError **error);

/** struct az_ctl_member - member of the roster and the revision that its status reports */
struct az_ctl_member
{
  const az_roster_entry *entry;
  bool answered; /* the incarnation in the roster has answered */
  uint64_t revision;
};

/** az_ctl_poll_members - requests the status of every member of the roster at the same time and
 * waits at most @timeout_ms; returns one item per member, free with g_free() */
struct az_ctl_member *
az_ctl_poll_members (struct az_ctl *ctl, const struct az_table *table, int64_t timeout_ms);

/**
 * struct az_ctl_acceptance - number of members that have applied a revision
 * @confirmed: members that have applied it
 * @established: members that joined before the current table version
 * @established_confirmed: established members that have applied it
 */
struct az_ctl_acceptance
{
  uint32_t members;
  uint32_t confirmed;
  uint32_t established;
  uint32_t established_confirmed;
};

/** az_ctl_count_acceptance - counts the members that have applied @revision or a later one */
void
az_ctl_count_acceptance (const struct az_table *table,
                         const struct az_ctl_member *members,
                         uint64_t revision,
                         struct az_ctl_acceptance *acceptance);

/** az_ctl_is_accepted - checks that at least half, rounded up, of the established members and of
 * all members have confirmed */
bool
az_ctl_is_accepted (const struct az_ctl_acceptance *acceptance);

/** az_ctl_load_objects - loads the objects of DIR/objects or DIR; prints all errors and returns
 * NULL if there are any */
struct az_object_set *
az_ctl_load_objects (const char *directory);

/** az_ctl_object_directory - returns DIR/objects if it exists, otherwise DIR; free with g_free() */
char *
az_ctl_object_directory (const char *directory);

/** az_ctl_diff - returns the changes from @old (may be NULL) to @new, one line each; free with
 * g_ptr_array_unref() */
GPtrArray *
az_ctl_diff (const struct az_object_set *old, const struct az_object_set *new);
void
az_ctl_print_lines (const GPtrArray *lines);

/** az_ctl_withdrawn_domains - returns the names of the domains that are out of service, separated
 * by commas; free with g_free() */
char *
az_ctl_withdrawn_domains (const struct az_object_set *set);

/** az_ctl_edit - sets in_service of the object "KIND/NAME" in its file; returns an exit code */
int
az_ctl_edit (const char *directory, const char *object, bool in_service);

/** az_ctl_remaining_ms - returns the time until the deadline, 0 after it or a stop signal */
int64_t
az_ctl_remaining_ms (const struct az_ctl *ctl);

/** az_ctl_await_acceptance - polls the entries, at least once, until the revision is accepted or
 * the deadline has passed; returns an exit code */
int
az_ctl_await_acceptance (struct az_ctl *ctl, const struct az_configuration *configuration);

/* Each of these functions runs one command and returns the exit code. */

int
az_ctl_check (const char *directory);
int
az_ctl_show_diff (struct az_ctl *ctl, const char *directory);
int
az_ctl_publish (struct az_ctl *ctl, const char *directory);
int
az_ctl_status (struct az_ctl *ctl);
int
az_ctl_history (struct az_ctl *ctl);

#define AZ_CTL_ERROR (az_ctl_error_quark ())
GQuark
az_ctl_error_quark (void);

#endif
