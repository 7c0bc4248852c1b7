#ifndef AZUREROCK_MESSAGE_H
#define AZUREROCK_MESSAGE_H

#include "proto/gen/azurerock.h"
#include <glib.h>

/** Maximum length of a record without its 4-byte mark, in bytes. */
#define AZ_RECORD_MAX 8388608u

enum az_message_error
{
  AZ_MESSAGE_ERROR_MALFORMED,
  AZ_MESSAGE_ERROR_TOO_LONG,
  AZ_MESSAGE_ERROR_VERSION,
  AZ_MESSAGE_ERROR_PROCEDURE,
};

#define AZ_MESSAGE_ERROR (az_message_error_quark ())
GQuark
az_message_error_quark (void);

/**
 * az_message_encode - appends a record to @out: record mark, RPC call header and body
 * @xid: number of the message on its connection
 *
 * Return: FALSE with @out unchanged on error; %AZ_MESSAGE_ERROR_TOO_LONG if a field or the record
 * is longer than allowed.
 */
gboolean
az_message_encode (const struct az_message *message, uint32_t xid, GByteArray *out, GError **error);

/**
 * az_message_record_length - returns the length of the first record in @data with its 4-byte mark
 *
 * Return: 0 if @data doesn't hold the whole record yet; -1 with @error if the mark states more than
 * %AZ_RECORD_MAX bytes or is not that of a last fragment.
 */
gssize
az_message_record_length (const uint8_t *data, size_t length, GError **error);

/**
 * az_message_decode - decodes one whole record of @length bytes including its mark
 * @message: receives the message; free with az_message_clear() on success
 */
gboolean
az_message_decode (const uint8_t *record,
                   size_t length,
                   struct az_message *message,
                   GError **error);
void
az_message_clear (struct az_message *message);

/** az_message_name - returns the name of a message for logs, or "unknown" */
const char *
az_message_name (az_proc proc);

#endif
