#ifndef AZUREROCK_TESTS_MESSAGE_COPY_H
#define AZUREROCK_TESTS_MESSAGE_COPY_H

#include "azurerock/message.h"

/** message_copy - makes a deep copy by encoding and decoding; free with message_free() */
struct az_message *
message_copy (const struct az_message *message);
void
message_free (void *message);

#endif
