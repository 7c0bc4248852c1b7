#include "dispatch/metadata_read.h"
#include <glib.h>

struct page_read
{
  struct az_metadata_client *client;
  char *prefix;
  struct az_metadata_read read;
  uint64_t revision;
};

static void
read_page (struct page_read *page, const char *after);

static void
finish (struct page_read *page, enum az_metadata_result result)
{
  page->read.done (page->read.context, result, page->revision);
  g_free (page->prefix);
  g_free (page);
}

static void
on_page_read (void *context, struct az_metadata_answer *answer)
{
  struct page_read *page = context;

  if (answer->result != AZ_METADATA_OK)
    {
      finish (page, answer->result);
      return;
    }
  for (size_t i = 0; i < answer->n_items; i++)
    page->read.item (page->read.context, &answer->items[i]);
  if (page->revision == 0)
    page->revision = answer->revision;
  if (answer->has_more && answer->n_items > 0)
    read_page (page, answer->items[answer->n_items - 1].key);
  else
    finish (page, AZ_METADATA_OK);
}

static void
read_page (struct page_read *page, const char *after)
{
  az_metadata_range (page->client, page->prefix, after, on_page_read, page);
}

void
az_metadata_read_all (struct az_metadata_client *client,
                      const char *prefix,
                      const struct az_metadata_read *read)
{
  struct page_read *page = g_new0 (struct page_read, 1);

  page->client = client;
  page->prefix = g_strdup (prefix);
  page->read = *read;
  read_page (page, NULL);
}
