/* Client of the platform's append-only log service: an interface of callbacks and its HTTP form. */
#ifndef GG_LOGCLIENT_H
#define GG_LOGCLIENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "status.h"

/* A record as read. */
struct log_record {
	uint64_t offset;
	int64_t time_ms; /* when the service took it */
	const char *data;
	size_t length;
};

/*
 * What a user of the log provides. All are called on the client's own thread with CONTEXT; what
 * they get is valid during the call. All are required. record: the next record of STREAM, in order,
 * without gaps but for those that truncated told of. truncated: records of STREAM below FIRST were
 * dropped before they were read. appended: the end of an append. STATUS_OK with its offset;
 * STATUS_LOG_UNAVAILABLE with outcome "not run" in ERR when it was surely not taken, or outcome
 * "unknown" when it may have been. caught_up: STREAM has been read to its end at least once since
 * it was followed or the service came back. availability: the service went away or came back.
 */
struct log_callbacks {
	void *context;
	void (*record)(void *context, const char *stream, const struct log_record *record);
	void (*truncated)(void *context, const char *stream, uint64_t first);
	void (*appended)(void *context, uint64_t request, uint64_t offset, const struct error *err);
	void (*caught_up)(void *context, const char *stream, uint64_t next);
	void (*availability)(void *context, bool available);
};

struct log_client; /* opaque */

struct log_limits {
	int64_t connect_ms;
	int64_t append_ms; /* limit on one append */
	int64_t poll_ms;   /* how long the service may hold a read open */
	int64_t retry_ms;  /* first pause after a failed read; doubles to 16 times this */
};

/* Starts a client of the service at URL with its own thread. STATUS_RESOURCE when it cannot be
 * made. */
enum status logclient_new(const char *url, const struct log_limits *limits,
			  const struct log_callbacks *callbacks, struct log_client **client,
			  struct error *err);

/*
 * Stops the thread and frees the client. Appends under way are waited for, at most append_ms; every
 * append gets its callback before the return, and no callback is called afterwards.
 */
void logclient_free(struct log_client *client);

/* Begins to read STREAM from its first kept record. Call once a stream. */
void logclient_follow(struct log_client *client, const char *stream);

/*
 * Appends LENGTH bytes to STREAM and later calls appended with REQUEST. It is never tried again by
 * the client, since a lost answer may hide an append that took effect. May be called from any
 * thread.
 */
void logclient_append(struct log_client *client, const char *stream, const char *data,
		      size_t length, uint64_t request);

#endif
