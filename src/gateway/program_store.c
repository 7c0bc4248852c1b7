#include "azurerock/log.h"
#include "dispatch/metadata_read.h"
#include "gateway/program.h"
#include "platform/operator.h"
#include <string.h>

/* The answer to a watch confirms the list of withdrawn domains, so the store must not delay the
 * answer for long. */
#define WATCH_WAIT_MS 1200
#define RETRY_MS 150

/* Until a read is complete, another one is started after this time in parallel to those without an
 * answer: calls made while the store was unresponsive hang even after it has recovered. */
#define PARALLEL_READ_DELAY_MS 200
#define PARALLEL_READS_MAX 4

/* Maximum age that is assumed for the contents of a watch's answer on arrival. */
#define ANSWER_AGE_MAX_US 300000

/* The store counts as unreachable when an answer is overdue by this time, since the answer may
 * never come. */
#define WATCH_OVERDUE_US 150000

/** struct store_read - a read in progress of all that operators have published */
struct store_read
{
  struct az_gateway_program *program;
  GHashTable *withdrawn; /* set of domains */
  int64_t requested_us;
};

static void
start_read (struct az_gateway_program *program);

static void
start_watch (struct az_gateway_program *program);

static int64_t
now_us (void)
{
  return (int64_t)(uv_hrtime () / 1000);
}

static void
on_retry (uv_timer_t *timer)
{
  struct az_gateway_program *program = timer->data;

  if (program->view.revision > 0)
    start_watch (program);
  else
    start_read (program);
}

static void
retry (struct az_gateway_program *program, uint64_t after_ms)
{
  if (!program->is_closed)
    uv_timer_start (&program->view.retry, on_retry, after_ms, 0);
}

static void
set_reachable (struct az_gateway_program *program, bool is_reachable)
{
  if (program->view.is_reachable != is_reachable)
    az_log (LOG_NOTICE, "event=store outcome=%s revision=%" G_GUINT64_FORMAT,
            is_reachable ? "regained" : "lost", program->view.revision);
  program->view.is_reachable = is_reachable;
  /* The core may have been told that the store isn't reachable while the answer was overdue. */
  az_gateway_set_store_reachable (program->gateway, is_reachable);
}

void
az_gateway_program_check_store (struct az_gateway_program *program)
{
  int64_t waited_us = now_us () - program->view.requested_us;

  if (waited_us > WATCH_WAIT_MS * 1000 + WATCH_OVERDUE_US)
    az_gateway_set_store_reachable (program->gateway, false);
}

bool
az_gateway_program_handle_catalog (struct az_gateway_program *program,
                                   const struct az_catalog_origin *origin)
{
  size_t n_unreadable;
  struct az_catalog *catalog
      = platform_decode_catalog (origin->text, origin->length, &n_unreadable);

  if (!catalog)
    {
      az_log (LOG_WARNING,
              "event=configuration-ignored revision=%" G_GUINT64_FORMAT " reason=unreadable",
              origin->revision);
      return false;
    }
  if (n_unreadable > 0)
    az_log (LOG_WARNING,
            "event=routes-ignored count=%zu revision=%" G_GUINT64_FORMAT " reason=unreadable",
            n_unreadable, origin->revision);
  az_gateway_set_catalog (program->gateway, catalog, origin);
  return true;
}

static void
handle_item (struct az_gateway_program *program,
             GHashTable *withdrawn,
             const struct az_metadata_item *item)
{
  const char *domain = platform_get_withdrawn_domain (item->key);

  if (domain && item->value)
    g_hash_table_add (withdrawn, g_strdup (domain));
  else if (domain)
    g_hash_table_remove (withdrawn, domain);
  else if (item->value && !strcmp (item->key, PLATFORM_CONFIGURATION_KEY))
    program->view.is_catalog_readable = az_gateway_program_handle_catalog (
        program, &(struct az_catalog_origin){
                     .revision = item->revision, .text = item->value, .length = item->length });
}

/* The view was that of the store @age_us ago. */
static void
confirm_view (struct az_gateway_program *program, int64_t age_us)
{
  const struct az_catalog *catalog = az_gateway_catalog (program->gateway);
  guint n_domains;
  g_autofree gpointer *domains
      = g_hash_table_get_keys_as_array (program->view.withdrawn, &n_domains);

  az_gateway_set_withdrawn (program->gateway, program->view.revision, age_us / 1000,
                            (const char *const *)domains, n_domains);
  if (catalog && program->view.is_catalog_readable)
    az_gateway_confirm_catalog (program->gateway, catalog->version, age_us / 1000);
}

