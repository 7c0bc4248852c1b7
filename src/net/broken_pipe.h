#ifndef AZUREROCK_NET_BROKEN_PIPE_H
#define AZUREROCK_NET_BROKEN_PIPE_H

/** az_broken_pipe_ignore - makes writes to closed connections errors; libuv doesn't prevent the
 * signal that would end the process */
void
az_broken_pipe_ignore (void);

#endif
