#include "azurerock/metadata.h"
#include <glib.h>
#include <string.h>

void
az_metadata_answer_clear (struct az_metadata_answer *answer)
{
  for (size_t i = 0; i < answer->n_items; i++)
    {
      g_free (answer->items[i].key);
      g_free (answer->items[i].value);
    }
  g_free (answer->items);
  memset (answer, 0, sizeof *answer);
}