static void
on_watch_answer (void *context, struct az_metadata_answer *answer)
{
  struct az_gateway_program *program = context;
  struct az_store_view *view = &program->view;

  if (program->is_closed)
    return;
  if (answer->result == AZ_METADATA_HISTORY_COMPACTED)
    {
      az_log (LOG_NOTICE, "event=store-history-gone revision=%" G_GUINT64_FORMAT, view->revision);
      view->revision = 0;
      start_read (program);
      return;
    }
  set_reachable (program, answer->result == AZ_METADATA_OK);
  if (answer->result != AZ_METADATA_OK)
    {
      retry (program, RETRY_MS);
      return;
    }
  for (size_t i = 0; i < answer->n_items; i++)
    handle_item (program, view->withdrawn, &answer->items[i]);
  view->revision = MAX (view->revision, answer->revision);
  confirm_view (program, MIN (now_us () - view->requested_us, ANSWER_AGE_MAX_US));
  start_watch (program);
}

static void
start_watch (struct az_gateway_program *program)
{
  uv_timer_stop (&program->view.retry);
  program->view.requested_us = now_us ();
  az_metadata_watch (program->store, PLATFORM_OPERATOR_PREFIX, program->view.revision,
                     WATCH_WAIT_MS, on_watch_answer, program);
}

static void
free_read (gpointer value)
{
  struct store_read *read = value;

  g_hash_table_unref (read->withdrawn);
  g_free (read);
}

static void
on_item_read (void *context, const struct az_metadata_item *item)
{
  struct store_read *read = context;

  if (!read->program->is_closed)
    handle_item (read->program, read->withdrawn, item);
}

static void
finish_read (struct az_gateway_program *program, const struct store_read *read, uint64_t revision)
{
  struct az_store_view *view = &program->view;

  g_hash_table_unref (view->withdrawn);
  view->withdrawn = g_hash_table_ref (read->withdrawn);
  view->revision = revision;
  confirm_view (program, now_us () - read->requested_us);
  start_watch (program);
}

static void
on_read (void *context, enum az_metadata_result result, uint64_t revision)
{
  struct store_read *read = context;
  struct az_gateway_program *program = read->program;
  struct az_store_view *view = &program->view;

  /* Otherwise another read has completed first. */
  if (!program->is_closed && view->revision == 0)
    {
      set_reachable (program, result == AZ_METADATA_OK);
      if (result == AZ_METADATA_OK)
        finish_read (program, read, revision);
      else
        retry (program, RETRY_MS);
    }
  g_ptr_array_remove_fast (view->reads, read);
}

static void
start_read (struct az_gateway_program *program)
{
  struct az_store_view *view = &program->view;
  struct store_read *read;

  retry (program, PARALLEL_READ_DELAY_MS);
  if (view->reads->len >= PARALLEL_READS_MAX)
    return;
  read = g_new0 (struct store_read, 1);
  read->program = program;
  read->withdrawn = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  read->requested_us = view->requested_us = now_us ();
  g_ptr_array_add (view->reads, read);
  az_metadata_read_all (program->store, PLATFORM_OPERATOR_PREFIX,
                        &(struct az_metadata_read){ on_item_read, on_read, read });
}

void
az_gateway_program_open_store (struct az_gateway_program *program)
{
  struct az_store_view *view = &program->view;

  view->withdrawn = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  view->reads = g_ptr_array_new_with_free_func (free_read);
  uv_timer_init (program->loop, &view->retry);
  view->retry.data = program;
  program->store = az_metadata_client_create (program->loop, program->options->store_address);
  start_read (program);
}

void
az_gateway_program_close_store (struct az_gateway_program *program)
{
  struct az_store_view *view = &program->view;

  az_metadata_client_destroy (program->store);
  uv_close ((uv_handle_t *)&view->retry, NULL);
  g_hash_table_unref (view->withdrawn);
}

void
az_gateway_program_free_store (struct az_gateway_program *program)
{
  g_clear_pointer (&program->view.reads, g_ptr_array_unref);
}
