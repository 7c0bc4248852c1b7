#include "azurerock/log.h"
#include "gateway_rig.h"
#include "sidecar_rig.h"
#include <string.h>

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

/* Sends sequences of messages in any order to a gateway and a sidecar. Each message arrives on one
 * of a few sessions, which open and close while time passes. */

#define N_SESSIONS 3
#define STEP_MS 20

/* Offset of the procedure number: record mark, xid, call, RPC version, program, version. */
#define PROCEDURE_OFFSET 24

struct input
{
  const uint8_t *data;
  size_t size;
};

struct world
{
  struct input input;
  struct gateway_rig *gateway;
  struct sidecar_rig *sidecar;
  bool is_open[N_SESSIONS + 1];
  uint32_t n_callers;
};

static uint8_t
take_byte (struct input *input)
{
  if (input->size == 0)
    return 0;
  input->size--;
  return *input->data++;
}

static const uint8_t *
take_bytes (struct input *input, size_t *n)
{
  const uint8_t *bytes = input->data;

  *n = MIN (*n, input->size);
  input->data += *n;
  input->size -= *n;
  return bytes;
}

/* Builds a message from a valid header and the next bytes of the input, which are its body. */
static bool
take_message (struct input *input, struct az_message *message)
{
  struct az_message empty = { .proc = AZ_PROC_NULL };
  g_autoptr (GByteArray) record = g_byte_array_new ();
  size_t n;
  const uint8_t *body;
  guint32 mark;

  az_message_encode (&empty, 1, record, NULL);
  record->data[PROCEDURE_OFFSET + 3]
      = (uint8_t)(AZ_NODE_HELLO + take_byte (input) % (AZ_NODE_EVIDENCE - AZ_NODE_HELLO + 1));
  n = (size_t)take_byte (input) * 4;
  body = take_bytes (input, &n);
  g_byte_array_append (record, body, (guint)n);
  mark = g_htonl (0x80000000u | (record->len - 4));
  memcpy (record->data, &mark, sizeof mark);
  return az_message_decode (record->data, record->len, message, NULL);
}

static void
deliver (struct world *world, uint32_t session)
{
  struct az_message message;

  if (!take_message (&world->input, &message))
    return;
  az_gateway_received (world->gateway->core, session, &message);
  az_sidecar_received (world->sidecar->core, session, &message);
  az_message_clear (&message);
}

static void
open_session (struct world *world, uint32_t session)
{
  if (world->is_open[session])
    return;
  world->is_open[session] = true;
  az_gateway_session_opened (world->gateway->core, session, NULL);
  az_sidecar_session_opened (world->sidecar->core, session);
}

static void
close_session (struct world *world, uint32_t session)
{
  world->is_open[session] = false;
  az_gateway_session_closed (world->gateway->core, session, "closed");
  az_sidecar_session_closed (world->sidecar->core, session, "closed");
}

static void
pass (struct world *world, unsigned n_steps)
{
  world->gateway->now_ms += n_steps * STEP_MS;
  world->sidecar->now_ms += n_steps * STEP_MS;
  az_gateway_tick (world->gateway->core);
  az_sidecar_tick (world->sidecar->core);
}

/* Delivers a heartbeat of any writer. None may end a task, since it proves nothing. */
static void
announce (struct world *world)
{
  static const char *const instances[] = { "i1", "i2" };
  static const char *const addresses[] = { "127.0.0.1:1", "127.0.0.1:2", "x" };
  static const char *const services[] = { "service", "unnamed" };
  static const char *const labels[] = { NULL, "a" };
  struct sidecar_rig *rig = world->sidecar;
  uint8_t choice = take_byte (&world->input);
  guint n_events;

  az_sidecar_flush (rig->core);
  n_events = rig->events->len;
  rig->service = services[choice % 2];
  rig->label = labels[choice / 2 % 2];
  rig->clock_ms = choice / 4 % 2 ? -1 : (int64_t)take_byte (&world->input) << (choice / 8 % 56);
  sidecar_rig_announce_unanswered (rig, addresses[choice % 3], instances[choice / 64 % 2],
                                   take_byte (&world->input), take_byte (&world->input));
  az_sidecar_flush (rig->core);
  if (rig->events->len != n_events)
    g_error ("a heartbeat ended a task");
}

static void
answer_probe (struct world *world)
{
  enum az_upstream_result result = take_byte (&world->input) % (AZ_UPSTREAM_UNANSWERED + 1);

  sidecar_rig_answer_probe (world->sidecar, result, take_byte (&world->input));
}

static void
play (struct world *world)
{
  uint8_t choice = take_byte (&world->input);
  uint32_t session = 1 + (choice >> 4) % N_SESSIONS;

  switch (choice % 10)
    {
    case 0:
      open_session (world, session);
      break;
    case 1:
      close_session (world, session);
      break;
    case 2:
      pass (world, take_byte (&world->input));
      break;
    case 3:
      gateway_rig_submit (world->gateway, ++world->n_callers, "fast", 1 + session);
      break;
    case 4:
      sidecar_rig_answer_hold (world->sidecar, "", "");
      break;
    case 5:
      announce (world);
      break;
    case 6:
      answer_probe (world);
      break;
    default:
      deliver (world, session);
      break;
    }
  az_gateway_flush (world->gateway->core);
  az_sidecar_flush (world->sidecar->core);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  struct world world = {
    .input = { data, size },
    .gateway = gateway_rig_create (1),
    .sidecar = sidecar_rig_create (),
    .is_open = { false, true, true },
  };

  az_log_init ("fuzz", LOG_EMERG);
  while (world.input.size > 0)
    play (&world);
  gateway_rig_destroy (world.gateway);
  sidecar_rig_destroy (world.sidecar);
  return 0;
}
