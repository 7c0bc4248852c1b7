#include "azurerock/configuration.h"
#include "azurerock/entry_core.h"
#include "azurerock/limits.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/*
 * Measures the tasks per second of CPU time that one entry core dispatches to simulated agents,
 * which finish each task at once. Message encoding and sockets are not included. Usage:
 * entry_dispatch [agents] [tasks per job] [jobs]
 */
#define SLOTS_PER_AGENT 8
#define JOBS_PER_BATCH 4
#define OPEN_JOBS_MAX 8
#define N_TEAMS 21

/* A task that an agent has started; its result is outstanding. */
struct pending
{
  uint32_t connection;
  uint32_t task;
  uint32_t attempt;
  char job[AZ_MAX_JOB_ID + 1];
};

struct bench
{
  struct az_entry_core *core;
  GArray *pending; /* struct pending */
  uint64_t last_grant;
  uint64_t sequence;
  uint64_t n_started;
  uint64_t n_answered;
  uint64_t n_messages;
  struct az_table table;
  bool has_written_table;
  int64_t now_ns;
};

static void
read_clock (void *context, struct timespec *now)
{
  const struct bench *bench = context;

  *now = az_time_from_ns (bench->now_ns);
}

static void
on_send (void *context, uint32_t connection, const struct az_message *message)
{
  struct bench *bench = context;
  const struct az_start *start = &message->az_message_u.start;

  bench->n_messages++;
  if (message->proc != AZ_START)
    return;
  for (uint32_t i = 0; i < start->tasks.tasks_len; i++)
    {
      struct pending pending = { connection, start->tasks.tasks_val[i].id.task,
                                 start->tasks.tasks_val[i].id.attempt, "" };

      g_strlcpy (pending.job, start->tasks.tasks_val[i].id.job, sizeof pending.job);
      g_array_append_val (bench->pending, pending);
      bench->n_started++;
    }
}

static void
on_connect (void *context, const char *rpc_address)
{
  (void)context;
  (void)rpc_address;
}

static void
on_answer (void *context, uint32_t request, const struct az_answer *answer)
{
  struct bench *bench = context;

  (void)request;
  if (!answer || answer->outcome != AZ_OUTCOME_DONE)
    {
      fprintf (stderr, "job not completed: %s\n", answer ? answer->code : "pending");
      exit (1);
    }
  bench->n_answered++;
}

static void
on_write_table (void *context, const struct az_table *table, uint64_t expected_index)
{
  struct bench *bench = context;

  (void)expected_index;
  az_owner_table_copy (&bench->table, table);
  bench->has_written_table = true;
}

static char *
create_document (void)
{
  GString *text = g_string_new (NULL);

  g_string_append (
      text,
      "{\"revision\":1,\"publish_id\":\"p\",\"author\":\"a\",\"time\":\"2026-12-04T00:00:00Z\","
      "\"message\":\"\",\"objects\":[{\"kind\":\"domain\",\"name\":\"d\",\"region\":\"r\"},"
      "{\"kind\":\"upstream\",\"name\":\"u\",\"domains\":[\"d\"],\"slots\":8,\"connections\":64},"
      "{\"kind\":\"policy\",\"name\":\"p\"},"
      "{\"kind\":\"service\",\"name\":\"s\",\"upstreams\":[\"u\"],\"policy\":\"p\"}");
  for (int i = 0; i < N_TEAMS; i++)
    g_string_append_printf (text,
                            ",{\"kind\":\"team\",\"name\":\"t%d\",\"quota_slots\":10000,"
                            "\"weight\":1,\"services\":[\"s\"],\"max_queued_tasks\":100000}",
                            i);
  g_string_append (text, "]}");
  return g_string_free (text, FALSE);
}

static void
read_store (struct bench *bench, const char *config, const char *owners)
{
  static const uint64_t session = 1;
  struct az_store_reading reading = {
    .sent = az_time_from_ns (bench->now_ns),
    .config = config,
    .config_length = config ? strlen (config) : 0,
    .owners = owners,
    .owners_length = owners ? strlen (owners) : 0,
    .owners_absent = !bench->has_written_table,
    .owners_index = bench->has_written_table,
    .sessions = &session,
    .n_sessions = 1,
  };

  az_entry_core_store_read (bench->core, &reading);
}

static void
make_ready (struct bench *bench)
{
  char *document = create_document ();
  char *owners;

  read_store (bench, document, NULL);
  az_entry_core_tick (bench->core);
  owners = az_owner_table_format (&bench->table);
  read_store (bench, NULL, owners);
  free (owners);
  g_free (document);
}

static void
receive (struct bench *bench, uint32_t connection, const struct az_message *message)
{
  const char *reason = az_entry_core_message_received (bench->core, connection, message);

  bench->n_messages++;
  if (!reason)
    return;
  fprintf (stderr, "message from connection %u rejected: %s\n", connection, reason);
  exit (1);
}

