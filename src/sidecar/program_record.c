#include "azurerock/log.h"
#include "sidecar/announcement_record.h"
#include "sidecar/program.h"
#include <string.h>

static char *
record_key (const struct az_sidecar_program *program)
{
  return g_strconcat (AZ_ANNOUNCEMENTS_PREFIX, program->options->instance, NULL);
}

static void
on_record_read (void *context, struct az_metadata_answer *answer)
{
  struct az_sidecar_program *program = context;
  struct az_upstream_announcement announcement;

  if (program->is_closed || az_sidecar_has_upstream (program->sidecar)
      || answer->result != AZ_METADATA_OK || answer->n_items == 0)
    return;
  if (!az_announcement_record_decode (answer->items[0].value, &announcement))
    {
      az_log (LOG_WARNING, "event=record-ignored reason=unreadable");
      return;
    }
  az_log (LOG_NOTICE, "event=record-read instance=%s draining=%s", announcement.instance,
          announcement.is_draining ? "yes" : "no");
  az_sidecar_upstream_announced (program->sidecar, &announcement);
  az_upstream_announcement_clear (&announcement);
}

void
az_sidecar_program_read_record (struct az_sidecar_program *program)
{
  g_autofree char *key = record_key (program);

  az_metadata_get (program->store, key, on_record_read, program);
}

static void
on_record_written (void *context, struct az_metadata_answer *answer)
{
  struct az_sidecar_program *program = context;

  /* The next heartbeat writes the record again. */
  if (answer->result != AZ_METADATA_OK)
    g_clear_pointer (&program->record, g_free);
}

void
az_sidecar_program_write_record (struct az_sidecar_program *program,
                                 const struct az_upstream_announcement *announcement)
{
  g_autofree char *key = record_key (program);
  g_autofree char *record = az_announcement_record_encode (announcement);

  if (!g_strcmp0 (program->record, record))
    return;
  g_free (program->record);
  program->record = g_steal_pointer (&record);
  az_metadata_write (program->store, key, program->record, 0, on_record_written, program);
}
