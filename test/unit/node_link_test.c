/* Tests how many connections the links of a process start to addresses at which nobody answers. */
#include <arpa/inet.h>
#include <unistd.h>

#include "node_link.h"

enum {
	US_PER_MS = 1000,
	MANY_ADDRESSES = 1000,
	MAX_SOCKETS = 100,	 /* for connection attempts, a tenth of a usual limit of 1,024 */
	MAX_ATTEMPTS_PER_S = 500 /* about 2 % of a core */
};

static void on_down(void *context, struct node_link *link, const char *reason)
{
}

static const struct node_link_callbacks callbacks = {.down = on_down};

/* Returns a socket that accepts no connection but completes their handshakes, and its address. */
static int listen_silently(char *address, size_t size)
{
	struct sockaddr_in bound = {.sin_family = AF_INET,
				    .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	socklen_t length = sizeof(bound);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	g_assert_cmpint(bind(fd, (struct sockaddr *)&bound, length), ==, 0);
	g_assert_cmpint(listen(fd, MANY_ADDRESSES), ==, 0);
	g_assert_cmpint(getsockname(fd, (struct sockaddr *)&bound, &length), ==, 0);
	g_snprintf(address, size, "127.0.0.1:%d", ntohs(bound.sin_port));
	return fd;
}

/* Guards against a process without free sockets because it connects to all of many addresses at the
 * same time. */
static void test_attempts_are_limited(void)
{
	const struct node_identity identity = {.name = "a", .zone = "a", .address = ""};
	struct net_loop loop;
	struct node_links links;
	struct error err;
	char address[32];
	int fd = listen_silently(address, sizeof(address));
	uint32_t started = 0;

	net_loop_init(&loop);
	node_links_init(&links, &loop, &identity, 500);
	g_assert_cmpuint(node_links_free_attempts(&links), >, 0);
	while (node_links_free_attempts(&links) > 0) {
		g_assert_nonnull(node_link_connect(&links, address, &callbacks, NULL, &err));
		g_assert_cmpuint(++started, <=, MAX_SOCKETS);
	}
	net_loop_free(&loop);
	close(fd);
}

/* Guards against attempts that take a large part of a core, and against a slower reconnection where
 * there are no more addresses than a deployment has entries. */
static void test_retries_of_many_addresses(void)
{
	struct node_retry few, many;

	node_retry_init(&few, 0);
	node_retry_schedule(&few, false, 55, 0);
	node_retry_init(&many, 0);
	node_retry_schedule(&many, false, MANY_ADDRESSES, 0);
	g_assert_cmpint(few.next_attempt_us, ==, 50 * US_PER_MS);
	g_assert_cmpint(many.next_attempt_us / US_PER_MS, >=,
			MANY_ADDRESSES * 1000 / MAX_ATTEMPTS_PER_S);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/node_link/attempts_are_limited", test_attempts_are_limited);
	g_test_add_func("/node_link/retries_of_many_addresses", test_retries_of_many_addresses);
	return g_test_run();
}
