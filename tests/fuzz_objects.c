#include "azurerock/configuration.h"
#include <jansson.h>

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

/* Checks that the canonical form of an accepted set is accepted, too. */
static void
check_canonical_form (const struct az_object_set *set)
{
  json_t *objects = az_object_set_to_json (set);
  GPtrArray *errors = az_object_errors_create ();
  struct az_object_set *again = az_object_set_from_json (objects, "again", errors);

  if (!again)
    g_error ("the canonical form of an accepted set is refused");
  az_object_set_destroy (again);
  g_ptr_array_unref (errors);
  json_decref (objects);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  json_t *objects = json_loadb ((const char *)data, size, 0, NULL);
  GPtrArray *errors = az_object_errors_create ();
  struct az_object_set *set = objects ? az_object_set_from_json (objects, "fuzz", errors) : NULL;

  if (objects && !set && !errors->len)
    g_error ("a set was refused without an error");
  if (set)
    check_canonical_form (set);
  az_object_set_destroy (set);
  g_ptr_array_unref (errors);
  json_decref (objects);
  return 0;
}
