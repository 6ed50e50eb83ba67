/* Commands to the dispatcher thread, and client requests, which wait for a reply from it. */
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

/* An item in the dispatcher's mailbox. RUN is called on the dispatcher thread and takes ownership
 * of the command. */
struct command {
	struct mailbox_node node;
	void (*run)(struct board *board, struct command *command);
};

struct reply {
	int http_status;
	GBytes *body;
	char session[SESSION_TOKEN_BYTES]; /* new session token, or empty */
};

struct request;

/* Delivers the reply of REQUEST to its sender. Called once, on the dispatcher thread. */
typedef void (*reply_callback)(struct request *request);

/*
 * A client request. The dispatcher holds a reference, and so does the HTTP thread that waits for
 * the reply, if any; either may release its own first. The fields above "Dispatcher only" are set
 * before the request is sent to the dispatcher and are read-only afterwards, except where noted.
 */
struct request {
	struct command command;
	atomic_int references;
	struct route route;
	struct job_body *body; /* moved to the job by the dispatcher on admission */
	char *text; /* request body as received, if the field body is NULL; kept for forwarding */
	size_t text_length;
	json_t *patch;
	char method[8];
	char *path;
	bool forwarded;		  /* received from another entry; not forwarded again */
	bool parse_failed;	  /* forwarded request could not be parsed; see parse_error */
	struct error parse_error; /* the dispatcher sets its outcome to unknown if the job may be
				     running */
	struct ident origin;	  /* incarnation of the forwarding entry */
	uint64_t origin_request;  /* number of the request at that entry */
	struct board *board;	  /* for HTTP requests set by the dispatcher on receipt */
	reply_callback deliver;	  /* entry_request_wake_waiter unless set otherwise */

	/* Dispatcher only. */
	struct handle job;    /* job whose end is awaited */
	struct handle timer;  /* end of the wait */
	struct request *next; /* in the list of requests that wait for a claim or job */

	/* Protected by lock, except reply, which is complete before delivered is set. */
	pthread_mutex_t lock;
	pthread_cond_t delivered_cond;
	bool delivered;
	struct reply reply;
};

/* Returns a new request with one reference, held by the caller. */
struct request *entry_request_new(void);
struct request *entry_request_ref(struct request *request);
void entry_request_unref(struct request *request);

/* Waits up to TIMEOUT_MS for the reply. Returns whether it was delivered in time. */
bool entry_request_wait(struct request *request, int64_t timeout_ms);

/*
 * Delivers the reply to REQUEST and drops the dispatcher's reference, so REQUEST must not be used
 * afterwards. Takes its own reference to BODY. This function and the two below may only be called
 * on the dispatcher thread.
 */
void entry_request_finish(struct request *request, int http_status, GBytes *body);
/* Like entry_request_finish, with DOCUMENT as the body. Takes over the reference to DOCUMENT. */
void entry_request_finish_json(struct request *request, int http_status, json_t *document);
/* Like entry_request_finish, with the error response for ERR. */
void entry_request_refuse(struct request *request, const struct error *err);

/* Returns the body of the error response for ERR, {"error": {...}}, as JSON text. */
GBytes *entry_request_error_body(const struct error *err);
/* Returns the value of "error" in the error response for ERR. */
json_t *entry_request_error_json(const struct error *err);
/* Returns DOCUMENT as JSON text. Takes over the reference to DOCUMENT. */
GBytes *entry_request_json_body(json_t *document);

/* Marks the reply as delivered and wakes the thread in entry_request_wait. This is the default
 * value of the field deliver. */
void entry_request_wake_waiter(struct request *request);

#endif
