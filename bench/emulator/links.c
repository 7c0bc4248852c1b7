#include "dispatch/speed.h"
#include "emulator/play.h"
#include <stdlib.h>
#include <string.h>

#define SAME_DOMAIN_DELAY_US 200

unsigned
emu_domain_of_gateway (const struct world *world, unsigned gateway)
{
  return gateway % world->scenario->n_domains;
}

unsigned
emu_domain_of_upstream (const struct world *world, unsigned upstream)
{
  return upstream % world->scenario->n_domains;
}

static int64_t
link_delay_us (const struct world *world, unsigned gateway, unsigned upstream)
{
  if (emu_domain_of_gateway (world, gateway) == emu_domain_of_upstream (world, upstream))
    return SAME_DOMAIN_DELAY_US;
  return (int64_t)(world->scenario->cross_domain_delay_ms * 1000);
}

/* An encoded message in transit; the receiver decodes it, as between processes. */
struct packet
{
  unsigned gateway;
  unsigned upstream;
  guint length;
  uint8_t bytes[];
};

/* Messages of a session arrive in the order of their sending. */
static int64_t
arrival_time_us (struct world *world, const struct packet *packet, int64_t sent_us, int64_t *last)
{
  size_t link = packet->gateway * world->scenario->n_upstreams + packet->upstream;
  double spread = world->scenario->delay_spread;
  int64_t delay_us = link_delay_us (world, packet->gateway, packet->upstream);

  if (spread <= 0)
    return sent_us + delay_us;
  delay_us
      = (int64_t)((double)delay_us * g_rand_double_range (world->random, 1 - spread, 1 + spread));
  last[link] = MAX (last[link], sent_us + delay_us);
  return last[link];
}

static struct packet *
create_packet (unsigned gateway, unsigned upstream, const struct az_message *message)
{
  g_autoptr (GByteArray) bytes = g_byte_array_new ();
  struct packet *packet;

  if (!az_message_encode (message, 0, bytes, NULL))
    abort ();
  packet = g_malloc (sizeof *packet + bytes->len);
  packet->gateway = gateway;
  packet->upstream = upstream;
  packet->length = bytes->len;
  memcpy (packet->bytes, bytes->data, bytes->len);
  return packet;
}

static void
deliver_to_sidecar (void *context, void *data)
{
  struct world *world = context;
  const struct packet *packet = data;
  struct az_message message;

  if (!world->is_powered)
    return;
  if (!az_message_decode (packet->bytes, packet->length, &message, NULL))
    abort ();
  az_sidecar_received (
      world->sidecars[packet->upstream],
      emu_session_of_peer (world->gateway_numbers, packet->upstream, packet->gateway), &message);
  az_sidecar_flush (world->sidecars[packet->upstream]);
  az_message_clear (&message);
}

static void
receive_at_gateway (struct world *world, unsigned gateway, void *data)
{
  const struct packet *packet = data;
  struct az_message message;

  if (!az_message_decode (packet->bytes, packet->length, &message, NULL))
    abort ();
  az_gateway_received (world->gateways[gateway],
                       emu_session_of_peer (world->upstream_numbers, gateway, packet->upstream),
                       &message);
  az_message_clear (&message);
}

static void
deliver_to_gateway (void *context, void *data)
{
  struct world *world = context;
  struct packet *packet = data;

  if (world->is_powered)
    emu_post_to_gateway (world, packet->gateway, EMU_EVENT_MESSAGE, receive_at_gateway, packet,
                         sizeof *packet + packet->length);
}

static void
receive_from_peer (struct world *world, unsigned gateway, void *data)
{
  const struct packet *packet = data;
  struct az_message message;

  if (!az_message_decode (packet->bytes, packet->length, &message, NULL))
    abort ();
  az_gateway_received (world->gateways[gateway], EMU_PEER_SESSION_FIRST + packet->upstream,
                       &message);
  az_message_clear (&message);
}

static void
deliver_to_peer (void *context, void *data)
{
  struct world *world = context;
  struct packet *packet = data;

  if (world->is_powered)
    emu_post_to_gateway (world, packet->gateway, EMU_EVENT_MESSAGE, receive_from_peer, packet,
                         sizeof *packet + packet->length);
}

/* The packet names the sending gateway in place of an upstream. */
static void
send_to_peer (const struct node_context *node, unsigned peer, const struct az_message *message)
{
  struct world *world = node->world;
  bool is_same_domain
      = emu_domain_of_gateway (world, node->index) == emu_domain_of_gateway (world, peer);
  int64_t delay_us = is_same_domain ? SAME_DOMAIN_DELAY_US
                                    : (int64_t)(world->scenario->cross_domain_delay_ms * 1000);

  emu_schedule (world->events, emu_output_time_us (world, node->index) + delay_us, deliver_to_peer,
                world, create_packet (peer, node->index, message));
}

void
emu_send_from_gateway (void *context, uint32_t session, const struct az_message *message)
{
  const struct node_context *node = context;
  struct world *world = node->world;
  int64_t sent_us = emu_output_time_us (world, node->index);
  struct packet *packet;
  unsigned upstream;

  if (session >= EMU_PEER_SESSION_FIRST)
    {
      send_to_peer (node, session - EMU_PEER_SESSION_FIRST, message);
      return;
    }
  upstream = emu_peer_of_session (world->upstream_numbers, node->index, session);
  packet = create_packet (node->index, upstream, message);
  if (message->proc == AZ_NODE_RUN)
    world->metrics.result.n_sent += message->az_message_u.node_run.tasks.tasks_len;
  emu_schedule (world->events, arrival_time_us (world, packet, sent_us, world->to_sidecar_us),
                deliver_to_sidecar, world, packet);
}

static unsigned
count_refused_for_room (const struct az_message *message)
{
  const struct az_node_report *report = &message->az_message_u.node_report;
  unsigned n = 0;

  if (message->proc != AZ_NODE_REPORT)
    return 0;
  for (u_int i = 0; i < report->events.events_len; i++)
    n += report->events.events_val[i].how == AZ_TASK_NO_ROOM;
  return n;
}

void
emu_send_to_gateway (void *context, uint32_t session, const struct az_message *message)
{
  const struct node_context *node = context;
  struct world *world = node->world;
  unsigned gateway = emu_peer_of_session (world->gateway_numbers, node->index, session);
  struct packet *packet = create_packet (gateway, node->index, message);
  int64_t sent_us = emu_now_us (world->events);

  if (message->proc == AZ_NODE_REPORT)
    world->is_reported_slow[node->index]
        = az_speed_is_slow (message->az_message_u.node_report.speed_percent / 100.0);
  world->metrics.result.n_no_room += count_refused_for_room (message);
  emu_schedule (world->events, arrival_time_us (world, packet, sent_us, world->to_gateway_us),
                deliver_to_gateway, world, packet);
}

void
emu_close_session (void *context, uint32_t session, const char *reason)
{
  const struct node_context *node = context;

  (void)session;
  (void)reason;
  node->world->metrics.result.n_closed_sessions++;
}

void
emu_connect_to (void *context, const char *address)
{
  (void)context;
  (void)address;
}
