#include "event_writer.h"

#include <glib.h>
#include <poll.h>
#include <string.h>
#include <unistd.h>

enum {
	BUFFER_BYTES = 256 << 10,
	CHUNK_BYTES = 4096, /* a pipe that polls writable takes this much without blocking */
	LINES_PER_S = 600,  /* of lines that are not urgent; some 120 KB a second */
	BURST_LINES = 1200,
	US_PER_S = 1000000
};

static GMutex lock;
static GString *buffer;
static double tokens = BURST_LINES;
static int64_t refilled_us;
static int64_t dropped;
static int64_t untold; /* dropped since the last line that was taken */

static bool within_rate(int64_t now_us)
{
	if (refilled_us == 0)
		refilled_us = now_us;
	tokens += (double)(now_us - refilled_us) * LINES_PER_S / US_PER_S;
	tokens = MIN(tokens, (double)BURST_LINES);
	refilled_us = now_us;
	if (tokens < 1)
		return false;
	tokens -= 1;
	return true;
}

static bool is_writable(int wait_ms)
{
	struct pollfd output = {.fd = STDOUT_FILENO, .events = POLLOUT};

	return poll(&output, 1, wait_ms) == 1 && (output.revents & POLLOUT) != 0;
}

static void write_some(int wait_ms)
{
	while (buffer->len > 0 && is_writable(wait_ms)) {
		ssize_t count =
			write(STDOUT_FILENO, buffer->str, MIN(buffer->len, (gsize)CHUNK_BYTES));

		if (count <= 0)
			return;
		g_string_erase(buffer, 0, count);
	}
}

int64_t event_writer_put(const char *line, bool urgent, int64_t now_us)
{
	int64_t told = -1;

	g_mutex_lock(&lock);
	if (!buffer)
		buffer = g_string_new(NULL);
	if ((!urgent && !within_rate(now_us)) || buffer->len + strlen(line) > BUFFER_BYTES) {
		dropped++;
		untold++;
	} else {
		g_string_append(buffer, line);
		g_string_append_c(buffer, '\n');
		told = untold;
		untold = 0;
	}
	write_some(0);
	g_mutex_unlock(&lock);
	return told;
}

int64_t event_writer_dropped_lines(void)
{
	int64_t count;

	g_mutex_lock(&lock);
	count = dropped;
	g_mutex_unlock(&lock);
	return count;
}

void event_writer_flush(int wait_ms)
{
	g_mutex_lock(&lock);
	if (buffer)
		write_some(wait_ms);
	g_mutex_unlock(&lock);
}
