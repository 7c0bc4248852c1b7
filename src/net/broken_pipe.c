#include "net/broken_pipe.h"
#include <signal.h>

void
az_broken_pipe_ignore (void)
{
  signal (SIGPIPE, SIG_IGN);
}
