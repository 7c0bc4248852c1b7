#ifndef AZUREROCK_STORE_STORE_ANSWER_H
#define AZUREROCK_STORE_STORE_ANSWER_H

#include "azurerock/store_client.h"

/* What the answer to a call holds. */
enum az_store_call_kind
{
  AZ_STORE_CALL_READ,
  AZ_STORE_CALL_KEYS,
  AZ_STORE_CALL_TXN,
  AZ_STORE_CALL_CREATE,
  AZ_STORE_CALL_RENEW,
  AZ_STORE_CALL_DESTROY,
  AZ_STORE_CALL_ACQUIRE,
};

/** az_store_answer_read - translates an HTTP response; clear with az_store_answer_clear() */
void
az_store_answer_read (enum az_store_call_kind kind,
                      const struct az_http_response *response,
                      struct az_store_answer *answer);
void
az_store_answer_clear (struct az_store_answer *answer);

#endif
