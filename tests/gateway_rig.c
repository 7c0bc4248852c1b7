#include "gateway_rig.h"
#include "dispatch/session_times.h"
#include "testing.h"
#include <string.h>

#define TICK_MS 20
#define CAPACITY_CPU_MILLI 32000
#define TASK_CPU_MILLI 4000

static void
read_clock (void *context, struct timespec *now)
{
  const struct gateway_rig *rig = context;

  *now = az_time_from_ns (rig->now_ms * 1000000);
}

static void
record_run (struct gateway_rig *rig, uint32_t session, const struct az_node_run *message)
{
  rig->received[session]++;
  for (u_int i = 0; i < message->tasks.tasks_len; i++)
    {
      struct gateway_run run = { .session = session,
                                 .job = message->job,
                                 .index = message->tasks.tasks_val[i].index,
                                 .attempt = message->tasks.tasks_val[i].attempt,
                                 .clock_ms = (int64_t)message->clock_ms,
                                 .expected_ms = message->expected_ms };

      g_strlcpy (run.name, message->name, sizeof run.name);
      rig->used_cpu_milli[session] += message->need.cpu_milli;
      g_array_append_val (rig->runs, run);
    }
}

static void
on_send (void *context, uint32_t session, const struct az_message *message)
{
  struct gateway_rig *rig = context;
  const struct az_node_stop *stop = &message->az_message_u.node_stop;

  if (message->proc == AZ_NODE_PULSE && message->az_message_u.node_pulse.wants_updates)
    {
      rig->n_update_requests++;
      rig->n_update_requests_to[session]++;
    }
  if (message->proc == AZ_NODE_CANCEL)
    rig->cancel_number = message->az_message_u.node_cancel.number;
  if (message->proc == AZ_NODE_CANCELLED)
    rig->replied_held = message->az_message_u.node_cancelled.was_held;
  if (message->proc == AZ_NODE_PULSE)
    {
      rig->heartbeat_clock_ms = message->az_message_u.node_pulse.clock_ms;
      rig->heartbeat_cpu_milli[session] = message->az_message_u.node_pulse.waiting_cpu_milli;
    }
  rig->n_catalogs_sent += message->proc == AZ_NODE_CATALOG;
  if (message->proc == AZ_NODE_EVIDENCE)
    {
      rig->n_evidence_sent++;
      rig->evidence = message->az_message_u.node_evidence;
    }
  if (message->proc == AZ_NODE_RUN)
    record_run (rig, session, &message->az_message_u.node_run);
  if (message->proc == AZ_NODE_STOP)
    {
      const struct gateway_run row = {
        .session = session,
        .job = stop->job,
        .index = stop->indexes.indexes_len ? stop->indexes.indexes_val[0] : UINT32_MAX,
      };

      g_array_append_val (rig->stops, row);
    }
}

static void
on_close (void *context, uint32_t session, const char *reason)
{
  struct gateway_rig *rig = context;

  (void)session;
  (void)reason;
  rig->n_closed++;
}

static void
on_connect (void *context, const char *address)
{
  struct gateway_rig *rig = context;

  g_ptr_array_add (rig->connects, g_strdup (address));
}

static void
on_answer (void *context, uint32_t caller, const struct az_job_answer *answer)
{
  struct gateway_rig *rig = context;
  const struct gateway_answer row = { .caller = caller,
                                      .outcome = answer->outcome,
                                      .after_ms = rig->now_ms - 1000,
                                      .retry_after_ms = answer->retry_after_ms };

  g_array_append_val (rig->answers, row);
}

struct az_catalog *
gateway_rig_create_catalog (uint64_t version)
{
  struct az_catalog *catalog = g_new0 (struct az_catalog, 1);
  static const char *const names[] = { "fast", "big" };

  catalog->version = version;
  catalog->routes = g_new0 (struct az_route, G_N_ELEMENTS (names));
  for (size_t i = 0; i < G_N_ELEMENTS (names); i++)
    catalog->routes[catalog->n_routes++] = (struct az_route){
      .name = g_strdup (names[i]),
      .host = g_strdup ("host"),
      .prefix = g_strdup_printf ("/%s/", names[i]),
      .service = g_strdup ("service"),
      .max_failures = 3,
      .slack_factor = 1.6,
      .objective_ms = 60,
      .timeout_ms = 1500,
    };
  return catalog;
}