static void
add_agent (struct bench *bench, uint32_t connection)
{
  struct az_grant grants[SLOTS_PER_AGENT];
  struct az_message message = { .proc = AZ_HELLO };
  struct az_message offer = { .proc = AZ_GRANT };
  char instance[32];

  g_snprintf (instance, sizeof instance, "agent-%u", connection);
  message.az_message_u.hello.incarnation = 1000 + connection;
  message.az_message_u.hello.instance = instance;
  message.az_message_u.hello.upstream = (char *)"u";
  message.az_message_u.hello.domain = (char *)"d";
  message.az_message_u.hello.slots = SLOTS_PER_AGENT;
  az_entry_core_connection_opened (bench->core, connection, false, "");
  receive (bench, connection, &message);
  for (uint32_t i = 0; i < SLOTS_PER_AGENT; i++)
    grants[i] = (struct az_grant){ ++bench->last_grant, AZ_GRANT_LIFETIME_MS };
  offer.az_message_u.grant.grants.grants_len = SLOTS_PER_AGENT;
  offer.az_message_u.grant.grants.grants_val = grants;
  receive (bench, connection, &offer);
}

static void
submit (struct bench *bench, uint32_t number, uint32_t n_tasks)
{
  static struct az_job_task tasks[AZ_MAX_TASKS];
  char id[AZ_MAX_JOB_ID + 1];
  char team[16];
  struct az_submit job = { .job = id, .team = team, .service = (char *)"s" };

  g_snprintf (id, sizeof id, "%" G_GINT64_FORMAT "-job%08u", bench->now_ns / 1000000, number);
  g_snprintf (team, sizeof team, "t%u", number % N_TEAMS);
  for (uint32_t i = 0; i < n_tasks; i++)
    tasks[i].payload = (az_payload){ 16, (char *)"0123456789abcdef" };
  job.tasks.tasks_len = n_tasks;
  job.tasks.tasks_val = tasks;
  az_entry_core_submit (bench->core, number + 1, &job, true);
}

/* Sends a separate RESULT, with one grant in it, for each task, as agents do when tasks end at
 * different times. */
static void
finish_pending (struct bench *bench)
{
  GArray *finished = bench->pending;

  bench->pending = g_array_new (FALSE, FALSE, sizeof (struct pending));
  for (guint i = 0; i < finished->len; i++)
    {
      struct pending *pending = &g_array_index (finished, struct pending, i);
      struct az_result_task result = {
        .sequence = ++bench->sequence,
        .id = { pending->job, pending->task, pending->attempt },
        .run_us = 100000,
        .payload = { 16, (char *)"0123456789abcdef" },
      };
      struct az_grant grant = { ++bench->last_grant, AZ_GRANT_LIFETIME_MS };
      struct az_message message = { .proc = AZ_RESULT };

      message.az_message_u.result.results.results_len = 1;
      message.az_message_u.result.results.results_val = &result;
      message.az_message_u.result.grants.grants_len = 1;
      message.az_message_u.result.grants.grants_val = &grant;
      receive (bench, pending->connection, &message);
    }
  g_array_unref (finished);
}

static int64_t
cpu_us (void)
{
  struct timespec used;

  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &used);
  return az_time_to_ns (used) / 1000;
}

static void
run (struct bench *bench, uint32_t n_jobs, uint32_t n_tasks)
{
  uint32_t submitted = 0;

  while (bench->n_answered < n_jobs)
    {
      for (uint32_t i = 0; i < JOBS_PER_BATCH && submitted < n_jobs
                           && submitted - bench->n_answered < OPEN_JOBS_MAX;
           i++)
        submit (bench, submitted++, n_tasks);
      az_entry_core_flush (bench->core);
      finish_pending (bench);
      az_entry_core_flush (bench->core);
      bench->now_ns += 1000000;
      if (bench->now_ns / 1000000 % 10 == 0)
        {
          read_store (bench, NULL, NULL);
          az_entry_core_tick (bench->core);
        }
    }
}

int
main (int argc, char **argv)
{
  struct bench bench = { .now_ns = 1796361241000000000 };
  struct az_clock clock = { read_clock, read_clock, &bench };
  struct az_entry_io io = { on_send, on_connect, on_answer, on_write_table, &bench };
  struct az_entry_settings settings;
  uint32_t n_agents = argc > 1 ? (uint32_t)atoi (argv[1]) : 88;
  uint32_t n_tasks = argc > 2 ? (uint32_t)atoi (argv[2]) : 100;
  uint32_t n_jobs = argc > 3 ? (uint32_t)atoi (argv[3]) : 5000;
  struct az_counters *counters = az_counters_create ();
  GRand *random = g_rand_new_with_seed (1);
  int64_t cpu_time_us;

  az_entry_settings_init (&settings);
  settings.instance = "bench";
  bench.pending = g_array_new (FALSE, FALSE, sizeof (struct pending));
  bench.core = az_entry_core_create (&settings, 1, &clock, random, &io, counters, NULL);
  make_ready (&bench);
  for (uint32_t i = 1; i <= n_agents; i++)
    add_agent (&bench, i);
  bench.n_messages = 0;
  cpu_time_us = cpu_us ();
  run (&bench, n_jobs, n_tasks);
  cpu_time_us = cpu_us () - cpu_time_us;
  printf ("%u agents, %u jobs of %u tasks: %.0f tasks/s, %.2f us/task, %.2f messages/task\n",
          n_agents, n_jobs, n_tasks, (double)bench.n_started * 1e6 / (double)cpu_time_us,
          (double)cpu_time_us / (double)bench.n_started,
          (double)bench.n_messages / (double)bench.n_started);
  az_entry_core_destroy (bench.core);
  az_owner_table_clear (&bench.table);
  g_array_unref (bench.pending);
  az_counters_destroy (counters);
  g_rand_free (random);
  return 0;
}
