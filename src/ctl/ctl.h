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
  gint64 parent; /* revision that publish expects in force, or -1 */
  gint wait_s;
  gboolean publish;
};

/** struct az_ctl - one run of the operators' tool */
struct az_ctl
{
  const struct az_ctl_options *options;
  uv_loop_t *loop;
  struct az_store_client *store;
  struct az_event_log *events;
  struct timespec deadline; /* end of the wait for acceptance */
  bool stopping;
};

/** struct az_ctl_value - one key of the store; @text is NULL if the key doesn't exist */
struct az_ctl_value
{
  char *key;
  char *text;
  size_t length;
  uint64_t index;
};

/** az_ctl_read - reads one key and waits; false with @error if the store fails */
bool
az_ctl_read (struct az_ctl *ctl, const char *key, struct az_ctl_value *value, GError **error);
void
az_ctl_value_clear (struct az_ctl_value *value);

/** az_ctl_read_all - keys below @prefix as struct az_ctl_value; NULL with @error if it fails */
GPtrArray *
az_ctl_read_all (struct az_ctl *ctl, const char *prefix, GError **error);

/** az_ctl_write - writes and waits; @reason receives what went wrong, free with g_free() */
enum az_store_result
az_ctl_write (struct az_ctl *ctl,
              const struct az_store_write *writes,
              size_t n_writes,
              char **reason);

/** az_ctl_sleep - lets the loop run for @ms */
void
az_ctl_sleep (struct az_ctl *ctl, int64_t ms);

/** struct az_ctl_stored - what the store holds; configuration is NULL before the first one */
struct az_ctl_stored
{
  struct az_configuration *configuration;
  uint64_t index;
};

bool
az_ctl_read_configuration (struct az_ctl *ctl, struct az_ctl_stored *stored, GError **error);

/** az_ctl_read_table - the owner table; version 0 and empty if there is none */
bool
az_ctl_read_table (struct az_ctl *ctl, struct az_table *table, GError **error);

/** struct az_ctl_member - a roster entry and what its status says */
struct az_ctl_member
{
  const az_roster_entry *entry;
  bool answered; /* by this incarnation */
  uint64_t revision;
};

/** az_ctl_poll_members - asks every entry of @table for its status, waiting at most @timeout_ms;
 * the array has one item per roster entry, free with g_free() */
struct az_ctl_member *
az_ctl_poll_members (struct az_ctl *ctl, const struct az_table *table, int64_t timeout_ms);

/** struct az_ctl_acceptance - how many roster members have a revision in force */
struct az_ctl_acceptance
{
  uint32_t members;
  uint32_t confirmed;         /* of members */
  uint32_t counted;           /* members that count towards acceptance */
  uint32_t counted_confirmed; /* of counted */
};

/** az_ctl_count_acceptance - counts the members with @revision or a higher one */
void
az_ctl_count_acceptance (const struct az_table *table,
                         const struct az_ctl_member *members,
                         uint64_t revision,
                         struct az_ctl_acceptance *acceptance);

/** az_ctl_is_accepted - at least half, rounded up, of the counted members and of all members
 * confirm */
bool
az_ctl_is_accepted (const struct az_ctl_acceptance *acceptance);

/** az_ctl_load_objects - set from DIR or DIR/objects; prints all findings and returns NULL if any
 */
struct az_object_set *
az_ctl_load_objects (const char *directory);

/** az_ctl_object_directory - DIR/objects if it exists, otherwise DIR; free with g_free() */
char *
az_ctl_object_directory (const char *directory);

/** az_ctl_diff - changes from @old (may be NULL) to @new, one line each; unref the array */
GPtrArray *
az_ctl_diff (const struct az_object_set *old, const struct az_object_set *new);
void
az_ctl_print_lines (const GPtrArray *lines);

/** az_ctl_withdrawn_domains - names of domains out of service, separated by commas */
char *
az_ctl_withdrawn_domains (const struct az_object_set *set);

/** az_ctl_edit - sets in_service of "KIND/NAME" in the file that holds it; returns an exit code */
int
az_ctl_edit (const char *directory, const char *object, bool in_service);

/** az_ctl_remaining_ms - time until the deadline, 0 when it has passed or on a stop signal */
int64_t
az_ctl_remaining_ms (const struct az_ctl *ctl);

/** az_ctl_await_acceptance - polls until the revision is accepted or the deadline has passed; at
 * least once */
int
az_ctl_await_acceptance (struct az_ctl *ctl, const struct az_configuration *configuration);

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