static void
on_cancelled (void *context, uint32_t caller, enum az_cancel_outcome outcome)
{
  struct gateway_rig *rig = context;

  (void)caller;
  rig->n_cancels++;
  rig->cancel_outcome = outcome;
}

static struct gateway_rig *
create_rig (unsigned n_upstreams, const struct az_gateway_settings *features)
{
  const struct az_gateway_settings settings = {
    .instance = "g1",
    .domain = "d1",
    .address = "127.0.0.1:9",
    .session_timeout_ms = AZ_SESSION_TIMEOUT_MS,
    .orphan_timeout_ms = AZ_ORPHAN_TIMEOUT_MS,
    .cross_domain_cost_ms = 4,
    .apply_ms = 2000,
    .remote_factor = 1.5,
    .share_demand = features->share_demand,
    .fair_queue_shares = features->fair_queue_shares,
    .tail_aware_moves = features->tail_aware_moves,
    .relative_slowness = features->relative_slowness,
    .separate_queues = features->separate_queues,
  };
  struct gateway_rig *rig = g_new0 (struct gateway_rig, 1);
  const struct az_gateway_io io = { on_send, on_close, on_connect, on_answer, on_cancelled, rig };

  rig->now_ms = 1000;
  rig->wait_ms = 1500;
  rig->clock = (struct az_clock){ read_clock, read_clock, rig };
  rig->counters = az_counters_create ();
  rig->runs = g_array_new (FALSE, FALSE, sizeof (struct gateway_run));
  rig->stops = g_array_new (FALSE, FALSE, sizeof (struct gateway_run));
  rig->answers = g_array_new (FALSE, FALSE, sizeof (struct gateway_answer));
  for (size_t i = 0; i < G_N_ELEMENTS (rig->speed); i++)
    {
      rig->speed[i] = 100;
      rig->capacity_milli[i] = CAPACITY_CPU_MILLI;
      rig->incarnation[i] = 100 + i;
    }
  rig->connects = g_ptr_array_new_with_free_func (g_free);
  rig->core = az_gateway_create (&settings, 5, &rig->clock, &io, rig->counters);
  az_gateway_set_store_reachable (rig->core, true);
  az_gateway_set_catalog (rig->core, gateway_rig_create_catalog (1),
                          &(struct az_catalog_origin){ .revision = 1, .text = "{}", .length = 2 });
  for (unsigned i = 1; i <= n_upstreams; i++)
    {
      g_autofree char *instance = g_strdup_printf ("s%u", i);

      gateway_rig_open_upstream (rig, i, instance, "d1", true);
    }
  return rig;
}

struct gateway_rig *
gateway_rig_create (unsigned n_upstreams)
{
  return create_rig (n_upstreams, &(struct az_gateway_settings){ 0 });
}

struct gateway_rig *
gateway_rig_create_tail_aware (unsigned n_upstreams)
{
  return create_rig (n_upstreams, &(struct az_gateway_settings){ .tail_aware_moves = true });
}

struct gateway_rig *
gateway_rig_create_for_uneven_hardware (unsigned n_upstreams)
{
  return create_rig (n_upstreams, &(struct az_gateway_settings){ .tail_aware_moves = true,
                                                                 .relative_slowness = true });
}

struct gateway_rig *
gateway_rig_create_sharing_demand (unsigned n_upstreams)
{
  return create_rig (n_upstreams, &(struct az_gateway_settings){ .share_demand = true });
}

struct gateway_rig *
gateway_rig_create_dividing_by_queue (unsigned n_upstreams)
{
  return create_rig (n_upstreams, &(struct az_gateway_settings){ .fair_queue_shares = true });
}

struct gateway_rig *
gateway_rig_create_separating (unsigned n_upstreams)
{
  return create_rig (n_upstreams, &(struct az_gateway_settings){ .separate_queues = true });
}

void
gateway_rig_destroy (struct gateway_rig *rig)
{
  az_gateway_destroy (rig->core);
  az_counters_destroy (rig->counters);
  g_array_unref (rig->runs);
  g_array_unref (rig->stops);
  g_array_unref (rig->answers);
  g_ptr_array_unref (rig->connects);
  g_free (rig);
}

