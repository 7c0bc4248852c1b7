#ifndef AZUREROCK_NET_BROKEN_PIPE_H
#define AZUREROCK_NET_BROKEN_PIPE_H

/** az_broken_pipe_ignore - ignores SIGPIPE, so that a write to a closed connection fails with EPIPE
 * instead of killing the process; libuv doesn't do this */
void
az_broken_pipe_ignore (void);

#endif
