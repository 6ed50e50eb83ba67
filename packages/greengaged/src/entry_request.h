/* Commands to the dispatcher thread, and client requests that wait for its reply. */
#ifndef GG_ENTRY_REQUEST_H
#define GG_ENTRY_REQUEST_H

#include <glib.h>
#include <jansson.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdbool.h>

#include "entry_body.h"
#include "entry_route.h"
#include "mailbox.h"
#include "session.h"
#include "table.h"

struct board;

/* An item for the dispatcher's mailbox. RUN is called on the dispatcher thread and disposes of it.
 */
struct command {
	struct mailbox_node node;
	void (*run)(struct board *board, struct command *command);
};

struct reply {
	int http_status;
	GBytes *body;
	char session[SESSION_TOKEN_BYTES]; /* fresh token, or empty */
};

struct request;

/* Delivers the reply of REQUEST. Called once, on the dispatcher thread. */
typedef void (*reply_callback)(struct request *request);

/*
 * A client request. It is held by its waiter and by the dispatcher, each with a reference, so
 * either may leave first. Fields above "dispatcher" are set before the hand-over and then only
 * read.
 */
struct request {
	struct command command;
	atomic_int references;
	struct route route;
	struct job_body *body; /* taken by the dispatcher when the job is admitted */
	char *text;	       /* body as received, kept for a forward */
	size_t text_length;
	json_t *patch;
	char method[8];
	char *path;
	bool forwarded;	   /* came from another entry and is not forwarded again */
	bool parse_failed; /* could not be parsed, for the reason in parse_error */
	struct error parse_error;
	struct ident origin;
	uint64_t origin_request;
	struct board *board;
	reply_callback deliver;

	/* Dispatcher only. */
	struct handle job;
	struct handle timer;
	struct request *next;

	/* Under the lock. */
	pthread_mutex_t lock;
	pthread_cond_t delivered_cond;
	bool delivered;
	struct reply reply;
};

/* Returns a request with one reference, that of its creator. */
struct request *entry_request_new(void);
struct request *entry_request_ref(struct request *request);
void entry_request_unref(struct request *request);

/* Waits up to TIMEOUT_MS for the reply. Returns false when there is none in time. */
bool entry_request_wait(struct request *request, int64_t timeout_ms);

/*
 * Finishes REQUEST with BODY, of which a reference is taken, and drops the dispatcher's reference:
 * REQUEST must not be used afterwards. Dispatcher only, as the two functions that follow.
 */
void entry_request_finish(struct request *request, int http_status, GBytes *body);
/* As entry_request_finish; DOCUMENT is released. */
void entry_request_finish_json(struct request *request, int http_status, json_t *document);
/* Finishes REQUEST with the error object of ERR. */
void entry_request_refuse(struct request *request, const struct error *err);

/* Returns {"error": {...}} for ERR as JSON text. */
GBytes *entry_request_error_body(const struct error *err);
/* Returns the error object itself. */
json_t *entry_request_error_json(const struct error *err);
/* Returns DOCUMENT as JSON text and releases it. */
GBytes *entry_request_json_body(json_t *document);

/* Delivers by waking entry_request_wait. */
void entry_request_wake_waiter(struct request *request);

#endif
