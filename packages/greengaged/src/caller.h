/* Executes tasks by HTTP POST requests to the backend server, over persistent connections and on a
 * thread of its own. */
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

/* How to call the backend server, from its announcement. */
struct caller_server {
	const char *url;
	uint32_t slots;		/* limit on concurrent calls */
	uint32_t connections;	/* limit on open connections and concurrent calls, at least 1 */
	uint32_t keep_alive_ms; /* idle time after which the server may close a connection */
};

/* A task and, once it is finished, its result. */
struct caller_task {
	struct mailbox_node node; /* must be the first member */

	/* Set before caller_submit. The task owns body. The caller module does not use channel
	 * and seq.
	 */
	struct handle channel;
	uint64_t seq;
	struct ident job;
	uint32_t task_index;
	uint32_t timeout_ms;
	char *body;
	size_t body_bytes;

	/* Set by the thread of struct caller. The result is present when status is STATUS_OK. */
	enum status status;
	bool not_started; /* the request certainly had no effect and may be sent elsewhere */
	char *result;
	size_t result_bytes;
	int64_t run_us;			  /* duration of the call */
	char reason[CALLER_REASON_BYTES]; /* error message, empty with STATUS_OK */
};

struct caller; /* opaque */

/*
 * Starts the thread. Finished tasks are sent to RESULTS. Returns STATUS_RESOURCE when the thread or
 * its mailboxes cannot be created.
 */
enum status caller_new(const struct caller_limits *limits, struct mailbox *results,
		       struct caller **caller, struct error *err);

/* Stops the thread, aborts the running calls and frees the caller. Unfinished tasks are freed and
 * not sent to the results mailbox. */
void caller_free(struct caller *caller);

/* Sets how to call the server, for calls that start afterwards. The URL is copied. */
void caller_set_server(struct caller *caller, const struct caller_server *server);

/*
 * Queues TASK and takes ownership of it until it is sent to the results mailbox. At most MIN(slots,
 * connections) calls run at once. Further tasks wait and are sent to the server in the order of
 * submission as calls finish. A task is sent at most once: a call whose connection breaks is
 * reported as failed and never repeated.
 */
void caller_submit(struct caller *caller, struct caller_task *task);

/* Frees a task with its body and result. */
void caller_task_free(struct caller_task *task);

#endif
