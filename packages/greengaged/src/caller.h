/* Calls the backend server: one thread that posts tasks over kept connections and hands results
 * back. */
#ifndef GG_CALLER_H
#define GG_CALLER_H

#include <stdbool.h>
#include <stdint.h>

#include "ident.h"
#include "mailbox.h"
#include "status.h"
#include "table.h"

enum {
	CALLER_REASON_BYTES = 120
};

struct caller_limits {
	int64_t connect_ms;
	int64_t max_result_bytes;
};

/* How the backend server is called, as it announced itself. */
struct caller_server {
	const char *url;
	uint32_t slots;		/* tasks called at once */
	uint32_t connections;	/* connections kept, at least 1 */
	uint32_t keep_alive_ms; /* idle time after which the server may close a connection */
};

/* A task and, once it is handed back, its result. */
struct caller_task {
	struct mailbox_node node; /* first */

	/* Set by the sender. body is owned by the task. channel and seq are only carried. */
	struct handle channel;
	uint64_t seq;
	struct ident job;
	uint32_t task_index;
	uint32_t timeout_ms;
	char *body;
	size_t body_bytes;

	/* Set by the caller. The result is present when status is STATUS_OK. */
	enum status status;
	bool not_started; /* the request surely had no effect and may be sent elsewhere */
	char *result;
	size_t result_bytes;
	int64_t run_us; /* from the call to its end */
	char reason[CALLER_REASON_BYTES];
};

struct caller; /* opaque */

/*
 * Starts the thread. Tasks that have ended are sent to RESULTS. STATUS_RESOURCE when the thread or
 * its means cannot be made.
 */
enum status caller_new(const struct caller_limits *limits, struct mailbox *results,
		       struct caller **caller, struct error *err);

/* Aborts the calls that still run, stops the thread and frees the caller. Aborted tasks are freed,
 * not handed back. */
void caller_free(struct caller *caller);

/* Sets how the server is called, for calls that begin afterwards. */
void caller_set_server(struct caller *caller, const struct caller_server *server);

/*
 * Calls the server with TASK, which belongs to the caller until it comes back through the mailbox.
 * Tasks beyond the slots wait in order. A task is sent at most once: a call whose connection breaks
 * is reported as failed and never repeated.
 */
void caller_submit(struct caller *caller, struct caller_task *task);

/* Frees a task with its body and result. */
void caller_task_free(struct caller_task *task);

#endif
