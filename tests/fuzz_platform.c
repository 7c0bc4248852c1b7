#include "platform/executor.h"
#include "platform/job.h"
#include "platform/operator.h"
#include "platform/registry.h"
#include "platform/store.h"
#include "sidecar/announcement_record.h"
#include <glib.h>
#include <string.h>

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

/* Decodes each input as every kind of body that the platform, callers and upstreams send. A decoded
 * value must be usable by the code that receives it. */

static void
decode_job (const char *text, size_t size)
{
  struct az_job_request request = { 0 };

  if (platform_decode_job (text, size, &request) && !request.specification)
    g_error ("a job without a specification was accepted");
  az_job_request_clear (&request);
}

static void
decode_announcement (const char *text, size_t size)
{
  struct az_upstream_announcement announcement;
  struct az_upstream_announcement copy;
  g_autofree char *record = NULL;
  const char *invalid;

  if (!platform_decode_heartbeat ("i-1", text, size, &announcement, &invalid))
    return;
  record = az_announcement_record_encode (&announcement);
  if (!record || !az_announcement_record_decode (record, &copy))
    g_error ("an accepted announcement can't be recorded");
  az_upstream_announcement_clear (&copy);
  az_upstream_announcement_clear (&announcement);
}

static void
decode_instance (const char *text)
{
  static const char body[]
      = "{\"service\":\"s\",\"address\":\"1.2.3.4:5\",\"zone\":\"z\",\"born\":1,"
        "\"sequence\":1,\"state\":\"ready\",\"capacity\":{\"cpu\":1}}";
  g_autofree char *path = g_strconcat ("/azurerock/Executors.Heartbeat/", text, NULL);
  struct az_upstream_announcement announcement;
  g_autofree char *record = NULL;
  const char *instance;
  const char *invalid;

  if (platform_registry_call ("POST", path, &instance) != PLATFORM_REGISTRY_HEARTBEAT
      || !platform_decode_heartbeat (instance, body, strlen (body), &announcement, &invalid))
    return;
  record = az_announcement_record_encode (&announcement);
  if (!record)
    g_error ("an accepted instance can't be recorded");
  az_upstream_announcement_clear (&announcement);
}

static void
decode_record (const char *text)
{
  struct az_upstream_announcement announcement;

  if (!az_announcement_record_decode (text, &announcement))
    return;
  for (guint i = 0; i < announcement.labels->len; i++)
    if (!announcement.labels->pdata[i])
      g_error ("a label of a record is no string");
  az_upstream_announcement_clear (&announcement);
}

static void
decode_answers (const char *text, size_t size)
{
  struct az_http_response response = { .status = 200, .body = text, .body_length = size };
  struct az_upstream_lists lists = { 0 };
  struct az_metadata_answer answer = { 0 };

  platform_decode_start_or_stop (&response);
  platform_decode_task_lists (&response, &lists);
  az_upstream_lists_clear (&lists);
  platform_decode_store (&response, &answer);
  az_metadata_answer_clear (&answer);
  response.status = 409;
  platform_decode_start_or_stop (&response);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  g_autofree char *text = g_strndup ((const char *)data, size);
  size_t n_unreadable = 0;

  decode_job ((const char *)data, size);
  decode_announcement ((const char *)data, size);
  decode_instance (text);
  decode_record (text);
  decode_answers ((const char *)data, size);
  az_catalog_destroy (platform_decode_catalog ((const char *)data, size, &n_unreadable));
  platform_get_withdrawn_domain (text);
  return 0;
}
