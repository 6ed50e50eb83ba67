/* HTTP/1.1 server for one event loop. Requests are answered at any later time; a request whose
 * client is gone is reported. */
#ifndef GG_HTTP_SERVER_H
#define GG_HTTP_SERVER_H

#include "net.h"

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
	int64_t header_limit_ms; /* time to receive a whole request */
	int64_t idle_limit_ms;	 /* between requests of a kept connection */
};

struct http_server_callbacks {
	/* A whole request has arrived; it is answered by http_respond, now or later. */
	void (*request)(void *context, struct http_request *request);
	/* The client of an unanswered request is gone; the request must not be used any more. */
	void (*disconnected)(void *context, struct http_request *request);
};

struct http_server;

/* Listens at ADDRESS. Errors as net_listen. */
enum status http_server_listen(struct net_loop *loop, const char *address,
			       const struct http_server_options *options,
			       const struct http_server_callbacks *callbacks, void *context,
			       struct http_server **server, struct error *err);

/* Replaces the limits; they hold from the next request. */
void http_server_set_options(struct http_server *server, const struct http_server_options *options);

/* Each later answer ends its connection, so that clients move to another host. */
void http_server_disable_keep_alive(struct http_server *server);

/* Closes all connections at once, as after a freeze. Unanswered requests are reported as gone. */
void http_server_reset(struct http_server *server);

/* Returns the number of open connections. */
size_t http_server_connections(const struct http_server *server);

enum http_verb http_request_method(const struct http_request *request);

/* Path without the query; never NULL. */
const char *http_request_path(const struct http_request *request);

/* What follows the question mark of the path, or NULL. */
const char *http_request_query(const struct http_request *request);

/* Value of the header NAME (any case), or NULL. */
const char *http_request_header(const struct http_request *request, const char *name);

/* The body and its length; valid until the request is answered. */
const char *http_request_body(const struct http_request *request, size_t *length);

/* Lets the caller keep its own state with the request. */
void http_request_set_context(struct http_request *request, void *context);
void *http_request_context(const struct http_request *request);

/*
 * Answers REQUEST, which must not be used afterwards. EXTRA is NULL or further header lines, each
 * ended by "\r\n".
 */
void http_respond(struct http_request *request, int code, const char *extra, const char *body);

/* As http_respond, with a body of LENGTH bytes that may hold zeros. */
void http_respond_bytes(struct http_request *request, int code, const char *extra, const void *body,
			size_t length);

#endif
