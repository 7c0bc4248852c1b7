#ifndef AZUREROCK_TESTS_NET_TESTING_H
#define AZUREROCK_TESTS_NET_TESTING_H

#include <stdbool.h>
#include <stddef.h>
#include <uv.h>

/*
 * Blocking sockets that act as the remote peer of the code under test. Functions that wait run the
 * loop meanwhile, and fail the test after 5 s.
 */

/** net_run_until - runs the loop until *@done is at least @min_count */
void
net_run_until (uv_loop_t *loop, const int *done, int min_count);

/** net_run_for - runs the loop for @ms milliseconds, for checks that something doesn't happen */
void
net_run_for (uv_loop_t *loop, unsigned ms);

/** net_close_loop - runs the loop until its handles are closed, and closes it */
void
net_close_loop (uv_loop_t *loop);

/** net_listen - listens on a free port; stores "127.0.0.1:port" in @address */
int
net_listen (char address[32]);

/** net_accept - accepts the next connection */
int
net_accept (uv_loop_t *loop, int listener);
int
net_connect (const char *address);
void
net_write (int socket, const char *text);

/** net_read_until - reads until @text was received; returns all data in a static buffer */
const char *
net_read_until (uv_loop_t *loop, int socket, const char *text);

/** net_read_to_end - reads and discards data until the peer closes or resets the connection;
 * returns the number of bytes */
size_t
net_read_to_end (uv_loop_t *loop, int socket);

/** net_is_closed - reads and discards data; returns whether the peer closed or reset the
 * connection */
bool
net_is_closed (uv_loop_t *loop, int socket);

#endif
