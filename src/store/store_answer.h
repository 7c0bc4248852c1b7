#ifndef AZUREROCK_STORE_STORE_ANSWER_H
#define AZUREROCK_STORE_STORE_ANSWER_H

#include "azurerock/store_client.h"

/* The kind of a call determines the format of the response. */
enum az_store_call_kind
{
  AZ_STORE_CALL_READ,
  AZ_STORE_CALL_WATCH,
  AZ_STORE_CALL_WRITE,
  AZ_STORE_CALL_CREATE_SESSION,
  AZ_STORE_CALL_RENEW_SESSION,
  AZ_STORE_CALL_DESTROY_SESSION,
  AZ_STORE_CALL_ACQUIRE,
};

/** az_store_answer_read - decodes an HTTP response; free @answer with az_store_answer_clear() */
void
az_store_answer_read (enum az_store_call_kind kind,
                      const struct az_http_response *response,
                      struct az_store_answer *answer);
void
az_store_answer_clear (struct az_store_answer *answer);

#endif
