#include "azurerock/clock.h"
#include <stddef.h>

#define NS_PER_S 1000000000LL
#define NS_PER_MS 1000000LL
#define NS_PER_US 1000LL

static void
read_boottime (void *context, struct timespec *now)
{
  (void)context;
  clock_gettime (CLOCK_BOOTTIME, now);
}

static void
read_realtime (void *context, struct timespec *now)
{
  (void)context;
  clock_gettime (CLOCK_REALTIME, now);
}

const struct az_clock *
az_clock_system (void)
{
  static const struct az_clock clock = { read_boottime, read_realtime, NULL };

  return &clock;
}

struct timespec
az_clock_now (const struct az_clock *clock)
{
  struct timespec now;

  clock->monotonic (clock->context, &now);
  return now;
}

int64_t
az_clock_wall_ms (const struct az_clock *clock)
{
  struct timespec now;

  clock->wall (clock->context, &now);
  return az_time_to_ns (now) / NS_PER_MS;
}

int64_t
az_time_to_ns (struct timespec time)
{
  return (int64_t)time.tv_sec * NS_PER_S + time.tv_nsec;
}

struct timespec
az_time_from_ns (int64_t ns)
{
  struct timespec time = { .tv_sec = ns / NS_PER_S, .tv_nsec = ns % NS_PER_S };

  if (time.tv_nsec < 0)
    {
      time.tv_sec--;
      time.tv_nsec += NS_PER_S;
    }
  return time;
}

struct timespec
az_time_add_ms (struct timespec time, int64_t ms)
{
  return az_time_from_ns (az_time_to_ns (time) + ms * NS_PER_MS);
}

struct timespec
az_time_add_us (struct timespec time, int64_t us)
{
  return az_time_from_ns (az_time_to_ns (time) + us * NS_PER_US);
}

static int64_t
floor_divide (int64_t value, int64_t divisor)
{
  int64_t quotient = value / divisor;

  return quotient * divisor > value ? quotient - 1 : quotient;
}

int64_t
az_time_diff_ms (struct timespec later, struct timespec earlier)
{
  return floor_divide (az_time_to_ns (later) - az_time_to_ns (earlier), NS_PER_MS);
}

int64_t
az_time_diff_us (struct timespec later, struct timespec earlier)
{
  return floor_divide (az_time_to_ns (later) - az_time_to_ns (earlier), NS_PER_US);
}

int
az_time_compare (struct timespec a, struct timespec b)
{
  int64_t x = az_time_to_ns (a);
  int64_t y = az_time_to_ns (b);

  return (x > y) - (x < y);
}
