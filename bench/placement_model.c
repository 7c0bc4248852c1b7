#include "model/setup.h"
#include <stdio.h>

static gint seed = 1;
static gint seconds = 600;
static char *output = NULL;

static const GOptionEntry options[] = {
  { "seed", 's', 0, G_OPTION_ARG_INT, &seed, "Seed of arrivals, sizes and choices", "N" },
  { "seconds", 't', 0, G_OPTION_ARG_INT, &seconds, "Virtual time of arrivals per run", "N" },
  { "output", 'o', 0, G_OPTION_ARG_FILENAME, &output, "Write JSON to FILE", "FILE" },
  G_OPTION_ENTRY_NULL,
};

int
main (int argc, char **argv)
{
  GOptionContext *context = g_option_context_new ("- compare placement policies in virtual time");
  GError *error = NULL;
  struct model_run_settings run;
  json_t *report;

  g_option_context_add_main_entries (context, options, NULL);
  if (!g_option_context_parse (context, &argc, &argv, &error) || seconds < 120)
    {
      fprintf (stderr, "%s\n", error ? error->message : "--seconds must be at least 120");
      return 2;
    }
  run = (struct model_run_settings){ (guint32)seed, (int64_t)seconds * US_PER_S };
  report = json_pack ("{s:i, s:i}", "seed", seed, "seconds", seconds);
  model_compare_policies (&run, report);
  model_run_scenarios (&run, report);
  if (output && json_dump_file (report, output, JSON_INDENT (2) | JSON_REAL_PRECISION (6)))
    fprintf (stderr, "cannot write %s\n", output);
  json_decref (report);
  g_option_context_free (context);
  return 0;
}
