#include "gateway/state.h"

struct session *
az_gateway_get_session (const struct az_gateway *gateway, uint32_t handle)
{
  return g_hash_table_lookup (gateway->sessions, GUINT_TO_POINTER (handle));
}

struct upstream *
az_gateway_get_upstream (const struct az_gateway *gateway, uint32_t handle)
{
  if (handle == 0 || handle > gateway->upstreams->len)
    return NULL;
  return gateway->upstreams->pdata[handle - 1];
}
