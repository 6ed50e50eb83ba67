/* HTTP client of the platform's append-only log service. It reports through callbacks. */
#ifndef GG_LOGCLIENT_H
#define GG_LOGCLIENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "status.h"

/* A record of a stream. */
struct log_record {
	uint64_t offset;
	int64_t time_ms; /* time at which the service appended the record */
	const char *data;
	size_t length;
};

/* Callbacks of the log client. All are required. They are called on the client's own thread with
 * CONTEXT, and their arguments are valid during the call only. */
struct log_callbacks {
	void *context;
	/* Delivers the next record of STREAM, in order. The only gaps are those that on_truncated
	 * has reported. */
	void (*on_record)(void *context, const char *stream, const struct log_record *record);
	/* Reports that the service dropped records of STREAM below FIRST before they were read. */
	void (*on_truncated)(void *context, const char *stream, uint64_t first);
	/* Reports the end of an append. The status of ERR is STATUS_OK, with the record's OFFSET,
	 * or STATUS_LOG_UNAVAILABLE, with the outcome "not run" when the append certainly did not
	 * take effect and "unknown" when it may have. */
	void (*on_appended)(void *context, uint64_t request, uint64_t offset,
			    const struct error *err);
	/* Reports that STREAM was read to its end for the first time since it was followed or since
	 * the last failed read. NEXT is the offset after its last record. */
	void (*on_caught_up)(void *context, const char *stream, uint64_t next);
	/* Reports that the service became available or unavailable. */
	void (*on_availability_changed)(void *context, bool available);
};

struct log_client; /* opaque */

struct log_limits {
	int64_t connect_ms;
	int64_t append_ms; /* time limit of one append */
	int64_t poll_ms;   /* how long the service may delay the answer to a read */
	int64_t retry_ms;  /* pause after a failed read; doubles with each consecutive failure, at
			      most 4 times */
};

/* Creates a client of the service at URL and starts its thread. Returns STATUS_RESOURCE when the
 * client or its thread cannot be created. */
enum status logclient_new(const char *url, const struct log_limits *limits,
			  const struct log_callbacks *callbacks, struct log_client **client,
			  struct error *err);

/*
 * Stops the thread and frees the client. Waits for the appends in progress, for at most append_ms.
 * Every append gets its callback before this function returns; no callback is called afterwards.
 */
void logclient_free(struct log_client *client);

/* Starts reading STREAM from its first retained record. Call it only once per stream. */
void logclient_follow(struct log_client *client, const char *stream);

/*
 * Appends LENGTH bytes to STREAM, then calls on_appended with REQUEST. The client never retries an
 * append, since it may have taken effect although its answer was lost. May be called from any
 * thread.
 */
void logclient_append(struct log_client *client, const char *stream, const char *data,
		      size_t length, uint64_t request);

#endif
