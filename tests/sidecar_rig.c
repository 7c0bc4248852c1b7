#include "sidecar_rig.h"
#include "dispatch/session_times.h"
#include <string.h>

#define TICK_MS 25
#define CAPACITY_MILLI 32000

static void
monotonic (void *context, struct timespec *now)
{
  const struct sidecar_rig *rig = context;

  *now = az_time_from_ns (rig->now_ms * 1000000);
}

static void
wall (void *context, struct timespec *now)
{
  const struct sidecar_rig *rig = context;

  *now = az_time_from_ns (rig->wall_ms * 1000000);
}

static void
record_upstream (struct sidecar_rig *rig, uint32_t session, const struct az_node_upstream *upstream)
{
  rig->is_open = upstream->open;
  rig->reported_capacity_milli[session] = upstream->capacity.cpu_milli;
  g_strlcpy (rig->reported_service, upstream->service, sizeof rig->reported_service);
  g_strlcpy (rig->reported_label,
             upstream->labels.labels_len > 0 ? upstream->labels.labels_val[0] : "",
             sizeof rig->reported_label);
}

static void
record_interference (struct sidecar_rig *rig, uint32_t session, const struct az_message *message)
{
  const struct az_node_interference *body = &message->az_message_u.node_interference;
  g_autoptr (GByteArray) bytes = g_byte_array_new ();

  az_message_encode (message, 1, bytes, NULL);
  rig->n_interference[session]++;
  rig->interference_bytes = bytes->len;
  rig->interference_life = body->life;
  for (u_int i = 0; i < body->kinds.kinds_len; i++)
    g_strlcpy (rig->interference_kinds[i], body->kinds.kinds_val[i], AZ_MAX_NAME + 1);
  rig->n_interference_rows = body->rows.rows_len;
  memcpy (rig->interference_rows, body->rows.rows_val,
          body->rows.rows_len * sizeof rig->interference_rows[0]);
}

static void
record_message (void *context, uint32_t session, const struct az_message *message)
{
  struct sidecar_rig *rig = context;
  const struct az_node_report *report = &message->az_message_u.node_report;

  if (message->proc == AZ_NODE_CRASH)
    {
      rig->n_crashes[session]++;
      g_strlcpy (rig->crashed_job_id, message->az_message_u.node_crash.job_id,
                 sizeof rig->crashed_job_id);
      g_strlcpy (rig->crashed_queue, message->az_message_u.node_crash.queue,
                 sizeof rig->crashed_queue);
      rig->crashed_index = message->az_message_u.node_crash.index;
    }
  if (message->proc == AZ_NODE_UPSTREAM)
    record_upstream (rig, session, &message->az_message_u.node_upstream);
  if (message->proc == AZ_NODE_INTERFERENCE)
    record_interference (rig, session, message);
  if (message->proc != AZ_NODE_REPORT)
    return;
  rig->n_reports[session]++;
  rig->free_milli = report->free.cpu_milli;
  rig->speed_percent = report->speed_percent;
  g_array_append_vals (rig->events, report->events.events_val, report->events.events_len);
}

static void
record_close (void *context, uint32_t session, const char *reason)
{
  struct sidecar_rig *rig = context;

  (void)session;
  (void)reason;
  rig->n_closed++;
}

static void
record_start (void *context, uint32_t task, const struct az_upstream_start *start)
{
  struct sidecar_rig *rig = context;
  const struct sidecar_request request = { .task = task,
                                           .name = g_strdup (start->task),
                                           .attempt = start->attempt,
                                           .lease_end_clock_ms = start->lease_end_clock_ms,
                                           .fence = start->fence };

  g_array_append_val (rig->starts, request);
}

static void
record_stop (void *context, uint32_t task, const struct az_upstream_stop *stop)
{
  struct sidecar_rig *rig = context;
  const struct sidecar_request request = {
    .task = task, .name = g_strdup (stop->task), .attempt = stop->attempt, .fence = stop->fence
  };

  g_array_append_val (rig->stops, request);
}

