#include "azurerock/objects.h"
#include "testing.h"
#include <glib/gstdio.h>
#include <string.h>

#define DOMAIN_A "{\"kind\":\"domain\",\"name\":\"a\",\"region\":\"r\"}"
#define POLICY_P "{\"kind\":\"policy\",\"name\":\"p\"}"
#define UPSTREAM_U                                                                                 \
  "{\"kind\":\"upstream\",\"name\":\"u\",\"domains\":[\"a\"],\"slots\":8,\"connections\":64}"
#define SERVICE_S "{\"kind\":\"service\",\"name\":\"s\",\"upstreams\":[\"u\"],\"policy\":\"p\"}"
#define TEAM_T                                                                                     \
  "{\"kind\":\"team\",\"name\":\"t\",\"quota_slots\":10,\"weight\":2,\"services\":[\"s\"]}"
#define BASE DOMAIN_A "," POLICY_P "," UPSTREAM_U "," SERVICE_S

static struct az_object_set *
parse (const char *text, GPtrArray *errors)
{
  json_t *json = json_loads (text, 0, NULL);
  struct az_object_set *set;

  assert_non_null (json);
  set = az_object_set_from_json (json, "objects.json", errors);
  json_decref (json);
  return set;
}

static bool
has_error (const GPtrArray *errors, const char *object, const char *field, const char *message)
{
  for (guint i = 0; i < errors->len; i++)
    {
      const struct az_object_error *error = g_ptr_array_index (errors, i);

      if (!g_strcmp0 (error->object, object) && !g_strcmp0 (error->field, field)
          && strstr (error->message, message))
        return true;
    }
  return false;
}

/* Checks that a set with one wrong field is rejected with exactly one error. */
static void
assert_one_error (const char *text, const char *object, const char *field, const char *message)
{
  GPtrArray *errors = az_object_errors_create ();
  struct az_object_set *set = parse (text, errors);

  assert_null (set);
  assert_int_equal (errors->len, 1);
  assert_true (has_error (errors, object, field, message));
  assert_string_equal (((struct az_object_error *)g_ptr_array_index (errors, 0))->file,
                       "objects.json");
  g_ptr_array_unref (errors);
}

/* Guards against references that point to the wrong object after sorting, and against lost default
 * values. */
static void
test_valid_set (void **state)
{
  GPtrArray *errors = az_object_errors_create ();
  struct az_object_set *set = parse ("[" TEAM_T "," BASE "]", errors);
  const struct az_service *service;
  const struct az_upstream *upstream;
  const struct az_policy *policy;
  uint32_t count;

  assert_int_equal (errors->len, 0);
  assert_non_null (set);
  service = az_object_set_services (set, &count);
  assert_int_equal (count, 1);
  upstream = &az_object_set_upstreams (set, &count)[service->upstreams[0]];
  assert_string_equal (upstream->name, "u");
  assert_int_equal (upstream->slots, 8);
  assert_true (upstream->in_service);
  assert_string_equal (az_object_set_domains (set, &count)[upstream->domains[0]].name, "a");
  policy = &az_object_set_policies (set, &count)[service->policy];
  assert_int_equal (policy->result_retention_ms, 60000);
  assert_int_equal (policy->ejection.failures, 5);
  assert_int_equal (az_object_set_teams (set, &count)->weight, 2);
  assert_int_equal (az_object_set_find_team (set, "t"), 0);
  assert_int_equal (az_object_set_find_team (set, "u"), -1);
  az_object_set_destroy (set);
  g_ptr_array_unref (errors);
}

/* Guards against a canonical form that depends on the order of files. */
static void
test_canonical_form_is_stable (void **state)
{
  GPtrArray *errors = az_object_errors_create ();
  struct az_object_set *a = parse ("[" TEAM_T "," BASE "]", errors);
  struct az_object_set *b = parse ("[" BASE "," TEAM_T "]", errors);
  json_t *json_a = az_object_set_to_json (a);
  json_t *json_b = az_object_set_to_json (b);
  struct az_object_set *c = az_object_set_from_json (json_a, "again", errors);
  json_t *json_c = az_object_set_to_json (c);

  assert_true (json_equal (json_a, json_b));
  assert_true (json_equal (json_a, json_c));
  assert_int_equal (json_array_size (json_a), 5);
  json_decref (json_a);
  json_decref (json_b);
  json_decref (json_c);
  az_object_set_destroy (a);
  az_object_set_destroy (b);
  az_object_set_destroy (c);
  g_ptr_array_unref (errors);
}

/* Guards against a check that stops at the first error, so that operators need one run per error.
 */
