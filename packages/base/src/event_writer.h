/* Writes log lines to standard output without ever blocking, within bounds on rate and memory. */
#ifndef GG_EVENT_WRITER_H
#define GG_EVENT_WRITER_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Takes one line (without its newline). Lines that are not BYPASS_RATE_LIMIT are dropped above the
 * rate limit, all lines while the reader of the output does not keep up. Returns the number of
 * lines that were dropped since the last line that was taken, so that the next one can tell; -1
 * when this one is dropped. From any thread.
 */
int64_t event_writer_put(const char *line, bool bypass_rate_limit, int64_t now_us);

/* Returns the number of lines dropped so far. */
int64_t event_writer_dropped_lines(void);

/* Writes what is buffered, waiting at most TIMEOUT_MS; for the end of the process. */
void event_writer_flush(int timeout_ms);

#endif