static void
record_hold (void *context, uint64_t number, const struct az_upstream_hold *hold)
{
  struct sidecar_rig *rig = context;

  rig->hold = number;
  rig->n_holds++;
  rig->hold_lease_end_clock_ms = hold->lease_end_clock_ms;
  rig->hold_fence = hold->fence;
  rig->hold_last_processed_end = hold->last_processed_end;
}

static void
record_probe (void *context, uint64_t number, const struct az_upstream_probe *probe)
{
  struct sidecar_rig *rig = context;

  (void)probe;
  rig->probe = number;
  rig->n_probes++;
}

static void
clear_request (void *data)
{
  g_free (((struct sidecar_request *)data)->name);
}

static struct sidecar_rig *
create_bare (bool report_interference)
{
  const struct az_sidecar_settings settings = {
    .instance = "s1",
    .domain = "d1",
    .lease_ms = AZ_TASK_LEASE_MS,
    .session_timeout_ms = AZ_SESSION_TIMEOUT_MS,
    .stop_ms = 50,
    .withdrawals_max_age_ms = 2500,
    .report_interference = report_interference,
  };
  struct sidecar_rig *rig = g_new0 (struct sidecar_rig, 1);
  const struct az_sidecar_io io
      = { record_message, record_close, record_start, record_stop, record_hold, record_probe, rig };

  rig->now_ms = 1000;
  rig->wall_ms = 1700000000000;
  rig->capacity_milli = CAPACITY_MILLI;
  rig->service = "service";
  rig->queue = "fast";
  rig->domain = "d1";
  rig->clock_ms = -1;
  rig->need = (struct az_resources){ .cpu_milli = 4000, .memory_mb = 64 };
  rig->clock = (struct az_clock){ monotonic, wall, rig };
  rig->counters = az_counters_create ();
  rig->starts = g_array_new (FALSE, FALSE, sizeof (struct sidecar_request));
  rig->stops = g_array_new (FALSE, FALSE, sizeof (struct sidecar_request));
  g_array_set_clear_func (rig->starts, clear_request);
  g_array_set_clear_func (rig->stops, clear_request);
  rig->events = g_array_new (FALSE, FALSE, sizeof (struct az_task_event));
  rig->core = az_sidecar_create (&settings, 7, &rig->clock, &io, rig->counters);
  return rig;
}

struct sidecar_rig *
sidecar_rig_create_bare (void)
{
  return create_bare (false);
}

static struct sidecar_rig *
create_open (bool report_interference)
{
  struct sidecar_rig *rig = create_bare (report_interference);

  sidecar_rig_open_session (rig, 1, "g1");
  sidecar_rig_open_session (rig, 2, "g2");
  sidecar_rig_announce (rig, "i1", 100, 1, false);
  sidecar_rig_answer_hold (rig, "", "");
  az_sidecar_flush (rig->core);
  return rig;
}

struct sidecar_rig *
sidecar_rig_create (void)
{
  return create_open (false);
}

struct sidecar_rig *
sidecar_rig_create_reporting_interference (void)
{
  return create_open (true);
}

void
sidecar_rig_destroy (struct sidecar_rig *rig)
{
  az_sidecar_destroy (rig->core);
  az_counters_destroy (rig->counters);
  g_array_unref (rig->starts);
  g_array_unref (rig->stops);
  g_array_unref (rig->events);
  g_free (rig);
}

void
sidecar_rig_open_session (struct sidecar_rig *rig, uint32_t session, const char *gateway)
{
  struct az_message hello = { .proc = AZ_NODE_HELLO };
  struct az_message withdrawn = { .proc = AZ_NODE_WITHDRAWN };

  withdrawn.az_message_u.node_withdrawn.revision = 1;
  hello.az_message_u.node_hello.instance = (char *)gateway;
  hello.az_message_u.node_hello.domain = (char *)"d1";
  hello.az_message_u.node_hello.address = (char *)"127.0.0.1:9";
  az_sidecar_session_opened (rig->core, session);
  az_sidecar_received (rig->core, session, &hello);
  if (!rig->hides_withdrawals)
    az_sidecar_received (rig->core, session, &withdrawn);
}

