/* HTTP/1.1 server on an event loop. A request may be answered at any later time; if its client
 * disconnects before that, the owner of the server is notified. */
#ifndef GG_HTTP_SERVER_H
#define GG_HTTP_SERVER_H

#include "net.h"

/* Named http_verb because http_parser.h defines enum http_method. */
enum http_verb {
	HTTP_METHOD_GET,
	HTTP_METHOD_POST,
	HTTP_METHOD_DELETE,
	HTTP_METHOD_OTHER,
};

struct http_request;

struct http_server_options {
	size_t header_max_bytes;
	size_t body_max_bytes;
	int64_t request_limit_ms; /* time to receive a whole request, body included */
	int64_t idle_limit_ms;	  /* between requests on a keep-alive connection */
};

struct http_server_callbacks {
	/* Handles a complete request, which must be answered with http_respond, now or later. */
	void (*on_request)(void *context, struct http_request *request);
	/* The client has disconnected before its request was answered. The request must not be
	 * answered and is freed when the callback returns. */
	void (*on_disconnected)(void *context, struct http_request *request);
};

struct http_server;

/* Listens on ADDRESS. Fails as net_listen does. */
enum status http_server_listen(struct net_loop *loop, const char *address,
			       const struct http_server_options *options,
			       const struct http_server_callbacks *callbacks, void *context,
			       struct http_server **server, struct error *err);

/* Replaces the limits. They apply at once, also to requests that are being received. */
void http_server_set_options(struct http_server *server, const struct http_server_options *options);

/* Makes the server close each connection after its next response, so that clients move to another
 * host. */
void http_server_disable_keep_alive(struct http_server *server);

/* Closes all connections at once, as after a freeze of the process. Calls on_disconnected for
 * requests not answered yet. */
void http_server_reset(struct http_server *server);

/* Closes all connections and stops listening. SERVER is freed. */
void http_server_close(struct http_server *server);

/* Returns the number of open connections. */
size_t http_server_connections(const struct http_server *server);

enum http_verb http_request_method(const struct http_request *request);

/* Returns the path without the query; never NULL. */
const char *http_request_path(const struct http_request *request);

/* Returns the text after the question mark of the URL, or NULL. */
const char *http_request_query(const struct http_request *request);

/* Returns the value of the header NAME, matched without regard to case, or NULL. */
const char *http_request_header(const struct http_request *request, const char *name);

/* Returns the body and sets *LENGTH. It is valid until the request is answered or its
 * client disconnects. */
const char *http_request_body(const struct http_request *request, size_t *length);

/* Attaches a pointer of the caller to the request; it is NULL for a new request. */
void http_request_set_context(struct http_request *request, void *context);
void *http_request_context(const struct http_request *request);

/*
 * Sends the response to REQUEST, which must not be used afterwards. EXTRA_HEADERS is NULL or header
 * lines, each ending in "\r\n".
 */
void http_respond(struct http_request *request, int code, const char *extra_headers,
		  const char *body);

/* Like http_respond, for a body of LENGTH bytes that may contain NUL bytes. */
void http_respond_bytes(struct http_request *request, int code, const char *extra_headers,
			const void *body, size_t length);

#endif
