#include "entry_receive.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "core_defs.h"
#include "timer.h"

enum {
	INITIAL_CAPACITY = 4096,
	/* mg_read returns only once all requested bytes have arrived, so a client that sends single
	 * bytes at long intervals can block mg_read for a long time. Small reads bound that time.
	 * After SINGLE_BYTE_READS_AFTER_MS the body is read byte by byte, so that the time limit is
	 * kept. */
	MAX_READ_BYTES = 64,
	SINGLE_BYTE_READS_AFTER_MS = 1000,
};

struct buffer {
	char *data;
	size_t length;
	size_t capacity;
};

static enum status error_body_too_large(const struct receive_limits *limits, struct error *err)
{
	return error_set(err, STATUS_BODY_TOO_LARGE,
			 "request body too large, accepted: at most %zu bytes", limits->max_bytes);
}

/* Makes room for BYTES more bytes. BYTES must not exceed INITIAL_CAPACITY, as the capacity is only
 * doubled once. */
static void reserve(struct buffer *buffer, size_t bytes)
{
	if (buffer->capacity - buffer->length >= bytes)
		return;
	buffer->capacity = buffer->capacity ? buffer->capacity * 2 : INITIAL_CAPACITY;
	buffer->data = realloc(buffer->data, buffer->capacity);
}

/* Reads the body to its end, or until more than max_bytes have been read; check_complete then
 * refuses the body as too large. CONTENT_LENGTH is negative if unknown. */
static enum status read_body(struct mg_connection *conn, const struct receive_limits *limits,
			     long long content_length, struct buffer *buffer, struct error *err)
{
	int64_t started_us = timer_clock_us();

	while (buffer->length <= limits->max_bytes &&
	       (content_length < 0 || buffer->length < (size_t)content_length)) {
		int64_t elapsed_ms = (timer_clock_us() - started_us) / US_PER_MS;
		size_t read_size = elapsed_ms < SINGLE_BYTE_READS_AFTER_MS ? MAX_READ_BYTES : 1;
		int received;

		if (elapsed_ms >= limits->timeout_ms)
			return error_set(err, STATUS_REQUEST_TIMEOUT,
					 "the body did not arrive in time");
		if (content_length >= 0 && read_size > (size_t)content_length - buffer->length)
			read_size = (size_t)content_length - buffer->length;
		reserve(buffer, MAX_READ_BYTES);
		received = mg_read(conn, buffer->data + buffer->length, read_size);
		if (received <= 0)
			break;
		buffer->length += (size_t)received;
	}
	return STATUS_OK;
}

static enum status check_complete(const struct receive_limits *limits, long long content_length,
				  int64_t elapsed_ms, const struct buffer *buffer,
				  struct error *err)
{
	if (buffer->length > limits->max_bytes)
		return error_body_too_large(limits, err);
	if (content_length < 0 || buffer->length == (size_t)content_length)
		return STATUS_OK;
	if (elapsed_ms >= limits->timeout_ms)
		return error_set(err, STATUS_REQUEST_TIMEOUT, "the body did not arrive in time");
	return error_set(err, STATUS_INVALID_REQUEST, "the body ended after %zu of %lld bytes",
			 buffer->length, content_length);
}

enum status entry_receive_body(struct mg_connection *conn, const struct receive_limits *limits,
			       char **body, size_t *length, struct error *err)
{
	long long content_length = mg_get_request_info(conn)->content_length;
	const char *expect = mg_get_header(conn, "Expect");
	int64_t started_us = timer_clock_us();
	struct buffer buffer = {0};
	enum status status;

	if (content_length > 0 && (size_t)content_length > limits->max_bytes)
		return error_body_too_large(limits, err);
	if (expect && strcasecmp(expect, "100-continue") == 0)
		mg_printf(conn, "HTTP/1.1 100 Continue\r\n\r\n");
	status = read_body(conn, limits, content_length, &buffer, err);
	if (status == STATUS_OK)
		status = check_complete(limits, content_length,
					(timer_clock_us() - started_us) / US_PER_MS, &buffer, err);
	if (status != STATUS_OK) {
		free(buffer.data);
		return status;
	}
	*body = buffer.data ? buffer.data : malloc(1);
	*length = buffer.length;
	return STATUS_OK;
}