static bool
send_heartbeat (struct sidecar_rig *rig,
                const char *address,
                const char *instance,
                int64_t started_ms,
                uint64_t sequence,
                bool is_draining)
{
  g_autoptr (GPtrArray) labels = g_ptr_array_new ();
  const struct az_upstream_announcement announcement = {
    .instance = (char *)instance,
    .service = (char *)rig->service,
    .address = (char *)address,
    .domain = (char *)rig->domain,
    .started_ms = started_ms,
    .sequence = sequence,
    .is_draining = is_draining,
    .capacity = { .cpu_milli = rig->capacity_milli, .memory_mb = 65536 },
    .labels = labels,
    .clock_ms = rig->clock_ms,
  };

  if (rig->label)
    g_ptr_array_add (labels, (char *)rig->label);
  return az_sidecar_upstream_announced (rig->core, &announcement);
}

bool
sidecar_rig_announce_unanswered (struct sidecar_rig *rig,
                                 const char *address,
                                 const char *instance,
                                 int64_t started_ms,
                                 uint64_t sequence)
{
  bool is_taken_over = send_heartbeat (rig, address, instance, started_ms, sequence, false);

  az_sidecar_flush (rig->core);
  return is_taken_over;
}

bool
sidecar_rig_answer_probe (struct sidecar_rig *rig,
                          enum az_upstream_result result,
                          int64_t started_ms)
{
  const struct az_upstream_answer answer
      = { .result = result, .clock_ms = 5, .started_ms = started_ms };
  struct az_upstream_announcement confirmed;
  uint64_t probe = rig->probe;

  rig->probe = 0;
  if (!az_sidecar_probe_answered (rig->core, probe, &answer, &confirmed))
    return false;
  az_upstream_announcement_clear (&confirmed);
  return true;
}

bool
sidecar_rig_announce_at (struct sidecar_rig *rig,
                         const char *address,
                         const char *instance,
                         int64_t started_ms,
                         uint64_t sequence,
                         bool is_draining)
{
  rig->probe = 0;
  return send_heartbeat (rig, address, instance, started_ms, sequence, is_draining)
         || (rig->probe > 0 && sidecar_rig_answer_probe (rig, AZ_UPSTREAM_OK, started_ms));
}

bool
sidecar_rig_announce (struct sidecar_rig *rig,
                      const char *instance,
                      int64_t started_ms,
                      uint64_t sequence,
                      bool is_draining)
{
  return sidecar_rig_announce_at (rig, "127.0.0.1:1", instance, started_ms, sequence, is_draining);
}

void
sidecar_rig_send_attempt (struct sidecar_rig *rig,
                          uint32_t session,
                          uint64_t job,
                          uint32_t index,
                          uint32_t attempt)
{
  struct az_message message = { .proc = AZ_NODE_RUN };
  struct az_run_task row = { .index = index, .attempt = attempt };
  g_autofree char *job_id = g_strdup_printf ("job%" G_GUINT64_FORMAT, job);

  message.az_message_u.node_run = (struct az_node_run){
    .clock_ms = (uint64_t)(rig->now_ms - rig->request_age_ms),
    .job = job,
    .queue = (char *)rig->queue,
    .job_id = job_id,
    .name = (char *)"job.0.0",
    .specification = { 4, (char *)"spec" },
    .need = rig->need,
    .expected_ms = 100,
    .deadline_ms = 1500,
    .tasks = { 1, &row },
  };
  az_sidecar_received (rig->core, session, &message);
  az_sidecar_flush (rig->core);
}

void
sidecar_rig_send_run (struct sidecar_rig *rig, uint32_t session, uint64_t job, uint32_t index)
{
  sidecar_rig_send_attempt (rig, session, job, index, 1);
}

static struct az_upstream_answer
make_answer (const struct sidecar_rig *rig, enum az_upstream_result result)
{
  return (struct az_upstream_answer){
    .result = result,
    .clock_ms = result == AZ_UPSTREAM_UNANSWERED ? -1 : rig->now_ms,
  };
}

void
sidecar_rig_answer_start (struct sidecar_rig *rig, guint request, enum az_upstream_result result)
{
  const struct az_upstream_answer answer = make_answer (rig, result);

  az_sidecar_start_answered (rig->core, sidecar_rig_get_start (rig, request)->task, &answer);
  az_sidecar_flush (rig->core);
}

