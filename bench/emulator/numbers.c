#include "emulator/play.h"

struct emu_numbers
{
  unsigned n_peers;
  unsigned *places; /* per process and peer */
  unsigned *peers;  /* per process and place */
};

static void
shuffle (unsigned *peers, unsigned n_peers, GRand *random)
{
  for (unsigned i = n_peers; i > 1; i--)
    {
      unsigned other = (unsigned)g_rand_int_range (random, 0, (gint32)i);
      unsigned saved = peers[i - 1];

      peers[i - 1] = peers[other];
      peers[other] = saved;
    }
}

struct emu_numbers *
emu_numbers_create (unsigned n_processes, unsigned n_peers, GRand *random)
{
  struct emu_numbers *numbers = g_new0 (struct emu_numbers, 1);

  numbers->n_peers = n_peers;
  numbers->places = g_new0 (unsigned, (size_t)n_processes *n_peers);
  numbers->peers = g_new0 (unsigned, (size_t)n_processes *n_peers);
  for (size_t process = 0; process < n_processes; process++)
    {
      unsigned *peers = numbers->peers + process * n_peers;

      for (unsigned i = 0; i < n_peers; i++)
        peers[i] = i;
      if (random)
        shuffle (peers, n_peers, random);
      for (unsigned i = 0; i < n_peers; i++)
        numbers->places[process * n_peers + peers[i]] = i;
    }
  return numbers;
}

void
emu_numbers_destroy (struct emu_numbers *numbers)
{
  g_free (numbers->places);
  g_free (numbers->peers);
  g_free (numbers);
}

uint32_t
emu_session_of_peer (const struct emu_numbers *numbers, unsigned process, unsigned peer)
{
  return 1 + numbers->places[(size_t)process * numbers->n_peers + peer];
}

unsigned
emu_peer_of_session (const struct emu_numbers *numbers, unsigned process, uint32_t session)
{
  return numbers->peers[(size_t)process * numbers->n_peers + session - 1];
}
