#include "azurerock/log.h"
#include "dispatch/session_times.h"
#include "sidecar/state.h"
#include <string.h>

struct session *
az_sidecar_get_session (const struct az_sidecar *sidecar, uint32_t handle)
{
  return g_hash_table_lookup (sidecar->sessions, GUINT_TO_POINTER (handle));
}

void
az_sidecar_session_opened (struct az_sidecar *sidecar, uint32_t handle)
{
  struct az_message hello = { .proc = AZ_NODE_HELLO };
  struct session *session = g_new0 (struct session, 1);

  sidecar->now_us = az_now_us (sidecar->clock);
  session->handle = handle;
  session->last_sent_us = sidecar->now_us;
  session->wants_reports = true;
  session->events = g_array_new (FALSE, FALSE, sizeof (struct az_task_event));
  session->progress = g_array_new (FALSE, FALSE, sizeof (struct az_task_progress));
  g_hash_table_insert (sidecar->sessions, GUINT_TO_POINTER (handle), session);
  hello.az_message_u.node_hello = (struct az_node_hello){
    .incarnation = sidecar->incarnation,
    .instance = (char *)sidecar->settings.instance,
    .domain = (char *)sidecar->settings.domain,
    .address = (char *)"",
  };
  sidecar->io.send (sidecar->io.context, handle, &hello);
}

static void
stop_session_tasks (struct az_sidecar *sidecar, const struct session *session)
{
  uint32_t handle = 0;

  while ((handle = az_table_rows_next (sidecar->tasks, handle)))
    {
      struct task *task = az_sidecar_get_task (sidecar, handle);

      if (task->session != session->handle)
        continue;
      task->session = 0;
      az_sidecar_cancel_task (sidecar, handle, session->last_sent_us);
    }
}

void
az_sidecar_session_closed (struct az_sidecar *sidecar, uint32_t handle, const char *reason)
{
  struct session *session = az_sidecar_get_session (sidecar, handle);

  if (!session)
    return;
  sidecar->now_us = az_now_us (sidecar->clock);
  az_log (LOG_NOTICE,
          "event=session-lost gateway=%s tasks_stopped=%u silent_ms=%" G_GINT64_FORMAT
          " reason=\"%s\"",
          session->gateway ? session->gateway : "-", session->n_tasks,
          (sidecar->now_us - session->last_sent_us) / AZ_US_PER_MS, reason);
  stop_session_tasks (sidecar, session);
  g_hash_table_remove (sidecar->sessions, GUINT_TO_POINTER (handle));
}

bool
az_sidecar_is_session_idle (const struct az_sidecar *sidecar, uint32_t handle)
{
  const struct session *session = az_sidecar_get_session (sidecar, handle);

  return !session || (session->n_tasks == 0 && session->events->len == 0);
}

static int64_t
silence_limit_ms (const struct az_sidecar *sidecar, const struct session *session)
{
  int64_t limit_ms = sidecar->settings.session_timeout_ms;

  if (session->n_tasks > 0)
    return limit_ms;
  return limit_ms
         * (session->wants_reports ? AZ_IDLE_SESSION_TIMEOUT_FACTOR
                                   : AZ_DORMANT_SESSION_TIMEOUT_FACTOR);
}

/* Returns NULL if there is none. */
static struct session *
find_expired (const struct az_sidecar *sidecar, bool includes_idle)
{
  GHashTableIter iterator;
  gpointer value;

  g_hash_table_iter_init (&iterator, sidecar->sessions);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      struct session *session = value;
      int64_t silence_us = sidecar->now_us - session->last_sent_us;

      if ((session->n_tasks > 0 || includes_idle)
          && silence_us > silence_limit_ms (sidecar, session) * AZ_US_PER_MS)
        return session;
    }
  return NULL;
}

static void
close_expired (struct az_sidecar *sidecar, bool includes_idle)
{
  const struct session *session;

  while ((session = find_expired (sidecar, includes_idle)))
    {
      uint32_t handle = session->handle;

      az_sidecar_session_closed (sidecar, handle, "gateway is silent");
      sidecar->io.close (sidecar->io.context, handle, "silent");
    }
}

void
az_sidecar_expire_sessions (struct az_sidecar *sidecar)
{
  close_expired (sidecar, true);
}

void
az_sidecar_expire_task_sessions (struct az_sidecar *sidecar)
{
  close_expired (sidecar, false);
}

static void
handle_hello (struct session *session, const struct az_node_hello *hello)
{
  g_free (session->gateway);
  session->gateway = g_strdup (hello->instance);
  az_log (LOG_NOTICE, "event=session-opened gateway=%s domain=%s", hello->instance, hello->domain);
}

static void
handle_withdrawn (struct az_sidecar *sidecar, const struct az_node_withdrawn *withdrawn)
{
  az_sidecar_withdrawals_received (sidecar, withdrawn->revision, withdrawn->age_ms,
                                   (const char *const *)withdrawn->domains.domains_val,
                                   withdrawn->domains.domains_len);
}

/* Returns the time of sending on this sidecar's clock, or 0 if the message doesn't state it. */
static int64_t
sent_clock_ms (const struct az_message *message)
{
  switch (message->proc)
    {
    case AZ_NODE_PULSE:
      return (int64_t)message->az_message_u.node_pulse.clock_ms;
    case AZ_NODE_RUN:
      return (int64_t)message->az_message_u.node_run.clock_ms;
    default:
      return 0;
    }
}

/* While the session has tasks, a message that doesn't state when it was sent is no sign of life. */
static void
update_liveness (const struct az_sidecar *sidecar,
                 struct session *session,
                 const struct az_message *message)
{
  int64_t clock_ms = sent_clock_ms (message);
  int64_t sent_us = sidecar->now_us;

  if (clock_ms > 0)
    sent_us = MIN (clock_ms, sidecar->now_us / AZ_US_PER_MS) * AZ_US_PER_MS;
  else if (session->n_tasks > 0 && message->proc != AZ_NODE_PULSE)
    return;
  session->last_sent_us = MAX (session->last_sent_us, sent_us);
}

void
az_sidecar_received (struct az_sidecar *sidecar, uint32_t handle, const struct az_message *message)
{
  struct session *session;

  sidecar->now_us = az_now_us (sidecar->clock);
  az_sidecar_expire_task_sessions (sidecar);
  session = az_sidecar_get_session (sidecar, handle);
  if (!session)
    return;
  update_liveness (sidecar, session, message);
  switch (message->proc)
    {
    case AZ_NODE_HELLO:
      handle_hello (session, &message->az_message_u.node_hello);
      break;
    case AZ_NODE_WITHDRAWN:
      handle_withdrawn (sidecar, &message->az_message_u.node_withdrawn);
      break;
    case AZ_NODE_PULSE:
      session->waiting_cpu_milli = message->az_message_u.node_pulse.waiting_cpu_milli;
      session->wants_reports = message->az_message_u.node_pulse.wants_reports;
      break;
    case AZ_NODE_RUN:
      session->received++;
      az_sidecar_run_tasks (sidecar, session, &message->az_message_u.node_run);
      break;
    case AZ_NODE_STOP:
      az_sidecar_stop_tasks (sidecar, handle, &message->az_message_u.node_stop);
      break;
    default:
      break;
    }
}