void
sidecar_rig_answer_stop (struct sidecar_rig *rig, guint request, enum az_upstream_result result)
{
  const struct az_upstream_answer answer = make_answer (rig, result);

  az_sidecar_stop_answered (
      rig->core, g_array_index (rig->stops, struct sidecar_request, request).task, &answer);
  az_sidecar_flush (rig->core);
}

void
sidecar_rig_answer_hold (struct sidecar_rig *rig, const char *active, const char *done)
{
  g_auto (GStrv) active_names = g_strsplit (active, " ", -1);
  g_auto (GStrv) done_names = g_strsplit (done, " ", -1);
  struct az_upstream_lists lists = { .answer = make_answer (rig, AZ_UPSTREAM_OK) };

  lists.active = g_new0 (struct az_upstream_active, g_strv_length (active_names) + 1);
  lists.ended = g_new0 (struct az_upstream_ended, g_strv_length (done_names) + 1);
  for (char **name = active_names; *name; name++)
    lists.active[lists.n_active++]
        = (struct az_upstream_active){ .task = g_strdup (*name), .attempt = 1, .percent = 50 };
  for (char **name = done_names; *name; name++)
    {
      lists.ended[lists.n_ended] = (struct az_upstream_ended){
        .number = rig->hold_last_processed_end + lists.n_ended + 1,
        .task = g_strdup (*name),
        .attempt = 1,
        .how = AZ_TASK_DONE,
      };
      lists.n_ended++;
    }
  az_sidecar_hold_answered (rig->core, rig->hold, &lists);
  az_upstream_lists_clear (&lists);
  az_sidecar_flush (rig->core);
}

void
sidecar_rig_fail_hold (struct sidecar_rig *rig, enum az_upstream_result result)
{
  struct az_upstream_lists lists = { .answer = make_answer (rig, result) };

  az_sidecar_hold_answered (rig->core, rig->hold, &lists);
  az_sidecar_flush (rig->core);
}

void
sidecar_rig_answer_hold_as (struct sidecar_rig *rig, int64_t started_ms)
{
  const struct az_upstream_lists lists
      = { .answer = { .result = AZ_UPSTREAM_OK, .clock_ms = 5, .started_ms = started_ms } };

  az_sidecar_hold_answered (rig->core, rig->hold, &lists);
  az_sidecar_flush (rig->core);
}

static void
tick (struct sidecar_rig *rig)
{
  rig->now_ms += TICK_MS;
  rig->wall_ms += TICK_MS;
  az_sidecar_tick (rig->core);
  az_sidecar_flush (rig->core);
}

void
sidecar_rig_advance (struct sidecar_rig *rig, int64_t ms)
{
  for (int64_t elapsed = 0; elapsed < ms; elapsed += TICK_MS)
    tick (rig);
}

void
sidecar_rig_send_pulse (struct sidecar_rig *rig, uint32_t session)
{
  const struct az_message pulse = { .proc = AZ_NODE_PULSE };

  az_sidecar_received (rig->core, session, &pulse);
}

void
sidecar_rig_send_delayed_pulse (struct sidecar_rig *rig, uint32_t session, int64_t age_ms)
{
  struct az_message pulse = { .proc = AZ_NODE_PULSE };

  pulse.az_message_u.node_pulse.clock_ms = (uint64_t)(rig->now_ms - age_ms);
  az_sidecar_received (rig->core, session, &pulse);
}

void
sidecar_rig_advance_answering_holds (struct sidecar_rig *rig, int64_t ms, const char *active)
{
  for (int64_t elapsed = 0; elapsed < ms; elapsed += TICK_MS)
    {
      sidecar_rig_send_pulse (rig, 1);
      sidecar_rig_send_pulse (rig, 2);
      tick (rig);
      sidecar_rig_answer_hold (rig, active, "");
    }
}

const struct sidecar_request *
sidecar_rig_get_start (const struct sidecar_rig *rig, guint request)
{
  return &g_array_index (rig->starts, struct sidecar_request, request);
}

int
sidecar_rig_last_event (const struct sidecar_rig *rig)
{
  if (rig->events->len == 0)
    return -1;
  return (int)g_array_index (rig->events, struct az_task_event, rig->events->len - 1).how;
}
