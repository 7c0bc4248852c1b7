#include "dispatch/gateway_addresses.h"
#include "dispatch/metadata_read.h"
#include "gateway/program.h"

#define MEMBER_LEASE_MS 15000
#define MEMBER_RENEW_MS 4000
#define MEMBER_RETRY_MS 1500

static void
on_membership_timer (uv_timer_t *timer);

static void
schedule_membership (struct az_gateway_program *program, uint64_t ms)
{
  if (!program->is_closed)
    uv_timer_start (&program->membership.timer, on_membership_timer, ms, 0);
}

static void
on_member_read (void *context, const struct az_metadata_item *item)
{
  struct az_gateway_program *program = context;

  if (!program->is_closed && item->value)
    az_gateway_add_member (program->gateway, item->value);
}

static void
on_members_read (void *context, enum az_metadata_result result, uint64_t revision)
{
  struct az_gateway_program *program = context;

  (void)revision;
  program->membership.is_list_read = result == AZ_METADATA_OK;
}

static void
read_members (struct az_gateway_program *program)
{
  az_metadata_read_all (program->store, AZ_GATEWAYS_PREFIX,
                        &(struct az_metadata_read){ on_member_read, on_members_read, program });
}

static void
on_lease_renewed (void *context, struct az_metadata_answer *answer)
{
  struct az_gateway_program *program = context;

  if (answer->result == AZ_METADATA_NOT_FOUND)
    program->membership.lease = 0;
  schedule_membership (program,
                       answer->result == AZ_METADATA_OK ? MEMBER_RENEW_MS : MEMBER_RETRY_MS);
}

static void
on_member_written (void *context, struct az_metadata_answer *answer)
{
  struct az_gateway_program *program = context;

  if (answer->result != AZ_METADATA_OK)
    {
      program->membership.lease = 0;
      schedule_membership (program, MEMBER_RETRY_MS);
      return;
    }
  schedule_membership (program, MEMBER_RENEW_MS);
  /* Of two gateways that start at once, the one whose key is written last reads that of the other.
   */
  if (!program->is_closed)
    read_members (program);
}

static void
on_lease_created (void *context, struct az_metadata_answer *answer)
{
  struct az_gateway_program *program = context;
  g_autofree char *key = g_strconcat (AZ_GATEWAYS_PREFIX, program->options->instance, NULL);

  if (program->is_closed || answer->result != AZ_METADATA_OK || answer->lease == 0)
    {
      schedule_membership (program, MEMBER_RETRY_MS);
      return;
    }
  program->membership.lease = answer->lease;
  az_metadata_write (program->store, key, program->options->advertised_address, answer->lease,
                     on_member_written, program);
}

static void
on_membership_timer (uv_timer_t *timer)
{
  struct az_gateway_program *program = timer->data;

  if (!program->membership.is_list_read)
    read_members (program);
  if (program->membership.lease)
    az_metadata_renew_lease (program->store, program->membership.lease, on_lease_renewed, program);
  else
    az_metadata_create_lease (program->store, MEMBER_LEASE_MS, on_lease_created, program);
}

void
az_gateway_program_open_membership (struct az_gateway_program *program)
{
  uv_timer_init (program->loop, &program->membership.timer);
  program->membership.timer.data = program;
  on_membership_timer (&program->membership.timer);
}

void
az_gateway_program_close_membership (struct az_gateway_program *program)
{
  uv_close ((uv_handle_t *)&program->membership.timer, NULL);
}
