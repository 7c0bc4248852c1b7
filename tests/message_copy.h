#ifndef AZUREROCK_TESTS_MESSAGE_COPY_H
#define AZUREROCK_TESTS_MESSAGE_COPY_H

#include "azurerock/message.h"

/** message_copy - a deep copy, through XDR as on a connection; free with message_free() */
struct az_message *
message_copy (const struct az_message *message);
void
message_free (void *message);

#endif
