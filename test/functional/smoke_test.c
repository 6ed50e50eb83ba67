/* Tests that a cluster runs a job and stops gracefully, and that the harness reserves ports. */
#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include "harness.h"

enum {
	TASKS = 20,
	SEED = 7,
	WAIT_MS = 20000,
	PORT_COUNT = 2000, /* enough for the kernel to return some port twice */
};

/* Guards against a job that runs twice, or gets a different answer, when the client resubmits it
 * through another entry, and against a graceful stop that hangs or exits with an error. */
static void test_job_and_stop(void)
{
	struct harness *harness =
		harness_start(&(struct harness_options){.entries = 2, .agents = 2});
	char *session = harness_open_session(harness->entries[0].url);
	char *job = harness_job(TASKS, 20, 60, SEED);
	struct harness_reply first =
		harness_submit(harness->entries[0].url, session, "job-1", job, WAIT_MS);
	struct harness_reply second =
		harness_submit(harness->entries[1].url, session, "job-1", job, WAIT_MS);
	struct harness_start_counts starts = harness_count_starts(harness);

	harness_check_results(&first, TASKS);
	harness_check_results(&second, TASKS);
	g_assert_cmpstr(first.text, ==, second.text);
	g_assert_cmpuint(starts.total, ==, TASKS);
	g_assert_cmpuint(starts.repeated, ==, 0);
	g_assert_cmpuint(starts.max_running, <=, harness->options.slots);

	harness_stop(harness);
	harness_reply_clear(&first);
	harness_reply_clear(&second);
	g_free(job);
	g_free(session);
	harness_free(harness);
}

/* Guards against assigning the same port to two processes of one harness. */
static void test_reserved_ports_differ(void)
{
	struct harness *harness = harness_new();
	GHashTable *seen = g_hash_table_new(NULL, NULL);

	for (int i = 0; i < PORT_COUNT; i++)
		g_assert_true(g_hash_table_add(seen, GINT_TO_POINTER(harness_reserve_port())));
	g_hash_table_destroy(seen);
	harness_free(harness);
}

/* Returns whether a socket with SO_REUSEADDR set to REUSE_ADDRESS can listen on PORT. */
static bool can_listen(int port, int reuse_address)
{
	struct sockaddr_in address = {.sin_family = AF_INET, .sin_port = htons((uint16_t)port)};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	bool listens;

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	g_assert_cmpint(
		setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &reuse_address, sizeof(reuse_address)), ==,
		0);
	listens = bind(fd, (struct sockaddr *)&address, sizeof(address)) == 0 && listen(fd, 1) == 0;
	close(fd);
	return listens;
}

/* Guards against a port that the harness has reserved being taken by another process before the
 * intended process listens on it. Start-up then fails with "cannot listen". */
static void test_reserved_port_not_taken(void)
{
	struct harness *harness = harness_new();
	int port = harness_reserve_port();

	g_assert_false(can_listen(port, 0));
	g_assert_true(can_listen(port, 1));
	harness_free(harness);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_message("seed %d", SEED);
	g_test_add_func("/smoke/free_ports_differ", test_reserved_ports_differ);
	g_test_add_func("/smoke/ports_reserved", test_reserved_port_not_taken);
	g_test_add_func("/smoke/job_and_stop", test_job_and_stop);
	return g_test_run();
}
