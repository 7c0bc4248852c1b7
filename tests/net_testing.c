#include "net_testing.h"
#include "testing.h"
#include <arpa/inet.h>
#include <errno.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define TEST_TIMEOUT_MS 5000

static uint64_t
now_ms (void)
{
  return uv_hrtime () / 1000000;
}

void
net_run_until (uv_loop_t *loop, const int *done, int min_count)
{
  uint64_t end_ms = now_ms () + TEST_TIMEOUT_MS;

  while (*done < min_count)
    {
      assert_true (now_ms () < end_ms);
      uv_run (loop, UV_RUN_NOWAIT);
    }
}

void
net_run_for (uv_loop_t *loop, unsigned ms)
{
  uint64_t end_ms = now_ms () + ms;

  while (now_ms () < end_ms)
    uv_run (loop, UV_RUN_NOWAIT);
}

void
net_close_loop (uv_loop_t *loop)
{
  uint64_t end_ms = now_ms () + TEST_TIMEOUT_MS;

  while (uv_run (loop, UV_RUN_NOWAIT))
    assert_true (now_ms () < end_ms);
  assert_int_equal (uv_loop_close (loop), 0);
}

static struct sockaddr_in
loopback (int port)
{
  struct sockaddr_in address = { .sin_family = AF_INET };

  address.sin_port = htons ((uint16_t)port);
  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  return address;
}

int
net_listen (char address[32])
{
  struct sockaddr_in bound = loopback (0);
  socklen_t length = sizeof bound;
  int listener = socket (AF_INET, SOCK_STREAM, 0);

  assert_int_equal (bind (listener, (struct sockaddr *)&bound, length), 0);
  assert_int_equal (listen (listener, 16), 0);
  getsockname (listener, (struct sockaddr *)&bound, &length);
  snprintf (address, 32, "127.0.0.1:%d", ntohs (bound.sin_port));
  return listener;
}

static bool
is_readable (int socket)
{
  struct pollfd poll_fd = { socket, POLLIN, 0 };

  return poll (&poll_fd, 1, 0) == 1;
}

static void
run_until_readable (uv_loop_t *loop, int socket)
{
  uint64_t end_ms = now_ms () + TEST_TIMEOUT_MS;

  while (!is_readable (socket))
    {
      assert_true (now_ms () < end_ms);
      uv_run (loop, UV_RUN_NOWAIT);
    }
}

int
net_accept (uv_loop_t *loop, int listener)
{
  run_until_readable (loop, listener);
  return accept (listener, NULL, NULL);
}

int
net_connect (const char *address)
{
  struct sockaddr_in target = loopback (atoi (strchr (address, ':') + 1));
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  if (connect (fd, (struct sockaddr *)&target, sizeof target) < 0)
    {
      close (fd);
      return -1;
    }
  return fd;
}

void
net_write (int socket, const char *text)
{
  assert_int_equal (send (socket, text, strlen (text), MSG_NOSIGNAL), strlen (text));
}

const char *
net_read_until (uv_loop_t *loop, int socket, const char *text)
{
  static char data[65536];
  size_t length = 0;

  data[0] = '\0';
  while (!strstr (data, text))
    {
      ssize_t n_read;

      run_until_readable (loop, socket);
      n_read = read (socket, data + length, sizeof data - 1 - length);
      assert_true (n_read > 0);
      length += (size_t)n_read;
      data[length] = '\0';
    }
  return data;
}

size_t
net_read_to_end (uv_loop_t *loop, int socket)
{
  static char data[1024 * 1024];
  size_t length = 0;
  ssize_t n_read;

  do
    {
      run_until_readable (loop, socket);
      n_read = read (socket, data, sizeof data);
      length += n_read > 0 ? (size_t)n_read : 0;
    }
  while (n_read > 0);
  return length;
}

bool
net_is_closed (uv_loop_t *loop, int socket)
{
  char data[4096];
  ssize_t n_read;

  do
    {
      run_until_readable (loop, socket);
      n_read = read (socket, data, sizeof data);
    }
  while (n_read > 0);
  return n_read == 0 || errno == ECONNRESET;
}
