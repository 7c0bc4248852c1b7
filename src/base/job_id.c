#include "azurerock/job_id.h"
#include "proto/gen/azurerock.h"
#include <glib.h>
#include <string.h>
#include <xxhash.h>

#define TIME_DIGITS 13
#define TOKEN_LENGTH_MIN 8
#define TOKEN_LENGTH_MAX 64

static bool
is_valid_token (const char *token)
{
  size_t length
      = strspn (token, "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789_-");

  return length >= TOKEN_LENGTH_MIN && length <= TOKEN_LENGTH_MAX && token[length] == '\0';
}

bool
az_job_id_parse (const char *id, int64_t *time_ms)
{
  int64_t time = 0;

  for (int i = 0; i < TIME_DIGITS; i++)
    {
      if (!g_ascii_isdigit (id[i]))
        return false;
      time = time * 10 + (id[i] - '0');
    }
  if (id[TIME_DIGITS] != '-' || !is_valid_token (id + TIME_DIGITS + 1))
    return false;
  *time_ms = time;
  return true;
}

uint32_t
az_job_id_partition (const char *id)
{
  return (uint32_t)(XXH64 (id, strlen (id), 0) % AZ_PARTITIONS);
}
