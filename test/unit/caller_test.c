#include "caller.h"

#include <arpa/inet.h>
#include <glib.h>
#include <poll.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum {
	MAX_RESULT_BYTES = 1000,
	TEST_TIMEOUT_MS = 5000,
	REQUEST_BYTES = 4096,
	OVERSIZED_BODY_BYTES = 2000, /* above MAX_RESULT_BYTES */
};

/* The last character of a request's body, which selects the reply of the fake server. */
enum reply_kind {
	REPLY_OK = '1',
	REPLY_CLOSE = '2',	 /* closes the connection without a response */
	REPLY_REFUSED = '3',	 /* status 503 with Greengage-Not-Run */
	REPLY_UNAVAILABLE = '4', /* status 503 without Greengage-Not-Run */
	REPLY_INVALID_JSON = '5',
	REPLY_OVERSIZED = '6',
	REPLY_REDIRECT = '7',
	REPLY_NONE = '8', /* no response before the task's timeout */
};

/* A backend server on one thread, which serves one connection at a time. */
struct fake_server {
	int listener;
	pthread_t thread;
	atomic_int requests;
	atomic_int connections;
};

struct fixture {
	struct fake_server server;
	struct mailbox results;
	struct caller *caller;
	char url[64];
};

static void send_response(int client, const char *status, const char *headers, const char *body)
{
	char text[REQUEST_BYTES];
	int length = snprintf(text, sizeof(text), "HTTP/1.1 %s\r\n%sContent-Length: %zu\r\n\r\n%s",
			      status, headers, strlen(body), body);

	g_assert_cmpint(send(client, text, (size_t)length, MSG_NOSIGNAL), ==, length);
}

/* Replies to one request as KIND says. Returns false when the connection must be closed. */
static bool reply_to_request(int client, char kind)
{
	char oversized[OVERSIZED_BODY_BYTES + 1];

	memset(oversized, '1', OVERSIZED_BODY_BYTES);
	oversized[OVERSIZED_BODY_BYTES] = '\0';
	switch (kind) {
	case REPLY_OK:
		send_response(client, "200 OK", "", "{\"a\":1}");
		return true;
	case REPLY_CLOSE:
		return false;
	case REPLY_REFUSED:
		send_response(client, "503 No", "Greengage-Not-Run: 1\r\n", "");
		return true;
	case REPLY_UNAVAILABLE:
		send_response(client, "503 No", "", "");
		return true;
	case REPLY_INVALID_JSON:
		send_response(client, "200 OK", "", "{\"a\":");
		return true;
	case REPLY_OVERSIZED:
		send_response(client, "200 OK", "", oversized);
		return true;
	case REPLY_REDIRECT:
		send_response(client, "307 Moved", "Location: /elsewhere\r\n", "");
		return true;
	default: /* REPLY_NONE: waits past the task's timeout, then closes the connection */
		return poll(NULL, 0, TEST_TIMEOUT_MS) > 0;
	}
}

static void serve_connection(struct fake_server *server, int client)
{
	char request[REQUEST_BYTES];
	ssize_t count;

	do {
		count = recv(client, request, sizeof(request), 0);
		if (count <= 0)
			break;
		server->requests++;
	} while (reply_to_request(client, request[count - 1]));
	close(client);
}

static void *server_thread_run(void *context)
{
	struct fake_server *server = context;
	int client;

	while ((client = accept(server->listener, NULL, NULL)) >= 0) {
		server->connections++;
		serve_connection(server, client);
	}
	return NULL;
}

static void set_up(struct fixture *f, const void *unused)
{
	struct sockaddr_in address = {.sin_family = AF_INET};
	socklen_t length = sizeof(address);
	const struct caller_limits limits = {.connect_ms = 500,
					     .max_result_bytes = MAX_RESULT_BYTES};

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	f->server.listener = socket(AF_INET, SOCK_STREAM, 0);
	g_assert_cmpint(bind(f->server.listener, (struct sockaddr *)&address, length), ==, 0);
	g_assert_cmpint(listen(f->server.listener, 8), ==, 0);
	getsockname(f->server.listener, (struct sockaddr *)&address, &length);
	pthread_create(&f->server.thread, NULL, server_thread_run, &f->server);
	snprintf(f->url, sizeof(f->url), "http://127.0.0.1:%d/", ntohs(address.sin_port));
	g_assert_cmpint(mailbox_init(&f->results, NULL), ==, STATUS_OK);
	g_assert_cmpint(caller_new(&limits, &f->results, &f->caller, NULL), ==, STATUS_OK);
	caller_set_server(f->caller, &(struct caller_server){.url = f->url,
							     .slots = 1,
							     .connections = 1,
							     .keep_alive_ms = 10000});
}

static void tear_down(struct fixture *f, const void *unused)
{
	caller_free(f->caller);
	shutdown(f->server.listener, SHUT_RDWR);
	pthread_join(f->server.thread, NULL);
	close(f->server.listener);
	mailbox_free(&f->results);
}