static void
send_report (struct gateway_rig *rig,
             uint32_t session,
             struct az_task_event *event,
             struct az_task_progress *progress)
{
  struct az_message message = { .proc = AZ_NODE_REPORT };

  message.az_message_u.node_report = (struct az_node_report){
    .clock_ms = (uint64_t)(rig->now_ms - rig->report_delay_ms + GATEWAY_RIG_CLOCK_AHEAD_MS),
    .received = rig->received[session],
    .free = { .memory_mb = 65536 },
    .speed_percent = rig->speed[session],
    .n_done = rig->n_done[session],
    .n_failed = rig->n_failed[session],
    .events = { event ? 1 : 0, event },
    .progress = { progress ? 1 : 0, progress },
  };
  if (rig->capacity_milli[session] > rig->used_cpu_milli[session])
    message.az_message_u.node_report.free.cpu_milli
        = rig->capacity_milli[session] - rig->used_cpu_milli[session];
  az_gateway_received (rig->core, session, &message);
  az_gateway_flush (rig->core);
}

static void
announce_upstream (struct gateway_rig *rig, uint32_t session, uint64_t life, bool is_open)
{
  struct az_message message = { .proc = AZ_NODE_UPSTREAM };
  char *label = (char *)rig->label[session];

  message.az_message_u.node_upstream = (struct az_node_upstream){
    .life = life,
    .open = is_open,
    .service = (char *)(rig->is_unannounced[session] ? "" : "service"),
    .labels = { label ? 1 : 0, &label },
    .capacity = { .cpu_milli = rig->capacity_milli[session], .memory_mb = 65536 },
  };
  az_gateway_received (rig->core, session, &message);
}

void
gateway_rig_report_upstream (struct gateway_rig *rig, uint32_t session, bool is_open)
{
  announce_upstream (rig, session, 1, is_open);
  send_report (rig, session, NULL, NULL);
}

void
gateway_rig_open_upstream (struct gateway_rig *rig,
                           uint32_t session,
                           const char *instance,
                           const char *domain,
                           bool is_open)
{
  struct az_message message = { .proc = AZ_NODE_HELLO };

  message.az_message_u.node_hello = (struct az_node_hello){
    .incarnation = rig->incarnation[session],
    .instance = (char *)instance,
    .domain = (char *)domain,
    .address = (char *)"",
  };
  az_gateway_session_opened (rig->core, session, NULL);
  az_gateway_received (rig->core, session, &message);
  rig->received[session] = 0;
  rig->used_cpu_milli[session] = 0;
  gateway_rig_report_upstream (rig, session, is_open);
}

void
gateway_rig_open_peer (struct gateway_rig *rig, uint32_t session, const char *address)
{
  struct az_message message = { .proc = AZ_NODE_HELLO };

  message.az_message_u.node_hello = (struct az_node_hello){
    .incarnation = rig->incarnation[session],
    .instance = (char *)address,
    .domain = (char *)"d1",
    .address = (char *)address,
  };
  az_gateway_session_opened (rig->core, session, address);
  az_gateway_received (rig->core, session, &message);
}

static void
submit (struct gateway_rig *rig,
        uint32_t caller,
        const char *id,
        const char *route,
        uint32_t n_tasks,
        const char *label)
{
  const struct az_catalog *catalog = az_gateway_catalog (rig->core);
  g_autofree char *path = g_strdup_printf ("/%s/", route);
  struct az_job_request request = { .specification = g_strdup ("spec"), .n_steps = 1 };

  request.steps = g_new0 (struct az_job_step, 1);
  request.steps[0] = (struct az_job_step){ .n_tasks = n_tasks,
                                           .need = { .cpu_milli = TASK_CPU_MILLI, .memory_mb = 64 },
                                           .estimate_ms = 100,
                                           .required_label = g_strdup (label) };
  az_gateway_submit (rig->core, caller, az_catalog_find_route (catalog, "host", path), id, &request,
                     rig->wait_ms);
  az_gateway_flush (rig->core);
}

