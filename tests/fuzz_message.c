#include "azurerock/message.h"
#include <string.h>

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

/* Checks that a decoded message is within the limits of the encoder. */
static void
check_encodable (const struct az_message *message)
{
  GByteArray *record = g_byte_array_new ();

  if (!az_message_encode (message, 1, record, NULL))
    g_error ("a decoded message can't be encoded");
  g_byte_array_unref (record);
}

static void
decode (const uint8_t *record, size_t size)
{
  struct az_message message;
  gssize length = az_message_record_length (record, size, NULL);

  if (length > (gssize)size)
    g_error ("a record is longer than its data");
  if (!az_message_decode (record, length > 0 ? (size_t)length : size, &message, NULL))
    return;
  check_encodable (&message);
  az_message_clear (&message);
}

/* Offset of the procedure number: behind mark, xid, direction, RPC version, program and version. */
#define PROCEDURE_OFFSET 24

/* Replaces the first byte of the input by a valid header, which takes its procedure from that byte,
 * so that most inputs reach the decoder of a body. */
static void
decode_with_header (const uint8_t *data, size_t size)
{
  struct az_message message = { .proc = AZ_PROC_NULL };
  GByteArray *record = g_byte_array_new ();
  guint32 mark;

  az_message_encode (&message, 1, record, NULL);
  record->data[PROCEDURE_OFFSET + 3] = data[0] >> 1;
  g_byte_array_append (record, data + 1, (guint)size - 1);
  mark = g_htonl (0x80000000u | (record->len - 4));
  memcpy (record->data, &mark, sizeof mark);
  decode (record->data, record->len);
  g_byte_array_unref (record);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  if (size && data[0] & 1)
    decode_with_header (data, size);
  else
    decode (data, size);
  return 0;
}
