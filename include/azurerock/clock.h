#ifndef AZUREROCK_CLOCK_H
#define AZUREROCK_CLOCK_H

#include <stdint.h>
#include <time.h>

/**
 * struct az_clock - time source; tests pass one that they control
 * @monotonic: stores a time that never decreases and includes time spent in suspend
 * @wall: stores Unix time
 * @context: passed to both callbacks
 */
struct az_clock
{
  void (*monotonic) (void *context, struct timespec *now);
  void (*wall) (void *context, struct timespec *now);
  void *context;
};

/**
 * az_clock_system - the clock of the operating system
 *
 * The monotonic time is CLOCK_BOOTTIME, so that leases expire while the machine is suspended.
 */
const struct az_clock *
az_clock_system (void);

struct timespec
az_clock_now (const struct az_clock *clock);

/** az_clock_wall_ms - Unix time in milliseconds */
int64_t
az_clock_wall_ms (const struct az_clock *clock);

struct timespec
az_time_add_ms (struct timespec time, int64_t ms);
struct timespec
az_time_add_us (struct timespec time, int64_t us);

/** az_time_diff_ms - milliseconds from @earlier to @later, rounded towards negative
 * infinity; negative if @later is before @earlier */
int64_t
az_time_diff_ms (struct timespec later, struct timespec earlier);
int64_t
az_time_diff_us (struct timespec later, struct timespec earlier);

/** az_time_compare - negative, zero or positive as @a is before, at or after @b */
int
az_time_compare (struct timespec a, struct timespec b);

int64_t
az_time_to_ns (struct timespec time);
struct timespec
az_time_from_ns (int64_t ns);

#endif
