#include "sidecar/interference.h"
#include "dispatch/interference.h"
#include <math.h>
#include <string.h>

#define SEND_INTERVAL_MS 5000

/* A message costs a session at most 200 bytes a second. */
#define MESSAGE_BYTES_MAX (SEND_INTERVAL_MS / 1000 * 200)

/* Record mark, call header, procedure, life, and the lengths of the two lists. */
#define MESSAGE_OVERHEAD_BYTES 80
#define ROW_BYTES 16

#define ROWS_MAX (AZ_MAX_KINDS * AZ_MAX_KINDS)

struct az_sidecar_interference
{
  struct az_kind_overlap overlap;
  struct az_interference *estimate;
  int64_t next_send_us;
};

/* Sidecars that start together send at different times, so that gateways get evidence continually.
 */
static int64_t
first_send_ms (uint64_t incarnation)
{
  return (int64_t)((incarnation * 0x9e3779b97f4a7c15u >> 32) % SEND_INTERVAL_MS);
}

void
az_sidecar_open_interference (struct az_sidecar *sidecar)
{
  if (!sidecar->settings.report_interference)
    return;
  sidecar->interference = g_new0 (struct az_sidecar_interference, 1);
  sidecar->interference->estimate = az_interference_create ();
  sidecar->interference->next_send_us
      = sidecar->now_us + first_send_ms (sidecar->incarnation) * AZ_US_PER_MS;
}

void
az_sidecar_close_interference (struct az_sidecar *sidecar)
{
  if (!sidecar->interference)
    return;
  az_interference_destroy (sidecar->interference->estimate);
  g_clear_pointer (&sidecar->interference, g_free);
}

void
az_sidecar_reset_interference (struct az_sidecar *sidecar)
{
  if (!sidecar->interference)
    return;
  az_kind_overlap_reset (&sidecar->interference->overlap);
  az_interference_reset (sidecar->interference->estimate);
}

static void
update_load (struct az_sidecar *sidecar, uint32_t used_milli)
{
  uint32_t capacity_milli = sidecar->life.capacity.cpu_milli;

  az_kind_overlap_set_load (&sidecar->interference->overlap,
                            capacity_milli > 0 ? (double)used_milli / capacity_milli : 1,
                            sidecar->now_us);
}

void
az_sidecar_observe_start (struct az_sidecar *sidecar, struct task *task)
{
  struct az_sidecar_interference *interference = sidecar->interference;

  if (!interference || !task->queue[0])
    return;
  task->overlap_mark = g_new (struct az_overlap_mark, 1);
  update_load (sidecar, sidecar->used.cpu_milli);
  az_kind_overlap_begin (&interference->overlap, task->queue, sidecar->now_us, task->overlap_mark);
}

/* A slow upstream gets single tasks, and a repeated start has an unknown delay. */
static bool
is_comparable (const struct az_sidecar *sidecar, const struct task *task, enum az_task_end how)
{
  return how == AZ_TASK_DONE && task->life == sidecar->life.number && task->n_retries == 0
         && task->expected_us > 0 && !az_speed_is_slow (sidecar->life.speed.value);
}

void
az_sidecar_observe_end (struct az_sidecar *sidecar, struct task *task, enum az_task_end how)
{
  struct az_sidecar_interference *interference = sidecar->interference;
  struct az_overlap overlap;

  if (!interference || !task->overlap_mark)
    return;
  update_load (sidecar,
               sidecar->used.cpu_milli - MIN (task->need.cpu_milli, sidecar->used.cpu_milli));
  if (az_kind_overlap_end (&interference->overlap, task->overlap_mark, sidecar->now_us, &overlap)
      && is_comparable (sidecar, task, how))
    az_interference_record (interference->estimate, az_sidecar_job_key (task), &overlap,
                            log ((double)overlap.run_us / (double)task->expected_us),
                            sidecar->now_us);
  g_clear_pointer (&task->overlap_mark, g_free);
}

/* Rows of the highest weight come first, so those that are left out matter least. */
static unsigned
count_rows_within_limit (const struct az_node_interference *message)
{
  size_t bytes = MESSAGE_OVERHEAD_BYTES;

  for (u_int i = 0; i < message->kinds.kinds_len; i++)
    bytes += 8 + strlen (message->kinds.kinds_val[i]);
  return bytes < MESSAGE_BYTES_MAX ? (unsigned)((MESSAGE_BYTES_MAX - bytes) / ROW_BYTES) : 0;
}

static void
send_to_sessions (struct az_sidecar *sidecar, const struct az_message *message, uint64_t revision)
{
  GHashTableIter iterator;
  gpointer value;

  g_hash_table_iter_init (&iterator, sidecar->sessions);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      struct session *session = value;

      if (!session->gateway || session->reported_life != sidecar->life.number
          || session->reported_interference == revision)
        continue;
      session->reported_interference = revision;
      sidecar->io.send (sidecar->io.context, session->handle, message);
    }
}

/* An effect is a slope, which is beyond the factor at which single ratios are limited if tasks
 * overlap only briefly. A larger factor can't be told from that one. */
static struct az_interference_row
make_row (const struct az_interference_effect *effect)
{
  double bounded = CLAMP (effect->effect, -log (AZ_EFFECT_RATIO_MAX), log (AZ_EFFECT_RATIO_MAX));

  return (struct az_interference_row){
    .slowed = effect->slowed,
    .beside = effect->beside,
    .weight_milli = (u_int)MIN (effect->weight * 1000, UINT32_MAX),
    .effect_milli = (int)lround (bounded * 1000),
  };
}

static void
send_evidence (struct az_sidecar *sidecar)
{
  struct az_sidecar_interference *interference = sidecar->interference;
  struct az_message message = { .proc = AZ_NODE_INTERFERENCE };
  struct az_node_interference *body = &message.az_message_u.node_interference;
  struct az_interference_effect effects[ROWS_MAX];
  struct az_interference_row rows[ROWS_MAX];
  az_name kinds[AZ_MAX_KINDS];
  uint32_t ids[AZ_MAX_KINDS];

  for (unsigned i = 0; i < AZ_MAX_KINDS; i++)
    {
      kinds[i] = interference->overlap.kinds[i].name;
      ids[i] = interference->overlap.kinds[i].id;
    }
  /* A queue that has taken the place of another one may have no task that has ended. */
  az_interference_set_kinds (interference->estimate, ids);
  body->life = sidecar->life.number;
  body->kinds.kinds_val = kinds;
  body->kinds.kinds_len = AZ_MAX_KINDS;
  while (body->kinds.kinds_len > 0 && kinds[body->kinds.kinds_len - 1][0] == '\0')
    body->kinds.kinds_len--;
  body->rows.rows_val = rows;
  body->rows.rows_len = az_interference_list (interference->estimate, sidecar->now_us, effects,
                                              MIN (count_rows_within_limit (body), ROWS_MAX));
  for (u_int i = 0; i < body->rows.rows_len; i++)
    rows[i] = make_row (&effects[i]);
  if (body->rows.rows_len > 0)
    send_to_sessions (sidecar, &message, az_interference_revision (interference->estimate));
}

void
az_sidecar_send_interference (struct az_sidecar *sidecar)
{
  struct az_sidecar_interference *interference = sidecar->interference;

  if (!interference || sidecar->now_us < interference->next_send_us)
    return;
  interference->next_send_us = sidecar->now_us + SEND_INTERVAL_MS * AZ_US_PER_MS;
  send_evidence (sidecar);
}
