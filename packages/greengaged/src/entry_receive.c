#include "entry_receive.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "core_defs.h"
#include "timer.h"

enum {
	FIRST_CAPACITY = 4096,
	/* mg_read returns only when all that it was asked for has arrived, so a client that sends a
	 * byte now and then holds it for long. Small reads bound that; after SLOW_AFTER_MS single
	 * bytes are read, so that the time limit is kept. */
	READ_BYTES = 64,
	SLOW_AFTER_MS = 1000,
};

struct reader {
	char *data;
	size_t length;
	size_t capacity;
};

static enum status too_large(const struct receive_limits *limits, struct error *err)
{
	return error_set(err, STATUS_BODY_TOO_LARGE, "body accepted: at most %zu bytes",
			 limits->max_bytes);
}

static void reserve(struct reader *reader, size_t bytes)
{
	if (reader->capacity - reader->length >= bytes)
		return;
	reader->capacity = reader->capacity ? reader->capacity * 2 : FIRST_CAPACITY;
	reader->data = realloc(reader->data, reader->capacity);
}

/* Reads to the end, or until one byte above the limit, which shows that the body is too large. */
static enum status read_all(struct mg_connection *conn, const struct receive_limits *limits,
			    long long expected, struct reader *reader, struct error *err)
{
	int64_t started_us = timer_clock_us();

	while (reader->length <= limits->max_bytes &&
	       (expected < 0 || reader->length < (size_t)expected)) {
		int64_t elapsed_ms = (timer_clock_us() - started_us) / US_PER_MS;
		size_t wanted = elapsed_ms < SLOW_AFTER_MS ? READ_BYTES : 1;
		int got;

		if (elapsed_ms >= limits->timeout_ms)
			return error_set(err, STATUS_REQUEST_TIMEOUT,
					 "the body did not arrive in time");
		if (expected >= 0 && wanted > (size_t)expected - reader->length)
			wanted = (size_t)expected - reader->length;
		reserve(reader, READ_BYTES);
		got = mg_read(conn, reader->data + reader->length, wanted);
		if (got <= 0)
			break;
		reader->length += (size_t)got;
	}
	return STATUS_OK;
}

static enum status check_end(const struct receive_limits *limits, long long expected,
			     int64_t elapsed_ms, const struct reader *reader, struct error *err)
{
	if (reader->length > limits->max_bytes)
		return too_large(limits, err);
	if (expected < 0 || reader->length == (size_t)expected)
		return STATUS_OK;
	if (elapsed_ms >= limits->timeout_ms)
		return error_set(err, STATUS_REQUEST_TIMEOUT, "the body did not arrive in time");
	return error_set(err, STATUS_INVALID_REQUEST, "the body ended after %zu of %lld bytes",
			 reader->length, expected);
}

enum status entry_receive_body(struct mg_connection *conn, const struct receive_limits *limits,
			       char **body, size_t *length, struct error *err)
{
	long long expected = mg_get_request_info(conn)->content_length;
	const char *expect = mg_get_header(conn, "Expect");
	int64_t started_us = timer_clock_us();
	struct reader reader = {0};
	enum status status;

	if (expected > 0 && (size_t)expected > limits->max_bytes)
		return too_large(limits, err);
	if (expect && strcasecmp(expect, "100-continue") == 0)
		mg_printf(conn, "HTTP/1.1 100 Continue\r\n\r\n");
	status = read_all(conn, limits, expected, &reader, err);
	if (status == STATUS_OK)
		status = check_end(limits, expected, (timer_clock_us() - started_us) / US_PER_MS,
				   &reader, err);
	if (status != STATUS_OK) {
		free(reader.data);
		return status;
	}
	*body = reader.data ? reader.data : malloc(1);
	*length = reader.length;
	return STATUS_OK;
}
