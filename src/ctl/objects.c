#include "azurerock/objects.h"
#include "ctl/ctl.h"

char *
az_ctl_object_directory (const char *directory)
{
  char *objects = g_build_filename (directory, "objects", NULL);

  if (g_file_test (objects, G_FILE_TEST_IS_DIR))
    return objects;
  g_free (objects);
  return g_strdup (directory);
}

static void
print_error (const struct az_object_error *error)
{
  g_printerr ("%s: ", error->file);
  if (error->object)
    g_printerr ("%s: ", error->object);
  if (error->field)
    g_printerr ("%s: ", error->field);
  g_printerr ("%s\n", error->message);
}

struct az_object_set *
az_ctl_load_objects (const char *directory)
{
  g_autofree char *path = az_ctl_object_directory (directory);
  GPtrArray *errors = az_object_errors_create ();
  struct az_object_set *set = az_object_set_load (path, errors);

  for (guint i = 0; i < errors->len; i++)
    print_error (g_ptr_array_index (errors, i));
  if (!set)
    g_printerr ("%u errors\n", errors->len);
  g_ptr_array_unref (errors);
  return set;
}

int
az_ctl_check (const char *directory)
{
  struct az_object_set *set = az_ctl_load_objects (directory);
  uint32_t domains, services, upstreams, policies, teams;

  if (!set)
    return AZ_EXIT_INVALID;
  az_object_set_domains (set, &domains);
  az_object_set_services (set, &services);
  az_object_set_upstreams (set, &upstreams);
  az_object_set_policies (set, &policies);
  az_object_set_teams (set, &teams);
  g_print ("valid: %u domains, %u upstreams, %u services, %u policies, %u teams\n", domains,
           upstreams, services, policies, teams);
  az_object_set_destroy (set);
  return AZ_EXIT_SUCCESS;
}

char *
az_ctl_withdrawn_domains (const struct az_object_set *set)
{
  GString *names = g_string_new (NULL);
  uint32_t count;
  const struct az_domain *domains = az_object_set_domains (set, &count);

  for (uint32_t i = 0; i < count; i++)
    if (!domains[i].in_service)
      g_string_append_printf (names, "%s%s", names->len ? "," : "", domains[i].name);
  return g_string_free (names, FALSE);
}
