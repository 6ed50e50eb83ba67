/* Writes log lines to standard output without blocking, with limits on rate and memory. */
#ifndef GG_EVENT_WRITER_H
#define GG_EVENT_WRITER_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Queues LINE, which has no newline, and writes as much of the buffer as standard output accepts.
 * Drops LINE if the buffer is full because the reader is too slow, or if the rate limit is exceeded
 * and BYPASS_RATE_LIMIT is false. Returns -1 if LINE was dropped, or else the number of lines
 * dropped since the last line that was queued, so that the caller can report them. May be called
 * from any thread.
 */
int64_t event_writer_put(const char *line, bool bypass_rate_limit, int64_t now_us);

/* Returns the number of lines dropped so far. */
int64_t event_writer_dropped_lines(void);

/* Writes the buffered lines. Gives up when standard output accepts no data for TIMEOUT_MS. */
void event_writer_flush(int timeout_ms);

#endif
