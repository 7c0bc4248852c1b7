#include "standin/store_sessions.h"

struct az_standin_sessions
{
  uv_loop_t *loop;
  GHashTable *sessions;
  void (*on_ended) (void *context, const char *id);
  void *context;
};

struct session
{
  uv_timer_t timer;
  struct az_standin_sessions *owner;
  char *id;
  uint64_t ttl_ms;
};

static void
on_closed (uv_handle_t *handle)
{
  struct session *session = handle->data;

  g_free (session->id);
  g_free (session);
}

static void
close_session (void *data)
{
  struct session *session = data;

  uv_close ((uv_handle_t *)&session->timer, on_closed);
}

struct az_standin_sessions *
az_standin_sessions_create (uv_loop_t *loop,
                            void (*on_ended) (void *context, const char *id),
                            void *context)
{
  struct az_standin_sessions *sessions = g_new0 (struct az_standin_sessions, 1);

  sessions->loop = loop;
  sessions->sessions = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, close_session);
  sessions->on_ended = on_ended;
  sessions->context = context;
  return sessions;
}

void
az_standin_sessions_destroy (struct az_standin_sessions *sessions)
{
  if (!sessions)
    return;
  g_hash_table_unref (sessions->sessions);
  g_free (sessions);
}

static void
on_expired (uv_timer_t *timer)
{
  struct session *session = timer->data;

  az_standin_sessions_remove (session->owner, session->id);
}

const char *
az_standin_sessions_add (struct az_standin_sessions *sessions, int64_t ttl_ms)
{
  struct session *session = g_new0 (struct session, 1);

  session->owner = sessions;
  session->id = g_uuid_string_random ();
  session->ttl_ms = (uint64_t)ttl_ms;
  uv_timer_init (sessions->loop, &session->timer);
  session->timer.data = session;
  uv_timer_start (&session->timer, on_expired, session->ttl_ms, 0);
  g_hash_table_insert (sessions->sessions, session->id, session);
  return session->id;
}

bool
az_standin_sessions_has (const struct az_standin_sessions *sessions, const char *id)
{
  return g_hash_table_contains (sessions->sessions, id);
}

bool
az_standin_sessions_renew (struct az_standin_sessions *sessions, const char *id)
{
  struct session *session = g_hash_table_lookup (sessions->sessions, id);

  if (!session)
    return false;
  uv_timer_start (&session->timer, on_expired, session->ttl_ms, 0);
  return true;
}

void
az_standin_sessions_set_paused (struct az_standin_sessions *sessions, bool paused)
{
  GHashTableIter iterator;
  void *value;

  g_hash_table_iter_init (&iterator, sessions->sessions);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      struct session *session = value;

      if (paused)
        uv_timer_stop (&session->timer);
      else
        uv_timer_start (&session->timer, on_expired, session->ttl_ms, 0);
    }
}

void
az_standin_sessions_remove (struct az_standin_sessions *sessions, const char *id)
{
  g_autofree char *copy = g_strdup (id);

  if (g_hash_table_remove (sessions->sessions, copy))
    sessions->on_ended (sessions->context, copy);
}
