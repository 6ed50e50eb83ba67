/* HTTP/1.1 client for one event loop: kept connections to one address, each call with a time-out.
 */
#ifndef GG_HTTP_CLIENT_H
#define GG_HTTP_CLIENT_H

#include "net.h"

enum {
	HTTP_CLIENT_UNLIMITED = 1 << 20
};

/* The answer to a call. STATUS is STATUS_OK with the HTTP code and body, STATUS_TIMEOUT or
 * STATUS_NETWORK; with either of the last two the call may have been carried out, unless SENT is
 * false. */
struct http_response {
	enum status status;
	bool sent;
	bool connection_refused; /* nobody listens at the address */
	int code;
	const char *body; /* valid during the callback; ends in a zero that is not counted */
	size_t length;
	int64_t elapsed_us; /* since the call was sent, or made if it was not */
	const char *reason; /* of a failure */
};

typedef void (*http_response_callback)(void *context, const struct http_response *reply);

struct http_client_options {
	const char *address;	   /* "10.1.0.4:8080" */
	unsigned connections;	   /* at most; further calls wait for one */
	int64_t idle_limit_ms;	   /* a kept connection unused for longer is replaced */
	size_t response_max_bytes; /* longer answers fail with STATUS_NETWORK */
};

struct http_call {
	const char *method;
	const char *path;	   /* with its query */
	const char *extra_headers; /* NULL or further header lines, each ended by "\r\n" */
	const void *body;	   /* NULL for none */
	size_t length;
	int64_t timeout_ms; /* of the wait for a connection, and of that for the answer */
	http_response_callback callback; /* called exactly once, unless the client is freed */
	void *context;
};

struct http_client;

struct http_client *http_client_new(struct net_loop *loop,
				    const struct http_client_options *options);

/* Makes CALL; its texts are copied. */
void http_client_call(struct http_client *client, const struct http_call *call);

/* Returns whether a connection to the address is open. */
bool http_client_connected(const struct http_client *client);

/* Closes all connections; calls in progress fail with STATUS_NETWORK. */
void http_client_reset(struct http_client *client);

/* Frees the client; the callbacks of calls in progress are not called. */
void http_client_free(struct http_client *client);

#endif
