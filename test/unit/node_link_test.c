/* Tests how many connections the links of a process start to addresses at which nobody answers, and
 * the times of the frames on links. */
#include <arpa/inet.h>
#include <time.h>
#include <unistd.h>

#include "node_link.h"

enum {
	US_PER_MS = 1000,
	US_PER_S = 1000 * 1000,
	NS_PER_US = 1000,
	CLOCK_ERROR_US = 2 * US_PER_MS, /* frames name milliseconds */
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

struct greeting {
	struct net_loop loop;
	struct node_links links;
	struct message_times sent_by_entry; /* of the hello message that each side has received */
	struct message_times sent_by_agent;
	uint32_t received;
};

static int64_t boot_time_us(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_BOOTTIME, &ts);
	return (int64_t)ts.tv_sec * US_PER_S + ts.tv_nsec / NS_PER_US;
}

static bool record_greeting(struct greeting *greeting, struct message_times *times,
			    const struct node_link *link)
{
	*times = node_link_frame_times(link);
	if (++greeting->received == 2)
		net_loop_stop(&greeting->loop);
	return true;
}

static bool on_entry_greeted(void *context, struct node_link *link, const Ggd__Hello *hello)
{
	struct greeting *greeting = context;

	return record_greeting(greeting, &greeting->sent_by_agent, link);
}

static bool on_agent_greeted(void *context, struct node_link *link, const Ggd__Hello *hello)
{
	struct greeting *greeting = context;

	return record_greeting(greeting, &greeting->sent_by_entry, link);
}

static void on_accept(void *context, struct net_conn *conn)
{
	static const struct node_link_callbacks accepted = {
		.up = on_entry_greeted,
		.down = on_down,
	};
	struct greeting *greeting = context;

	node_link_accept(&greeting->links, conn, &accepted, greeting);
}

/* Guards against messages whose age is unknown because their sender names no time, and against a
 * connection that is taken for older than the messages that wait in it. */
static void test_frames_name_times(void)
{
	static const struct node_link_callbacks outgoing = {
		.up = on_agent_greeted,
		.down = on_down,
	};
	const struct node_identity identity = {.name = "a", .zone = "a", .address = ""};
	struct greeting greeting = {0};
	struct net_listener *listener;
	struct error err;
	char address[32];
	int64_t before_us;

	close(listen_silently(address, sizeof(address)));
	net_loop_init(&greeting.loop);
	node_links_init(&greeting.links, &greeting.loop, &identity, 500);
	g_assert_cmpint(net_listen(&greeting.loop, address, on_accept, &greeting, &listener, &err),
			==, STATUS_OK);
	before_us = boot_time_us();
	g_assert_nonnull(node_link_connect(&greeting.links, address, &outgoing, &greeting, &err));
	net_loop_run(&greeting.loop);
	g_assert_cmpint(greeting.sent_by_agent.sent_us, >=, before_us - CLOCK_ERROR_US);
	g_assert_cmpint(greeting.sent_by_agent.received_us, >=, greeting.sent_by_agent.sent_us);
	g_assert_cmpint(greeting.sent_by_agent.received_us, <=, boot_time_us() + CLOCK_ERROR_US);
	g_assert_cmpint(greeting.sent_by_agent.earliest_us, ==, 0);
	g_assert_cmpint(greeting.sent_by_entry.sent_us, >=, before_us - CLOCK_ERROR_US);
	g_assert_cmpint(greeting.sent_by_entry.received_us, >=, greeting.sent_by_entry.sent_us);
	g_assert_cmpint(greeting.sent_by_entry.earliest_us, >, 0);
	g_assert_cmpint(greeting.sent_by_entry.earliest_us, <=,
			greeting.sent_by_entry.sent_us + CLOCK_ERROR_US);
	net_listener_close(listener);
	net_loop_free(&greeting.loop);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/node_link/attempts_are_limited", test_attempts_are_limited);
	g_test_add_func("/node_link/retries_of_many_addresses", test_retries_of_many_addresses);
	g_test_add_func("/node_link/frames_name_times", test_frames_name_times);
	return g_test_run();
}
