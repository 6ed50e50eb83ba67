#include <glib.h>
#include <sys/wait.h>
#include <unistd.h>

#include "net.h"

enum {
	ANSWER_BYTES = 3000000 /* more than the kernel takes at once */
};

#define ADDRESS "127.0.0.1:18931"

struct peers {
	struct net_loop loop;
	struct net_listener *listener;
	size_t received;
	bool closed;
	size_t to_send;
};

static void on_request(void *context, const char *bytes, size_t length)
{
}

static void on_server_closed(void *context, const char *reason)
{
}

static const struct net_conn_callbacks server_callbacks = {
	.data = on_request,
	.closed = on_server_closed,
};

/* Queues an answer and stops the loop within the same turn, as a shutdown does. */
static void on_accept(void *context, struct net_conn *conn)
{
	struct peers *peers = context;
	char *bytes = g_malloc0(peers->to_send);

	net_conn_set_callbacks(conn, &server_callbacks, peers);
	net_conn_send(conn, bytes, peers->to_send);
	net_conn_close_after_send(conn);
	net_loop_stop(&peers->loop);
	g_free(bytes);
}

static void on_data(void *context, const char *bytes, size_t length)
{
	((struct peers *)context)->received += length;
}

static void on_closed(void *context, const char *reason)
{
	((struct peers *)context)->closed = true;
}

static const struct net_conn_callbacks client_callbacks = {
	.data = on_data,
	.closed = on_closed,
};

/* Serves one connection and exits, as a daemon does after its loop has ended. */
static void run_server(size_t bytes, int ready)
{
	struct peers server = {.to_send = bytes};
	struct error err;

	net_loop_init(&server.loop);
	if (net_listen(&server.loop, ADDRESS, on_accept, &server, &server.listener, &err) !=
	    STATUS_OK)
		_exit(1);
	if (write(ready, "r", 1) != 1)
		_exit(1);
	net_loop_run(&server.loop);
	_exit(0);
}

static void stop_after(size_t bytes)
{
	struct peers client = {0};
	struct error err;
	int ready[2];
	int status;
	char byte;
	pid_t server;

	g_assert_cmpint(pipe(ready), ==, 0);
	server = fork();
	if (server == 0)
		run_server(bytes, ready[1]);
	g_assert_cmpint(read(ready[0], &byte, 1), ==, 1);
	net_loop_init(&client.loop);
	g_assert_nonnull(net_connect(&client.loop, ADDRESS, &client_callbacks, &client, &err));
	while (!client.closed)
		uv_run(&client.loop.uv, UV_RUN_ONCE);
	g_assert_cmpint(waitpid(server, &status, 0), ==, server);
	g_assert_cmpint(status, ==, 0);
	g_assert_cmpuint(client.received, ==, bytes);
	net_loop_free(&client.loop);
	close(ready[0]);
	close(ready[1]);
}

/* A shutdown must not lose an answer that was queued in its last turn (seen as a request that was
 * taken after SIGTERM and whose connection was closed without an answer). */
static void test_stop_sends_what_is_queued(void)
{
	stop_after(100);
}

/* The same for an answer that the kernel does not take at once. */
static void test_stop_waits_for_the_kernel(void)
{
	stop_after(ANSWER_BYTES);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/net/stop/sends_what_is_queued", test_stop_sends_what_is_queued);
	g_test_add_func("/net/stop/waits_for_the_kernel", test_stop_waits_for_the_kernel);
	return g_test_run();
}
