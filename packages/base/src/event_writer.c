#include "event_writer.h"

#include <glib.h>
#include <poll.h>
#include <string.h>
#include <unistd.h>

enum {
	BUFFER_BYTES = 256 << 10, /* a line that would make the buffer longer is dropped */
	CHUNK_BYTES = 4096,	  /* PIPE_BUF: a writable pipe accepts this much without blocking */
	MAX_LINES_PER_S = 600,	  /* limit for debug and info lines, about 120 KB/s */
	MAX_BURST_LINES = 1200,	  /* capacity of the token bucket */
	US_PER_S = 1000000
};

static GMutex writer_lock;
static GString *buffer;
static double tokens = MAX_BURST_LINES;
static int64_t last_refill_us;
static int64_t dropped_lines;
static int64_t dropped_since_queued; /* lines dropped since the last line that was queued */

/* Refills the token bucket up to NOW_US and takes a token. Returns false if there is none. */
static bool take_token(int64_t now_us)
{
	if (last_refill_us == 0)
		last_refill_us = now_us;
	tokens += (double)(now_us - last_refill_us) * MAX_LINES_PER_S / US_PER_S;
	tokens = MIN(tokens, (double)MAX_BURST_LINES);
	last_refill_us = now_us;
	if (tokens < 1)
		return false;
	tokens -= 1;
	return true;
}

static bool wait_writable(int timeout_ms)
{
	struct pollfd output = {.fd = STDOUT_FILENO, .events = POLLOUT};

	return poll(&output, 1, timeout_ms) == 1 && (output.revents & POLLOUT) != 0;
}

/* Writes buffered lines until the buffer is empty or standard output accepts no data for
 * TIMEOUT_MS. */
static void write_buffered(int timeout_ms)
{
	while (buffer->len > 0 && wait_writable(timeout_ms)) {
		ssize_t count =
			write(STDOUT_FILENO, buffer->str, MIN(buffer->len, (gsize)CHUNK_BYTES));

		if (count <= 0)
			return;
		g_string_erase(buffer, 0, count);
	}
}

int64_t event_writer_put(const char *line, bool bypass_rate_limit, int64_t now_us)
{
	int64_t dropped_before = -1;

	g_mutex_lock(&writer_lock);
	if (!buffer)
		buffer = g_string_new(NULL);
	if ((!bypass_rate_limit && !take_token(now_us)) ||
	    buffer->len + strlen(line) > BUFFER_BYTES) {
		dropped_lines++;
		dropped_since_queued++;
	} else {
		g_string_append(buffer, line);
		g_string_append_c(buffer, '\n');
		dropped_before = dropped_since_queued;
		dropped_since_queued = 0;
	}
	write_buffered(0);
	g_mutex_unlock(&writer_lock);
	return dropped_before;
}

int64_t event_writer_dropped_lines(void)
{
	int64_t count;

	g_mutex_lock(&writer_lock);
	count = dropped_lines;
	g_mutex_unlock(&writer_lock);
	return count;
}

void event_writer_flush(int timeout_ms)
{
	g_mutex_lock(&writer_lock);
	if (buffer)
		write_buffered(timeout_ms);
	g_mutex_unlock(&writer_lock);
}
