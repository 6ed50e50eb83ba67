/* Tests reading the configuration from the store. */
#include <arpa/inet.h>
#include <string.h>
#include <unistd.h>

#include "core_defs.h"
#include "http_server.h"
#include "node_config.h"

enum {
	HTTP_LIMIT_MS = 5000,
	HTTP_MAX_BYTES = 4096,
	TIMEOUT_US = 5000 * 1000,
	/* More than twice the interval between reads of the newest version, so that a second chain
	 * of reads would be noticed. */
	SETTLE_US = 600 * 1000,
	NEWEST_READ_INTERVAL_US = 250 * 1000,
	APPLY_LIMIT_MS = 2000 /* time limit for a new version to be in force */
};

struct fixture {
	struct net_loop loop;
	struct http_server *server;
	char address[32];
	/* struct http_request *, unanswered reads of the newest records */
	GPtrArray *newest_reads;
	/* struct http_request *, unanswered reads that wait for new records */
	GPtrArray *waiting_reads;
	struct evacuations evacuations;
	uint32_t evacuations_read; /* number of calls that tell of a higher version */
	struct node_config config;
};

/* A record of the log. VALUE is NULL in one that takes its key back. */
struct log_record {
	const char *key;
	const char *value;
};

static void on_request(void *context, struct http_request *request)
{
	struct fixture *fixture = context;
	bool newest = g_str_has_suffix(http_request_path(request), "newest");

	g_ptr_array_add(newest ? fixture->newest_reads : fixture->waiting_reads, request);
}

static void on_disconnected(void *context, struct http_request *request)
{
	struct fixture *fixture = context;

	g_ptr_array_remove(fixture->newest_reads, request);
	g_ptr_array_remove(fixture->waiting_reads, request);
}

static const struct http_server_callbacks callbacks = {
	.on_request = on_request,
	.on_disconnected = on_disconnected,
};

static void on_applied(void *context, const struct route_table *table)
{
}

static void on_recovered(void *context)
{
}

