#ifndef AZUREROCK_TESTS_NET_TESTING_H
#define AZUREROCK_TESTS_NET_TESTING_H

#include <stdbool.h>
#include <stddef.h>
#include <uv.h>

/*
 * Plain sockets as the other end of what is tested. They block, except that the tests give the
 * loop its turns in between.
 */

/** net_run_until - runs the loop until @*done, or fails after 5 s */
void
net_run_until (uv_loop_t *loop, const int *done, int min_count);

/** net_run_for - runs the loop for a time in which something must not happen */
void
net_run_for (uv_loop_t *loop, unsigned ms);

/** net_run_out - runs the loop until its handles are gone, and closes it */
void
net_run_out (uv_loop_t *loop);

/** net_listen - listens on a free port; @address receives "127.0.0.1:port" */
int
net_listen (char address[32]);

/** net_accept - the next connection, running the loop until it comes */
int
net_accept (uv_loop_t *loop, int listener);
int
net_connect (const char *address);
void
net_write (int socket, const char *text);

/** net_read_until - reads while running the loop until @text has come; returns all bytes in a
 * static buffer */
const char *
net_read_until (uv_loop_t *loop, int socket, const char *text);

/** net_is_closed - whether the other end closes within 5 s; bytes before that are dropped */
bool
net_is_closed (uv_loop_t *loop, int socket);

#endif
