/* HTTP/1.1 client on an event loop. It keeps a pool of keep-alive connections to one address; each
 * call has a timeout. */
#ifndef GG_HTTP_CLIENT_H
#define GG_HTTP_CLIENT_H

#include "net.h"

enum {
	HTTP_CLIENT_UNLIMITED_CONNECTIONS =
		1 << 20 /* value for http_client_options.max_connections */
};

/*
 * Outcome of a call. STATUS is STATUS_OK, with the HTTP code and body, STATUS_TIMEOUT or
 * STATUS_NETWORK. After either of the last two the server may still have executed the call, unless
 * CONNECTION_ASSIGNED is false or CONNECTION_REFUSED is true.
 */
struct http_response {
	enum status status;
	bool connection_assigned; /* also true if connecting then failed */
	bool connection_refused;  /* no process listens on the address */
	uint64_t connection;	  /* of an answer: number of its connection; those that were
				     established later on the same loop have higher numbers */
	int code;
	const char *body; /* valid during the callback; followed by a NUL byte */
	size_t length;
	int64_t elapsed_us; /* since the call was sent, or since it was made if it was never sent */
	const char *reason; /* description of a failure; NULL with STATUS_OK */
};

typedef void (*http_response_callback)(void *context, const struct http_response *response);

struct http_client_options {
	const char *address;	   /* "10.1.0.4:8080" */
	unsigned max_connections;  /* calls wait while all of them are busy */
	int64_t idle_limit_ms;	   /* a connection idle for longer is replaced */
	size_t response_max_bytes; /* larger response bodies fail with STATUS_NETWORK */
	/* A call that times out on its connection also closes the connections that have been idle
	 * since before it, because the same fault may have silenced them. */
	bool close_idle_on_timeout;
};

struct http_call {
	const char *method;
	const char *path;	   /* including the query */
	const char *extra_headers; /* NULL or header lines, each ending in "\r\n" */
	const void *body;	   /* NULL for none */
	size_t length;
	int64_t timeout_ms; /* limit of the wait for a connection and, restarted, of the wait for
			       the response */
	http_response_callback callback; /* called exactly once unless the client is freed first */
	void *context;
};

struct http_client;

struct http_client *http_client_new(struct net_loop *loop,
				    const struct http_client_options *options);

/* Sends CALL, or queues it while all connections are busy. Its strings and body are copied. */
void http_client_call(struct http_client *client, const struct http_call *call);

/* Returns whether at least one connection to the address is open. */
bool http_client_connected(const struct http_client *client);

/* Closes all connections. Calls assigned to one fail with STATUS_NETWORK; queued
 * calls stay queued until the next call or response. */
void http_client_reset(struct http_client *client);

/* Frees the client without calling the callbacks of calls that are queued or in progress. */
void http_client_free(struct http_client *client);

#endif