static void
test_all_errors_at_once (void **state)
{
  GPtrArray *errors = az_object_errors_create ();
  struct az_object_set *set = parse (
      "[" POLICY_P ","
      "{\"kind\":\"upstream\",\"name\":\"u\",\"domains\":[\"x\"],\"slots\":0,\"connections\":1.5,"
      "\"colour\":1},"
      "{\"kind\":\"service\",\"name\":\"s\",\"upstreams\":[\"u\",\"u\"],\"policy\":7},"
      "{\"kind\":\"robot\",\"name\":\"r\"},{\"kind\":\"team\"},3]",
      errors);

  assert_null (set);
  assert_true (has_error (errors, "upstream/u", "domains[0]", "no domain is named \"x\""));
  assert_true (has_error (errors, "upstream/u", "slots", "0 is out of range"));
  assert_true (has_error (errors, "upstream/u", "connections", "must be an integer"));
  assert_true (has_error (errors, "upstream/u", "colour", "unknown field"));
  assert_true (has_error (errors, "service/s", "upstreams[1]", "listed more than once"));
  assert_true (has_error (errors, "service/s", "policy", "must be the name of a policy"));
  assert_true (has_error (errors, "robot/r", "kind", "unknown kind \"robot\""));
  assert_true (has_error (errors, "team/?", "name", "missing"));
  assert_true (has_error (errors, NULL, NULL, "must be an object"));
  assert_int_equal (errors->len, 9);
  g_ptr_array_unref (errors);
}

/* Guards against an error that is reported only if the set has a second error. */
static void
test_single_errors (void **state)
{
  assert_one_error ("[" BASE ",{\"kind\":\"team\",\"name\":\"t\",\"quota_slots\":1,\"weight\":0,"
                    "\"services\":[\"s\"]}]",
                    "team/t", "weight", "out of range");
  assert_one_error ("[" BASE ",{\"kind\":\"team\",\"name\":\"t\",\"quota_slots\":1,"
                    "\"services\":[\"nowhere\"]}]",
                    "team/t", "services[0]", "no service is named \"nowhere\"");
  assert_one_error ("[" BASE "," POLICY_P "]", "policy/p", "name", "already used");
  assert_one_error ("[" DOMAIN_A "]", NULL, NULL, "no service is defined");
  assert_one_error ("[]", NULL, NULL, "no service is defined");
  assert_one_error ("[" BASE ",{\"kind\":\"policy\",\"name\":\"q\",\"ejection\":{\"windows\":1}}]",
                    "policy/q", "ejection.windows", "unknown field");
  assert_one_error ("[" BASE ",{\"kind\":\"policy\",\"name\":\"q\",\"ejection\":[]}]", "policy/q",
                    "ejection", "must be an object");
  assert_one_error ("[" BASE ",{\"kind\":\"policy\",\"name\":\"q\",\"deadline_default_ms\":9000,"
                    "\"deadline_max_ms\":8000}]",
                    "policy/q", "deadline_default_ms", "greater than");
  assert_one_error ("[" BASE ",{\"kind\":\"domain\",\"name\":\"b\"}]", "domain/b", "region",
                    "missing");
  assert_one_error ("[" BASE ",{\"kind\":\"domain\",\"name\":\"b c\",\"region\":\"r\"}]",
                    "domain/b c", "name", "characters");
  assert_one_error ("[" BASE ",{\"kind\":\"domain\",\"name\":\"b\",\"region\":\"r\","
                    "\"in_service\":\"no\"}]",
                    "domain/b", "in_service", "true or false");
  assert_one_error ("{}", NULL, NULL, "array of objects");
}

static void
write_file (const char *directory, const char *name, const char *text)
{
  g_autofree char *path = g_build_filename (directory, name, NULL);

  assert_true (g_file_set_contents (path, text, -1, NULL));
}

static void
remove_file (const char *directory, const char *name)
{
  g_autofree char *path = g_build_filename (directory, name, NULL);

  g_remove (path);
}

/* Guards against a syntax error that hides the errors of other files, and against skipped
 * subdirectories. */
static void
test_load_directory (void **state)
{
  GPtrArray *errors = az_object_errors_create ();
  g_autofree char *directory = g_dir_make_tmp ("azurerock-XXXXXX", NULL);
  g_autofree char *sub = g_build_filename (directory, "sub", NULL);

  g_mkdir (sub, 0755);
  write_file (directory, "a.json", "[" DOMAIN_A "," UPSTREAM_U "]");
  write_file (sub, "b.json", SERVICE_S);
  write_file (directory, "broken.json", "{\"kind\":");
  write_file (directory, "notes.txt", "no JSON");
  assert_null (az_object_set_load (directory, errors));
  assert_true (has_error (errors, NULL, NULL, "line 1"));
  assert_true (has_error (errors, "service/s", "policy", "no policy is named \"p\""));
  assert_int_equal (errors->len, 2);
  assert_true (g_str_has_suffix (((struct az_object_error *)g_ptr_array_index (errors, 1))->file,
                                 "sub/b.json"));
  g_ptr_array_set_size (errors, 0);
  write_file (directory, "broken.json", POLICY_P);
  az_object_set_destroy (az_object_set_load (directory, errors));
  assert_int_equal (errors->len, 0);
  remove_file (directory, "a.json");
  remove_file (directory, "broken.json");
  remove_file (directory, "notes.txt");
  remove_file (sub, "b.json");
  g_rmdir (sub);
  g_rmdir (directory);
  assert_null (az_object_set_load (directory, errors));
  assert_true (errors->len > 0);
  g_ptr_array_unref (errors);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_valid_set),          cmocka_unit_test (test_canonical_form_is_stable),
    cmocka_unit_test (test_all_errors_at_once), cmocka_unit_test (test_single_errors),
    cmocka_unit_test (test_load_directory),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
