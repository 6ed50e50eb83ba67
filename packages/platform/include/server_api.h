/* Protocol of the platform's backend servers: their heartbeats, and the calls made to them. */
#ifndef GG_SERVER_API_H
#define GG_SERVER_API_H

#include <jansson.h>

#include "http_client.h"
#include "http_server.h"
#include "presence.h"
#include "runs.h"
#include "status.h"

/* Kinds of requests that backend servers send. */
enum server_message {
	SERVER_HEARTBEAT,
	SERVER_DEREGISTER,
	SERVER_UNKNOWN, /* any other request */
};

/* Returns the kind of REQUEST. Unless it is SERVER_UNKNOWN, copies the server's id to ID, a buffer
 * of NAME_BYTES bytes; otherwise the content of ID is unspecified. */
enum server_message server_message_parse(const struct http_request *request, char *id);

/* Parses a heartbeat. Leaves received_us at 0. Returns STATUS_INVALID_JSON, or
 * STATUS_INVALID_REQUEST for a field that is missing or invalid, such as an unknown state. */
enum status server_heartbeat_parse(const char *id, const char *body, size_t length,
				   struct heartbeat *heartbeat, struct error *err);

/* Returns the start time that a deregistration states, or 0 if it states none. */
int64_t server_deregistration_start_time(const char *body, size_t length);

/* Answers 200 with an empty JSON object, to a heartbeat or a deregistration. */
void server_answer_empty(struct http_request *request);
/* Answers with the HTTP status code and the name of the status of ERR. */
void server_answer_error(struct http_request *request, const struct error *err);

/* The parameters of a call that starts a run. EPOCH orders the incarnations of the agent: a server
 * rejects calls whose epoch is lower than one that it has seen. */
struct server_start {
	const char *task;
	uint32_t attempt;
	const char *spec;
	size_t spec_length;
	int64_t expires_clock_ms; /* end of the lease, by the server's clock */
	int64_t epoch;
};

/* Return the body of a start or a stop, which the caller frees with g_free. */
char *server_start_body(const struct server_start *start);
char *server_stop_body(const char *task, uint32_t attempt, int64_t epoch);

/* Returns the body of a hold, which the caller frees with g_free. A hold is the agent's periodic
 * call (long poll): it renews the lease of all runs on the server and returns the server's lists of
 * running and finished runs. An EXPIRES_CLOCK_MS of 0 leaves the lease as it is.
 * ACKNOWLEDGED_NUMBER is the highest number of a finished row that the agent has processed; the
 * server may drop the finished rows up to it. If there is no later finished row, the server
 * waits up to WAIT_MS before it answers. */
char *server_hold_body(int64_t expires_clock_ms, int64_t epoch, uint64_t acknowledged_number,
		       int64_t wait_ms);

/* Returns the header line that names the server for which a call is intended, so that any other
 * server rejects it, or NULL when ID is empty. The caller frees it with g_free. */
char *server_id_header(const char *id);

#define SERVER_START_PATH "/greengagefront/run-start"
#define SERVER_STOP_PATH "/greengagefront/run-stop"
#define SERVER_HOLD_PATH "/greengagefront/hold"

/* The answer of a backend server to a call. */
struct server_reply {
	bool answered; /* if false, and START_ANSWER is not START_NOT_SENT, the call may have taken
			  effect or may still do so */
	bool stale_epoch;      /* the server has seen a higher epoch */
	bool wrong_instance;   /* another server, or another incarnation of the server, answered */
	int64_t clock_ms;      /* the server's monotonic clock; 0 if absent */
	int64_t start_time_ms; /* start time of the server, as in a heartbeat */
	enum start_answer start_answer; /* meaningful for a start or a stop only */
};

/* Parses the answer to a start or a stop. */
void server_reply_parse(const struct http_response *reply, struct server_reply *parsed);

/* The lists of runs in the answer to a hold. The strings are valid as long as DOCUMENT. */
struct server_run_lists {
	struct run_lists runs;
	json_t *document;
};

/* Parses the answer to a hold. The caller frees LISTS with server_run_lists_clear. Returns the
 * status of REPLY when there was no answer, and STATUS_INVALID_JSON or STATUS_INVALID_REQUEST when
 * the answer contains no valid lists. PARSED is set even if the lists are invalid, so that the
 * caller can read, for example, stale_epoch. */
enum status server_run_lists_parse(const struct http_response *reply, struct server_reply *parsed,
				   struct server_run_lists *lists, struct error *err);

void server_run_lists_clear(struct server_run_lists *lists);

#endif