static void submit(struct fixture *f, const char *body)
{
	struct caller_task *task = g_new0(struct caller_task, 1);

	task->body = g_strdup(body);
	task->body_bytes = strlen(body);
	task->timeout_ms = 300;
	caller_submit(f->caller, task);
}

static struct caller_task *wait_for_result(struct fixture *f)
{
	struct pollfd item = {.fd = mailbox_fd(&f->results), .events = POLLIN};
	struct mailbox_node *node;

	if (mailbox_arm(&f->results))
		g_assert_cmpint(poll(&item, 1, TEST_TIMEOUT_MS), ==, 1);
	mailbox_disarm(&f->results);
	node = mailbox_take(&f->results);
	g_assert_nonnull(node);
	return (struct caller_task *)node;
}

static void expect_outcome(struct fixture *f, const char *body, enum status status,
			   bool not_started)
{
	struct caller_task *task;

	submit(f, body);
	task = wait_for_result(f);
	g_assert_cmpstr(status_name(task->status), ==, status_name(status));
	g_assert_cmpint(task->not_started, ==, not_started);
	g_assert_cmpint(task->result != NULL, ==, status == STATUS_OK);
	caller_task_free(task);
}

/* A task that reached the server must not be reported as not started. A task that the server
 * refused must be reported as not started. */
static void test_outcomes(struct fixture *f, const void *unused)
{
	expect_outcome(f, "1", STATUS_OK, false);		/* REPLY_OK */
	expect_outcome(f, "3", STATUS_SERVER_REFUSED, true);	/* REPLY_REFUSED */
	expect_outcome(f, "4", STATUS_TASK_FAILED, false);	/* REPLY_UNAVAILABLE */
	expect_outcome(f, "5", STATUS_INVALID_RESULT, false);	/* REPLY_INVALID_JSON */
	expect_outcome(f, "6", STATUS_RESULT_TOO_LARGE, false); /* REPLY_OVERSIZED */
	expect_outcome(f, "7", STATUS_TASK_FAILED, false);	/* REPLY_REDIRECT */
	expect_outcome(f, "8", STATUS_TIMEOUT, false);		/* REPLY_NONE */
	g_assert_cmpint(f->server.requests, ==, 7);
}

/* libcurl repeats a request by itself when the server closes a reused connection without a
 * response. The caller must prevent this, since the server may have executed the task. */
static void test_never_resent(struct fixture *f, const void *unused)
{
	expect_outcome(f, "1", STATUS_OK, false); /* REPLY_OK */
	g_assert_cmpint(f->server.connections, ==, 1);
	expect_outcome(f, "2", STATUS_TASK_FAILED, false); /* REPLY_CLOSE */
	g_assert_cmpint(f->server.requests, ==, 2);
	expect_outcome(f, "1", STATUS_OK, false); /* REPLY_OK */
	g_assert_cmpint(f->server.requests, ==, 3);
}

/* A task must be reported as not started if no connection could be made. */
static void test_unreachable(struct fixture *f, const void *unused)
{
	caller_set_server(f->caller, &(struct caller_server){.url = "http://127.0.0.1:1/",
							     .slots = 1,
							     .connections = 1});
	expect_outcome(f, "1", STATUS_SERVER_UNREACHABLE, true);
}

/* A connection that the server may be about to close must not be reused. */
static void test_short_keep_alive(struct fixture *f, const void *unused)
{
	caller_set_server(f->caller, &(struct caller_server){.url = f->url,
							     .slots = 1,
							     .connections = 1,
							     .keep_alive_ms = 900});
	expect_outcome(f, "1", STATUS_OK, false); /* REPLY_OK */
	expect_outcome(f, "1", STATUS_OK, false); /* REPLY_OK */
	g_assert_cmpint(f->server.connections, ==, 2);
}

/* Tasks that wait for the only slot must not be lost or reordered. */
static void test_waiting_order(struct fixture *f, const void *unused)
{
	char body[16];

	for (unsigned i = 0; i < 50; i++) {
		snprintf(body, sizeof(body), "%u1", i);
		submit(f, body);
	}
	for (unsigned i = 0; i < 50; i++) {
		struct caller_task *task = wait_for_result(f);

		snprintf(body, sizeof(body), "%u1", i);
		g_assert_cmpmem(task->body, task->body_bytes, body, strlen(body));
		caller_task_free(task);
	}
	g_assert_cmpint(f->server.connections, ==, 1);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
#define CASE(name, function)                                                                       \
	g_test_add("/caller/" name, struct fixture, NULL, set_up, function, tear_down)
	CASE("outcomes", test_outcomes);
	CASE("never_resent", test_never_resent);
	CASE("unreachable", test_unreachable);
	CASE("short_keep_alive", test_short_keep_alive);
	CASE("waiting_order", test_waiting_order);
	return g_test_run();
}