void
gateway_rig_submit (struct gateway_rig *rig, uint32_t caller, const char *route, uint32_t n_tasks)
{
  g_autofree char *id = g_strdup_printf (GATEWAY_RIG_ID, caller);

  submit (rig, caller, id, route, n_tasks, NULL);
}

void
gateway_rig_submit_as (struct gateway_rig *rig, uint32_t caller, const char *id)
{
  submit (rig, caller, id, "fast", 1, NULL);
}

void
gateway_rig_submit_for_label (struct gateway_rig *rig, uint32_t caller, const char *label)
{
  g_autofree char *id = g_strdup_printf (GATEWAY_RIG_ID, caller);

  submit (rig, caller, id, "fast", 1, label);
}

const struct gateway_run *
gateway_rig_get_run (const struct gateway_rig *rig, guint run)
{
  return &g_array_index (rig->runs, struct gateway_run, run);
}

void
gateway_rig_end_run (struct gateway_rig *rig, guint run, enum az_task_end how, uint32_t run_ms)
{
  struct gateway_run ended = *gateway_rig_get_run (rig, run);
  struct az_task_event event = {
    .job = ended.job,
    .index = ended.index,
    .attempt = ended.attempt,
    .how = how,
    .run_ms = run_ms,
  };

  rig->used_cpu_milli[ended.session] -= TASK_CPU_MILLI;
  rig->n_done[ended.session] += how == AZ_TASK_DONE;
  rig->n_failed[ended.session] += how == AZ_TASK_FAILED;
  send_report (rig, ended.session, &event, NULL);
}

void
gateway_rig_report_crash (struct gateway_rig *rig,
                          uint32_t session,
                          uint32_t caller,
                          uint32_t index)
{
  g_autofree char *id = g_strdup_printf (GATEWAY_RIG_ID, caller);
  struct az_message message = { .proc = AZ_NODE_CRASH };

  message.az_message_u.node_crash
      = (struct az_node_crash){ .queue = (char *)"fast", .job_id = id, .index = index };
  az_gateway_received (rig->core, session, &message);
  az_gateway_flush (rig->core);
}

void
gateway_rig_begin_life (struct gateway_rig *rig, uint32_t session, uint64_t life)
{
  rig->used_cpu_milli[session] = 0;
  rig->n_done[session] = rig->n_failed[session] = 0;
  announce_upstream (rig, session, life, true);
  send_report (rig, session, NULL, NULL);
}

void
gateway_rig_report_progress (struct gateway_rig *rig,
                             guint run,
                             uint32_t elapsed_ms,
                             uint32_t projected_ms)
{
  const struct gateway_run *row = gateway_rig_get_run (rig, run);
  struct az_task_progress progress = {
    .job = row->job,
    .index = row->index,
    .elapsed_ms = elapsed_ms,
    .projected_ms = projected_ms,
  };

  send_report (rig, row->session, NULL, &progress);
}

void
gateway_rig_advance (struct gateway_rig *rig, int64_t ms, uint32_t silent_sessions)
{
  for (int64_t passed = 0; passed < ms; passed += TICK_MS)
    {
      rig->now_ms += TICK_MS;
      for (uint32_t session = 1; session < G_N_ELEMENTS (rig->received); session++)
        if (!(silent_sessions & (1u << session)))
          send_report (rig, session, NULL, NULL);
      az_gateway_tick (rig->core);
      az_gateway_flush (rig->core);
    }
}

int
gateway_rig_get_outcome (const struct gateway_rig *rig, uint32_t caller)
{
  for (guint i = 0; i < rig->answers->len; i++)
    if (g_array_index (rig->answers, struct gateway_answer, i).caller == caller)
      return (int)g_array_index (rig->answers, struct gateway_answer, i).outcome;
  return -1;
}

uint64_t
gateway_rig_read_counter (const struct gateway_rig *rig, const char *name)
{
  g_autoptr (GString) text = g_string_new (NULL);
  g_autofree char *start = g_strdup_printf ("\n%s ", name);
  const char *line;

  az_counters_format (rig->counters, text);
  line = strstr (text->str, start);
  assert_non_null (line);
  return g_ascii_strtoull (line + strlen (start), NULL, 10);
}