static int find_free_port(void)
{
	struct sockaddr_in address = {.sin_family = AF_INET,
				      .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	socklen_t length = sizeof(address);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	g_assert_cmpint(bind(fd, (struct sockaddr *)&address, length), ==, 0);
	g_assert_cmpint(getsockname(fd, (struct sockaddr *)&address, &length), ==, 0);
	close(fd);
	return ntohs(address.sin_port);
}

static void on_evacuations_read(void *context)
{
	((struct fixture *)context)->evacuations_read++;
}

static void set_up(struct fixture *fixture)
{
	const struct http_server_options options = {
		.header_max_bytes = HTTP_MAX_BYTES,
		.body_max_bytes = HTTP_MAX_BYTES,
		.request_limit_ms = HTTP_LIMIT_MS,
		.idle_limit_ms = HTTP_LIMIT_MS,
	};
	struct error err;

	*fixture = (struct fixture){.newest_reads = g_ptr_array_new(),
				    .waiting_reads = g_ptr_array_new()};
	net_loop_init(&fixture->loop);
	evacuations_init(&fixture->evacuations);
	g_snprintf(fixture->address, sizeof(fixture->address), "127.0.0.1:%d", find_free_port());
	g_assert_cmpint(http_server_listen(&fixture->loop, fixture->address, &options, &callbacks,
					   fixture, &fixture->server, &err),
			==, STATUS_OK);
	fixture->config = (struct node_config){
		.loop = &fixture->loop,
		.store = store_new(&fixture->loop, fixture->address),
		.evacuations = &fixture->evacuations,
		.apply_limit_ms = APPLY_LIMIT_MS,
		.applied = on_applied,
		.evacuations_read = on_evacuations_read,
		.store_recovered = on_recovered,
		.context = fixture,
	};
	node_config_read_newest(&fixture->config);
}

/* Runs the event loop until LIST holds COUNT unanswered requests. */
static void run_until(struct fixture *fixture, const GPtrArray *list, guint count)
{
	int64_t end_us = g_get_monotonic_time() + TIMEOUT_US;

	while (list->len < count) {
		g_assert_cmpint(g_get_monotonic_time(), <, end_us);
		uv_run(&fixture->loop.uv, UV_RUN_ONCE);
	}
}

static void run_for(struct fixture *fixture, int64_t time_us)
{
	int64_t end_us = g_get_monotonic_time() + time_us;

	while (g_get_monotonic_time() < end_us)
		uv_run(&fixture->loop.uv, UV_RUN_ONCE);
}

static void answer(GPtrArray *list, int code)
{
	struct http_request *request = g_ptr_array_steal_index(list, 0);

	http_respond(request, code, NULL, "{\"items\":[],\"hasMore\":false,\"endOffset\":1}");
}

static char *make_document(int version)
{
	return g_strdup_printf("{\"version\":%d,\"routes\":[]}", version);
}

/* Answers the poll that has waited longest with COUNT RECORDS. */
static void answer_poll(struct fixture *fixture, const struct log_record *records, size_t count)
{
	GString *body = g_string_new_len("\0\0\0\0\0\0\0\100\0\0\0\0\0\0\0\0", 16);

	for (size_t i = 0; i < count; i++) {
		size_t key_length = strlen(records[i].key);
		const char *value = records[i].value ? records[i].value : "";
		guint32 size = htonl((guint32)(1 + key_length + strlen(value)));

		g_string_append_len(body, (const char *)&size, sizeof(size));
		g_string_append_c(body, (char)key_length);
		g_string_append(body, records[i].key);
		g_string_append(body, value);
	}
	http_respond_bytes(g_ptr_array_steal_index(fixture->waiting_reads, 0), 200, NULL, body->str,
			   body->len);
	g_string_free(body, TRUE);
}

/* Answers the read of the newest records that has waited longest with ITEMS, the JSON text of a
 * list without its brackets, and END_OFFSET. */
static void answer_newest(struct fixture *fixture, const char *items, int end_offset)
{
	char *body = g_strdup_printf("{\"items\":[%s],\"hasMore\":false,\"endOffset\":%d}", items,
				     end_offset);

	http_respond(g_ptr_array_steal_index(fixture->newest_reads, 0), 200, NULL, body);
	g_free(body);
}

/* Answers the read of the newest records that has waited longest with a configuration. */
static void answer_version(struct fixture *fixture, int version)
{
	char *document = make_document(version);
	char *value = g_base64_encode((const guchar *)document, strlen(document));
	char *item = g_strdup_printf("{\"key\":\"config\",\"value\":\"%s\",\"offset\":%d}", value,
				     version);

	answer_newest(fixture, item, version + 1);
	g_free(item);
	g_free(value);
	g_free(document);
}

/* Runs the event loop until VERSION is in force. */
static void run_until_version(struct fixture *fixture, uint64_t version)
{
	int64_t end_us = g_get_monotonic_time() + TIMEOUT_US;

	while (node_config_version(&fixture->config) != version) {
		g_assert_cmpint(g_get_monotonic_time(), <, end_us);
		uv_run(&fixture->loop.uv, UV_RUN_ONCE);
	}
}

/* Runs the event loop until the evacuated zones have VERSION, and checks that they are ZONES. */
static void run_until_evacuated(struct fixture *fixture, uint64_t version, const char *zones)
{
	int64_t end_us = g_get_monotonic_time() + TIMEOUT_US;
	char *text;

	while (fixture->evacuations.version != version) {
		g_assert_cmpint(g_get_monotonic_time(), <, end_us);
		uv_run(&fixture->loop.uv, UV_RUN_ONCE);
	}
	text = evacuations_format(&fixture->evacuations);
	g_assert_cmpstr(text, ==, zones);
	g_free(text);
}

static void tear_down(struct fixture *fixture)
{
	store_free(fixture->config.store);
	evacuations_free(&fixture->evacuations);
	http_server_reset(fixture->server);
	uv_run(&fixture->loop.uv, UV_RUN_NOWAIT);
	g_ptr_array_free(fixture->newest_reads, TRUE);
	g_ptr_array_free(fixture->waiting_reads, TRUE);
}

/* The first two reads overlap. Reading must not continue from the answers to both, or two chains of
 * reads would run side by side. Here the second answer arrives
 * just after the read that continued from the first one has failed. */
static void test_late_first_read(void)
{
	struct fixture fixture;

	set_up(&fixture);
	run_until(&fixture, fixture.newest_reads, 2);
	answer(fixture.newest_reads, 200);
	run_until(&fixture, fixture.waiting_reads, 1);
	answer(fixture.waiting_reads, 503);
	answer(fixture.newest_reads, 200);
	run_until(&fixture, fixture.newest_reads, 1);
	answer(fixture.newest_reads, 200);
	run_for(&fixture, SETTLE_US);
	g_assert_cmpuint(fixture.newest_reads->len + fixture.waiting_reads->len, ==, 1);
	tear_down(&fixture);
}

/* Guards against a confirmed change that is late because the connection on which the entry waits
 * for it delivers nothing any more. The answer to the next read is lost as well. */
static void test_silent_connection(void)
{
	struct fixture fixture;
	int64_t changed_us;

	set_up(&fixture);
	run_until(&fixture, fixture.newest_reads, 1);
	answer_version(&fixture, 5);
	run_until(&fixture, fixture.waiting_reads, 1);
	changed_us = g_get_monotonic_time();
	run_until(&fixture, fixture.newest_reads, 1);
	g_ptr_array_remove_index(fixture.newest_reads, 0);
	run_until(&fixture, fixture.newest_reads, 1);
	answer_version(&fixture, 8);
	run_until_version(&fixture, 8);
	g_assert_cmpint(g_get_monotonic_time() - changed_us, <, APPLY_LIMIT_MS * US_PER_MS);
	tear_down(&fixture);
}

/* Guards against a confirmed change that is skipped because the store has carried out the write of
 * an older version after it, and both come in one answer. */
static void test_older_version_last(void)
{
	struct fixture fixture;
	char *documents[] = {make_document(9), make_document(7)};
	const struct log_record records[] = {{"config", documents[0]}, {"config", documents[1]}};

	set_up(&fixture);
	run_until(&fixture, fixture.newest_reads, 1);
	answer_version(&fixture, 5);
	run_until(&fixture, fixture.waiting_reads, 1);
	answer_poll(&fixture, records, G_N_ELEMENTS(records));
	run_until(&fixture, fixture.waiting_reads, 1);
	g_assert_cmpuint(node_config_version(&fixture.config), ==, 9);
	g_free(documents[0]);
	g_free(documents[1]);
	tear_down(&fixture);
}

/* Guards against an entry that waits for records behind the end of a log that has lost some, and
 * so misses the changes that take their place. */
static void test_log_ends_earlier(void)
{
	static const char end_at_4[16] = {[7] = 4};
	struct fixture fixture;

	set_up(&fixture);
	run_until(&fixture, fixture.newest_reads, 1);
	answer_version(&fixture, 5);
	run_until(&fixture, fixture.waiting_reads, 1);
	http_respond_bytes(g_ptr_array_steal_index(fixture.waiting_reads, 0), 200, NULL, end_at_4,
			   sizeof(end_at_4));
	while (fixture.newest_reads->len + fixture.waiting_reads->len == 0)
		uv_run(&fixture.loop.uv, UV_RUN_ONCE);
	g_assert_cmpuint(fixture.newest_reads->len, ==, 1);
	answer_version(&fixture, 8);
	run_until_version(&fixture, 8);
	tear_down(&fixture);
}

/* Guards against calls without a pause to a store that answers reads of the newest version but
 * refuses the reads that wait for the next one. */
static void test_refused_polls(void)
{
	struct fixture fixture;
	guint newest_reads = 0;
	int64_t end_us;

	set_up(&fixture);
	end_us = g_get_monotonic_time() + SETTLE_US;
	while (g_get_monotonic_time() < end_us) {
		uv_run(&fixture.loop.uv, UV_RUN_ONCE);
		if (fixture.waiting_reads->len > 0)
			answer(fixture.waiting_reads, 503);
		if (fixture.newest_reads->len > 0) {
			answer(fixture.newest_reads, 200);
			newest_reads++;
		}
	}
	/* One at once and one for each interval that has begun. */
	g_assert_cmpuint(newest_reads, <=, 1 + SETTLE_US / NEWEST_READ_INTERVAL_US);
	tear_down(&fixture);
}

/* Guards against evacuations that are overlooked in a list or in the log, that end for another
 * reason than a record without a value, and against other records that are taken for one. */
static void test_evacuations(void)
{
	static const struct log_record records[] = {
		{"evacuate/b", "not JSON"}, {"evacuate/a", NULL}, {"evacuate", "x"},
		{"evacuate/", "x"},	    {"evacuated/c", "x"}, {"other", "x"},
	};
	static const struct log_record again[] = {{"evacuate/a", "x"}, {"evacuate/b", NULL}};
	struct fixture fixture;

	set_up(&fixture);
	run_until(&fixture, fixture.newest_reads, 1);
	answer_newest(&fixture,
		      "{\"key\":\"evacuate/a\",\"value\":\"eA==\",\"offset\":1},"
		      "{\"key\":\"evacuate/\",\"value\":\"eA==\",\"offset\":2},"
		      "{\"key\":\"evacuate/n\\u0000\",\"value\":\"eA==\",\"offset\":3},"
		      "{\"key\":\"evacuate/d\",\"offset\":4}",
		      5);
	run_until_evacuated(&fixture, 5, "a");
	run_until(&fixture, fixture.waiting_reads, 1);
	answer_poll(&fixture, records, G_N_ELEMENTS(records));
	run_until_evacuated(&fixture, 11, "b");
	run_until(&fixture, fixture.waiting_reads, 1);
	answer_poll(&fixture, again, G_N_ELEMENTS(again));
	run_until_evacuated(&fixture, 13, "a");
	g_assert_cmpuint(fixture.evacuations_read, ==, 3);
	tear_down(&fixture);
}

/* Guards against a zone with a name of the greatest length that is not evacuated, and against a
 * longer name that is cut off to that of another zone. */
static void test_long_zone_names(void)
{
	struct fixture fixture;
	char *longest = g_strnfill(NAME_BYTES - 1, 'z');
	char *key = g_strconcat(STORE_KEY_EVACUATE, longest, NULL);
	char *too_long = g_strconcat(key, "z", NULL);

	set_up(&fixture);
	run_until(&fixture, fixture.newest_reads, 1);
	answer_newest(&fixture, "", 1);
	run_until(&fixture, fixture.waiting_reads, 1);
	answer_poll(&fixture, &(struct log_record){too_long, "x"}, 1);
	run_until_evacuated(&fixture, 2, "");
	run_until(&fixture, fixture.waiting_reads, 1);
	answer_poll(&fixture, &(struct log_record){key, "x"}, 1);
	run_until_evacuated(&fixture, 3, longest);
	tear_down(&fixture);
	g_free(too_long);
	g_free(key);
	g_free(longest);
}

/* Guards against a zone that returns to service because its record in a list cannot be read. The
 * records that follow are read all the same. */
static void test_unreadable_item(void)
{
	struct fixture fixture;

	set_up(&fixture);
	run_until(&fixture, fixture.newest_reads, 1);
	answer_newest(&fixture,
		      "{\"key\":\"evacuate/a\",\"value\":\"eA==\"},"
		      "{\"key\":\"evacuate/b\",\"value\":\"eA==\"}",
		      5);
	run_until_evacuated(&fixture, 5, "a b");
	run_until(&fixture, fixture.waiting_reads, 1);
	answer(fixture.waiting_reads, 410);
	run_until(&fixture, fixture.newest_reads, 1);
	answer_newest(&fixture, "{\"key\":tru},{\"key\":\"evacuate/c\",\"value\":\"eA==\"}", 9);
	run_until_evacuated(&fixture, 9, "a b c");
	run_until(&fixture, fixture.waiting_reads, 1);
	answer_poll(&fixture, &(struct log_record){"evacuate/b", NULL}, 1);
	run_until_evacuated(&fixture, 10, "a c");
	/* A list that can be read in full tells that the other zone is back. */
	run_until(&fixture, fixture.waiting_reads, 1);
	answer(fixture.waiting_reads, 410);
	run_until(&fixture, fixture.newest_reads, 1);
	answer_newest(&fixture, "{\"key\":\"evacuate/c\",\"value\":\"eA==\"}", 12);
	run_until_evacuated(&fixture, 12, "c");
	tear_down(&fixture);
}

/* Guards against an evacuation that is overlooked because the value of its record cannot be read,
 * by a process that has just started and knows only the list. */
static void test_unreadable_value(void)
{
	struct fixture fixture;

	set_up(&fixture);
	run_until(&fixture, fixture.newest_reads, 1);
	answer_newest(&fixture,
		      "{\"key\":\"evacuate/a\",\"value\":7},"
		      "{\"key\":\"evacuate/b\",\"value\":\"\xff\"},"
		      "{\"key\":\"evacuate/c\",\"value\":\"not base64\"}",
		      5);
	run_until_evacuated(&fixture, 5, "a b c");
	run_until(&fixture, fixture.waiting_reads, 1);
	answer(fixture.waiting_reads, 410);
	run_until(&fixture, fixture.newest_reads, 1);
	/* The names of all zones can be read, so the others are back. */
	answer_newest(&fixture, "{\"key\":\"evacuate/a\",\"value\":7}", 9);
	run_until_evacuated(&fixture, 9, "a");
	tear_down(&fixture);
}

/* Guards against a state of the zones that is replaced by the late answer to an earlier one of two
 * overlapping reads, whichever of them is answered first. */
static void test_answers_out_of_order(void)
{
	static const char evacuated[] = "{\"key\":\"evacuate/a\",\"value\":\"eA==\"}";
	struct fixture fixture;

	set_up(&fixture);
	run_until(&fixture, fixture.newest_reads, 3);
	answer_newest(&fixture, evacuated, 5);
	run_until_evacuated(&fixture, 5, "a");
	answer_newest(&fixture, "", 4);
	run_until(&fixture, fixture.waiting_reads, 1);
	answer_poll(&fixture, &(struct log_record){"evacuate/b", "x"}, 1);
	run_until_evacuated(&fixture, 6, "a b");
	answer_newest(&fixture, evacuated, 5);
	run_for(&fixture, NEWEST_READ_INTERVAL_US);
	run_until_evacuated(&fixture, 6, "a b");
	g_assert_cmpuint(fixture.evacuations_read, ==, 2);
	tear_down(&fixture);
}

/* Guards against records that are applied again because another process has told of them before
 * the poll that was waiting is answered. */
static void test_poll_behind_other_process(void)
{
	static const char *const zones[] = {"b"};
	static const struct log_record records[] = {{"evacuate/a", "x"},
						    {"evacuate/b", "x"},
						    {"evacuate/a", NULL},
						    {"evacuate/c", "x"}};
	struct fixture fixture;

	set_up(&fixture);
	run_until(&fixture, fixture.newest_reads, 1);
	answer_newest(&fixture, "", 5);
	run_until(&fixture, fixture.waiting_reads, 1);
	g_assert_true(evacuations_replace(&fixture.evacuations, 8, zones, 1));
	answer_poll(&fixture, records, 2);
	run_until(&fixture, fixture.waiting_reads, 1);
	run_until_evacuated(&fixture, 8, "b");
	answer_poll(&fixture, records + 2, 2);
	run_until_evacuated(&fixture, 9, "b c");
	tear_down(&fixture);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	/* The failure of the store is logged as a warning, which is fatal in GLib tests by default.
	 */
	g_log_set_always_fatal(G_LOG_FATAL_MASK);
	g_test_add_func("/node_config/late_first_read", test_late_first_read);
	g_test_add_func("/node_config/silent_connection", test_silent_connection);
	g_test_add_func("/node_config/older_version_last", test_older_version_last);
	g_test_add_func("/node_config/log_ends_earlier", test_log_ends_earlier);
	g_test_add_func("/node_config/refused_polls", test_refused_polls);
	g_test_add_func("/node_config/evacuations", test_evacuations);
	g_test_add_func("/node_config/long_zone_names", test_long_zone_names);
	g_test_add_func("/node_config/unreadable_item", test_unreadable_item);
	g_test_add_func("/node_config/unreadable_value", test_unreadable_value);
	g_test_add_func("/node_config/answers_out_of_order", test_answers_out_of_order);
	g_test_add_func("/node_config/poll_behind_other_process", test_poll_behind_other_process);
	return g_test_run();
}
