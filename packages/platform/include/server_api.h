/* What the platform's backend servers say of themselves, and the orders that they take. */
#ifndef GG_SERVER_API_H
#define GG_SERVER_API_H

#include <jansson.h>

#include "http_client.h"
#include "http_server.h"
#include "runs.h"
#include "status.h"

enum {
	SERVER_LABELS_MAX = 8
};

/* A heartbeat of a backend server. Texts live as long as DOCUMENT. */
struct server_heartbeat {
	char id[NAME_BYTES];
	const char *service;
	const char *address; /* where it takes orders */
	const char *zone;
	const char *labels[SERVER_LABELS_MAX];
	size_t label_count;
	struct resources total;
	bool leaving;
	int64_t started_ms;   /* since 1970, differs from one life to the next; 0 when not said */
	int64_t clock_ms;     /* its steady clock */
	uint64_t sequence;    /* rises with each heartbeat of one life */
	int64_t remaining_ms; /* least time left to a leaving server; 0 when not said */
	json_t *document;
};

enum server_message {
	SERVER_HEARTBEAT,
	SERVER_DEREGISTER,
	SERVER_UNKNOWN, /* no call that a backend server makes */
};

/* Tells which call REQUEST is and copies the server's id to ID, of NAME_BYTES bytes. */
enum server_message server_message_parse(const struct http_request *request, char *id);

/* Reads a heartbeat; server_heartbeat_clear frees it. STATUS_INVALID_JSON, or
 * STATUS_INVALID_REQUEST for a field missing, of another type or of an unknown state. */
enum status server_heartbeat_parse(const char *id, const char *body, size_t length,
				   struct server_heartbeat *heartbeat, struct error *err);

void server_heartbeat_clear(struct server_heartbeat *heartbeat);

/* Acknowledges a heartbeat or a deregistration. */
void server_answer_acknowledged(struct http_request *request);
void server_answer_error(struct http_request *request, const struct error *err);

/* Calls to a backend server. The epoch orders the lives of the agent: a server ignores orders of a
 * lower one. */
struct server_start {
	const char *task;
	uint32_t attempt;
	const char *spec;
	size_t spec_length;
	int64_t expires_clock_ms; /* on the server's clock */
	int64_t epoch;
};

/* Write the body of a call. The caller frees it with g_free. */
char *server_start_body(const struct server_start *start);
char *server_stop_body(const char *task, uint32_t attempt, int64_t epoch);
char *server_hold_body(int64_t expires_clock_ms, int64_t epoch, uint64_t acknowledged_end,
		       int64_t wait_ms);

/* Writes the header line that names the server an order is meant for; another one refuses it. NULL
 * when ID is empty. The caller frees it with g_free. */
char *server_id_header(const char *id);

#define SERVER_START_PATH "/greengagefront/run-start"
#define SERVER_STOP_PATH "/greengagefront/run-stop"
#define SERVER_HOLD_PATH "/greengagefront/hold"

/* An answer of a backend server. */
struct server_reply {
	bool answered;	     /* else the call may have been carried out, or may be later */
	bool stale_epoch;    /* a higher epoch was seen */
	bool wrong_instance; /* another backend server, or another life of it, answered */
	int64_t clock_ms;    /* the server's clock; 0 when not said */
	int64_t started_ms;
	enum start_answer start;
};

/* Reads the answer to a start or a stop. */
void server_reply_parse(const struct http_reply *reply, struct server_reply *parsed);

/* The lists in the answer to a hold; server_lists_clear frees them. */
struct server_lists {
	struct run_lists list;
	json_t *document;
};

/* STATUS_INVALID_JSON or STATUS_INVALID_REQUEST for an answer that is not understood. */
enum status server_lists_parse(const struct http_reply *reply, struct server_reply *parsed,
			       struct server_lists *lists, struct error *err);

void server_lists_clear(struct server_lists *lists);

#endif
