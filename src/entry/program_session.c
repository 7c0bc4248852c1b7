#include "azurerock/configuration.h"
#include "azurerock/limits.h"
#include "azurerock/log.h"
#include "entry/program.h"

static char *
session_key (const struct az_entry_program *program)
{
  return g_strdup_printf (AZ_STORE_KEY_ENTRIES "%" G_GUINT64_FORMAT, program->incarnation);
}

static void
on_acquired (void *context, const struct az_store_answer *answer)
{
  struct az_entry_program *program = context;

  program->session.is_pending = false;
  program->session.is_held = answer->result == AZ_STORE_OK;
  if (!program->session.is_held && !program->is_stopped)
    az_log (LOG_WARNING, "session key not acquired: %s", answer->error);
}

static void
acquire (struct az_entry_program *program)
{
  g_autofree char *key = session_key (program);

  program->session.is_pending = true;
  az_store_client_acquire (program->store, key, program->options->instance, program->session.id,
                           on_acquired, program);
}

static void
on_created (void *context, const struct az_store_answer *answer)
{
  struct az_entry_program *program = context;

  program->session.is_pending = false;
  if (program->is_stopped)
    return;
  if (answer->result != AZ_STORE_OK)
    {
      az_log (LOG_WARNING, "store session not created: %s", answer->error);
      return;
    }
  program->session.id = g_strdup (answer->session);
  acquire (program);
}

static void
on_renewed (void *context, const struct az_store_answer *answer)
{
  struct az_entry_program *program = context;

  program->session.is_pending = false;
  if (program->is_stopped || answer->result != AZ_STORE_CONFLICT)
    return;
  az_log (LOG_WARNING, "the session has lapsed; a new one is created");
  g_clear_pointer (&program->session.id, g_free);
  program->session.is_held = false;
}

/* Repeats a call whose answer was lost. A key that may be held is acquired again; a session whose
 * id was lost is created again, and the first one lapses by itself. */
static void
on_renew_timer (uv_timer_t *timer)
{
  struct az_entry_program *program = timer->data;
  struct az_entry_session *session = &program->session;

  if (session->is_pending || program->is_closing)
    return;
  if (session->id && !session->is_held)
    {
      acquire (program);
      return;
    }
  session->is_pending = true;
  if (session->id)
    az_store_client_renew_session (program->store, session->id, on_renewed, program);
  else
    az_store_client_create_session (program->store, AZ_OWNER_SESSION_MS, on_created, program);
}

void
az_entry_program_open_session (struct az_entry_program *program)
{
  struct az_entry_session *session = &program->session;

  uv_timer_init (program->loop, &session->renew);
  session->renew.data = program;
  uv_timer_start (&session->renew, on_renew_timer, 0, AZ_OWNER_SESSION_RENEW_MS);
}

static void
on_destroyed (void *context, const struct az_store_answer *answer)
{
  struct az_entry_program *program = context;

  (void)answer;
  if (!program->is_stopped)
    az_entry_program_session_destroyed (program);
}

void
az_entry_program_destroy_session (struct az_entry_program *program)
{
  if (program->session.id)
    az_store_client_destroy_session (program->store, program->session.id, on_destroyed, program);
  else
    az_entry_program_session_destroyed (program);
}
