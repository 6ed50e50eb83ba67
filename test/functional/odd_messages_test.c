/* Runs entries and agents on the platform stand-in while records, heartbeats and requests of
 * another writer reach them that are malformed or name no address. No process may end, no job may
 * be lost, and what else the lists contain must hold. */
#include <stdio.h>
#include <string.h>

#include "harness_platform.h"

enum {
	CONDITION_TIMEOUT_MS = 4000,
	CONFIG_TIMEOUT_MS = 2000,    /* limit for a configuration to take effect */
	DISCOVERY_TIMEOUT_MS = 2000, /* limit for the recovery of a lost entry */
	US_PER_MS = 1000,
	NESTING_LEVELS = 100000,
	UNUSED_ADDRESSES = 400,
	MAX_PAGES = 20, /* calls for one list, of 500 keys each on the real platform */
	ODD_MESSAGE_REPETITIONS = 20,
	JOB_THREADS = 2,
	FIRST_JOB = 1000,
	QUEUED_JOBS = 8,
	MANY_TASKS = 20, /* more than fit on one server */
	PENDING_SAMPLES = 40,
	SETTLE_MS = 1000 /* pause before the effects of a fault are checked */
};

#define MEMBERS_TOPIC "keyed.members"
#define CONFIG_TOPIC "keyed.op"

#define NESTED "@"

/* Items of a list of records. NESTED is replaced by a value of NESTING_LEVELS levels. */
static const char *const odd_items[] = {
	"{\"key\":\"a\",\"value\":@,\"offset\":0}",
	"{\"key\":\"a\",\"value\":\"e30=\",\"offset\":99999999999999999999}",
	"{\"key\":\"a\",\"value\":\"e30=\",\"offset\":1e999}",
	"{\"key\":\"a\",\"value\":1}",
	"{\"key\":\"\\udc80\",\"value\":\"e30=\",\"offset\":0}",
	"{\"key\":\"\\ud800\\u0041\",\"value\":\"e30=\",\"offset\":0}",
	"{\"key\":\"a\\u0000b\",\"value\":\"e30=\",\"offset\":0}",
	"{\"key\":\"\xff\xfe\",\"value\":\"e30=\",\"offset\":0}",
	"{\"key\":7,\"value\":\"e30=\",\"offset\":0}",
	"{\"value\":\"e30=\"}",
	"{\"key\":\"\",\"value\":\"\"}",
	"{\"key\":\"config\",\"value\":\"%%%\"}",
	"[]",
	"7",
	"null",
};

#define RECORD(text)                                                                               \
	{                                                                                          \
		(text), sizeof(text) - 1                                                           \
	}

/* Records of a log, after their length: the length of the key, the key and the value. */
static const struct {
	const char *bytes;
	size_t length;
} odd_records[] = {
	RECORD(""),
	RECORD("\xff"),
	RECORD("\x06"
	       "con"),
	RECORD("\0"),
	RECORD("\x06"
	       "config"),
	RECORD("\x06"
	       "config{"),
	RECORD("\x06"
	       "config{\"version\":99999999999999999999,\"routes\":[]}"),
	RECORD("\x06"
	       "config\xff\xfe"),
	RECORD("\x03\xff\0\xfe"
	       "{}"),
};

/* Keys of the list of entries that name none. */
static const char *const odd_addresses[] = {
	"",
	":",
	"host",
	"host:7000",
	"127.0.0.3",
	"127.0.0.3:",
	"127.0.0.3:0",
	"127.0.0.3:-1",
	"127.0.0.3:65536",
	"127.0.0.3:99999",
	"127.0.0.3:99999999999999999999",
	"127.0.0.3:7000 ",
	"127.0.0.3:7000x",
	"127.0.0.3:07000",
	" 127.0.0.3:7000",
	"127.0.0.3:7000:7000",
	"127.0.0.3.4:7000",
	"127.0.0.300:7000",
	"127.0.3:7000",
	"0.0.0.0:7000",
	"224.0.0.1:7000",
	"255.255.255.255:7000",
	"::1",
	"[::1]:7000",
	"127.0.0.3:7000\\u0000x",
	"127.0.0.3:7000\\nx",
};

static char *nested_value(void)
{
	char *opened = g_strnfill(NESTING_LEVELS, '[');
	char *closed = g_strnfill(NESTING_LEVELS, ']');
	char *value = g_strconcat(opened, closed, NULL);

	g_free(opened);
	g_free(closed);
	return value;
}

static void add_to_store(struct platform_cluster *cluster, const char *kind, const char *topic,
			 const char *body)
{
	char *path = g_strdup_printf("/control/%s?topic=%s", kind, topic);

	g_assert_cmpint(harness_status("POST", cluster->platform_url, path, body), ==, 200);
	g_free(path);
}

static void add_item(struct platform_cluster *cluster, const char *topic, const char *item)
{
	char **parts = g_strsplit(item, NESTED, -1);
	char *nested = nested_value();
	char *text = g_strjoinv(nested, parts);

	add_to_store(cluster, "item", topic, text);
	g_free(text);
	g_free(nested);
	g_strfreev(parts);
}

static void add_address(struct platform_cluster *cluster, const char *address)
{
	char *item = g_strdup_printf("{\"key\":\"%s\",\"value\":\"e30=\",\"offset\":0}", address);

	add_item(cluster, MEMBERS_TOPIC, item);
	g_free(item);
}

static void add_record(struct platform_cluster *cluster, const char *topic, const char *bytes,
		       size_t length)
{
	char *text = g_base64_encode((const guchar *)bytes, length);

	add_to_store(cluster, "record", topic, text);
	g_free(text);
}

static void restart(struct platform_cluster *cluster, struct harness_process *process)
{
	harness_kill(process);
	harness_restart(cluster->harness, process);
}

static void check_running(const struct harness_process *process)
{
	if (!process->child || !g_subprocess_get_identifier(process->child))
		g_error("%s has ended", process->name);
}

static void check_all_running(const struct platform_cluster *cluster)
{
	for (unsigned i = 0; i < PLATFORM_ENTRIES; i++)
		check_running(cluster->entries[i]);
	for (unsigned i = 0; i < PLATFORM_AGENTS; i++)
		check_running(cluster->agents[i]);
}

static void wait_for_route(struct platform_cluster *cluster, unsigned entry, const char *prefix)
{
	HARNESS_WAIT(CONFIG_TIMEOUT_MS,
		     harness_status("GET", cluster->client_urls[entry], prefix, NULL) == 200);
}

/* Submits jobs to one entry, one after the other, until it is stopped. */
struct job_stream {
	struct platform_cluster *cluster;
	unsigned entry;
	unsigned first_job;
	GThread *thread;
	gint stopping;
	unsigned completed;
	unsigned lost;
};

static void *run_jobs(void *context)
{
	struct job_stream *stream = context;

	do {
		unsigned number = stream->first_job + stream->completed + stream->lost;

		if (platform_job_completes(stream->cluster, stream->entry, number, 2))
			stream->completed++;
		else
			stream->lost++;
	} while (!g_atomic_int_get(&stream->stopping));
	return NULL;
}

static void start_jobs(struct platform_cluster *cluster, struct job_stream *streams)
{
	for (unsigned i = 0; i < JOB_THREADS; i++) {
		streams[i] = (struct job_stream){.cluster = cluster,
						 .entry = i % PLATFORM_ENTRIES,
						 .first_job = FIRST_JOB * (i + 1)};
		streams[i].thread = g_thread_new("jobs", run_jobs, &streams[i]);
	}
}

static void stop_jobs(struct job_stream *streams)
{
	for (unsigned i = 0; i < JOB_THREADS; i++) {
		g_atomic_int_set(&streams[i].stopping, 1);
		g_thread_join(streams[i].thread);
		g_test_message("entry %u: %u jobs completed", streams[i].entry,
			       streams[i].completed);
		g_assert_cmpuint(streams[i].completed, >, 0);
		g_assert_cmpuint(streams[i].lost, ==, 0);
	}
}

/* Guards against a list of entries that cannot be read because of one item in it. The agents start
 * while their only seed is down, so that they need the list. */
static void test_item_hides_entries(void)
{
	struct platform_cluster cluster;

	platform_start(&cluster);
	harness_kill(cluster.entries[0]);
	for (size_t i = 0; i < G_N_ELEMENTS(odd_items); i++) {
		g_test_message("%s", odd_items[i]);
		add_item(&cluster, MEMBERS_TOPIC, odd_items[i]);
		for (unsigned j = 0; j < PLATFORM_AGENTS; j++)
			harness_kill(cluster.agents[j]);
		HARNESS_WAIT(CONDITION_TIMEOUT_MS, !platform_entry_is_ready(&cluster, 1));
		for (unsigned j = 0; j < PLATFORM_AGENTS; j++)
			harness_restart(cluster.harness, cluster.agents[j]);
		HARNESS_WAIT(DISCOVERY_TIMEOUT_MS, platform_entry_is_ready(&cluster, 1));
		check_running(cluster.entries[1]);
	}
	g_assert_true(platform_job_completes(&cluster, 1, 1, 2));
	g_assert_true(platform_log_contains(cluster.agents[0], "\"event\":1507"));
	platform_stop(&cluster);
}

/* Guards against pages of the list that are not read because the one before them ends in an item
 * that cannot be read. */
static void test_item_ends_page(void)
{
	struct platform_cluster cluster;

	platform_start(&cluster);
	harness_kill(cluster.entries[0]);
	platform_control(&cluster, "{\"page_items\":2}");
	/* The pages are: both entries; two odd addresses; an odd address and the item that cannot
	 * be read; and after it the entry that starts then. */
	add_address(&cluster, "odd0");
	add_address(&cluster, "odd1");
	add_address(&cluster, "odd2");
	add_item(&cluster, MEMBERS_TOPIC, "{\"key\":\"\\udc80\",\"value\":\"e30=\"}");
	platform_start_entry(&cluster, PLATFORM_ENTRIES);
	HARNESS_WAIT(PLATFORM_READY_TIMEOUT_MS,
		     platform_entry_is_ready(&cluster, PLATFORM_ENTRIES));
	harness_kill(cluster.entries[1]);
	for (unsigned i = 0; i < PLATFORM_AGENTS; i++)
		restart(&cluster, cluster.agents[i]);
	HARNESS_WAIT(CONDITION_TIMEOUT_MS, !platform_entry_is_ready(&cluster, PLATFORM_ENTRIES));
	HARNESS_WAIT(DISCOVERY_TIMEOUT_MS + CONDITION_TIMEOUT_MS,
		     platform_entry_is_ready(&cluster, PLATFORM_ENTRIES));
	platform_stop(&cluster);
}

/* Guards against a list whose length, and so the number of calls to the store, any writer decides
 * on. */
static void test_long_list(void)
{
	struct platform_cluster cluster;
	int64_t before;

	platform_start(&cluster);
	platform_control(&cluster, "{\"page_items\":1}");
	for (int i = 0; i < UNUSED_ADDRESSES; i++) {
		char *address = g_strdup_printf("odd%d", i);

		add_address(&cluster, address);
		g_free(address);
	}
	before = platform_counter(&cluster, "pages");
	restart(&cluster, cluster.agents[0]);
	g_usleep(SETTLE_MS * US_PER_MS);
	g_assert_cmpint(platform_counter(&cluster, "pages") - before, >, 0);
	g_assert_cmpint(platform_counter(&cluster, "pages") - before, <=, MAX_PAGES);
	HARNESS_WAIT(CONDITION_TIMEOUT_MS, platform_log_contains(cluster.agents[0], "too long"));
	g_assert_true(platform_job_completes(&cluster, 0, 1, 2));
	platform_stop(&cluster);
}

/* Guards against addresses that end a process, that lose jobs, or that keep an entry that starts
 * later from the others. */
static void test_odd_addresses(void)
{
	struct job_stream streams[JOB_THREADS];
	struct platform_cluster cluster;

	platform_start(&cluster);
	start_jobs(&cluster, streams);
	for (size_t i = 0; i < G_N_ELEMENTS(odd_addresses); i++)
		add_address(&cluster, odd_addresses[i]);
	platform_start_entry(&cluster, PLATFORM_ENTRIES);
	HARNESS_WAIT(DISCOVERY_TIMEOUT_MS, platform_entry_is_ready(&cluster, PLATFORM_ENTRIES));
	g_assert_true(platform_job_completes(&cluster, PLATFORM_ENTRIES, 1, 4));
	stop_jobs(streams);
	check_all_running(&cluster);
	check_running(cluster.entries[PLATFORM_ENTRIES]);
	g_assert_true(platform_log_contains(cluster.entries[PLATFORM_ENTRIES], "\"event\":1310"));
	platform_stop(&cluster);
}

/* Guards against agents that find the entries late, and entries that lose jobs, because the list
 * holds hundreds of addresses at which nobody listens. */
static void test_unused_addresses(void)
{
	struct job_stream streams[JOB_THREADS];
	struct platform_cluster cluster;

	platform_start(&cluster);
	for (unsigned i = 0; i < UNUSED_ADDRESSES; i++) {
		char *address =
			g_strdup_printf("127.1.%u.%u:%d", i / 100, i % 100 + 1, cluster.peer_port);

		add_address(&cluster, address);
		g_free(address);
	}
	restart(&cluster, cluster.entries[1]);
	HARNESS_WAIT(PLATFORM_READY_TIMEOUT_MS, platform_entry_is_ready(&cluster, 1));
	start_jobs(&cluster, streams);
	g_usleep(SETTLE_MS * US_PER_MS);
	stop_jobs(streams);
	harness_kill(cluster.entries[0]);
	for (unsigned i = 0; i < PLATFORM_AGENTS; i++)
		harness_kill(cluster.agents[i]);
	HARNESS_WAIT(CONDITION_TIMEOUT_MS, !platform_entry_is_ready(&cluster, 1));
	for (unsigned i = 0; i < PLATFORM_AGENTS; i++)
		harness_restart(cluster.harness, cluster.agents[i]);
	HARNESS_WAIT(DISCOVERY_TIMEOUT_MS, platform_entry_is_ready(&cluster, 1));
	g_assert_true(platform_job_completes(&cluster, 1, 1, 4));
	platform_stop(&cluster);
}

/* Returns the number of queued jobs that ENTRY reports. */
static int64_t pending_jobs(struct platform_cluster *cluster, unsigned entry)
{
	struct harness_reply reply = harness_call("GET", cluster->client_urls[entry], "/q/", NULL);
	int64_t pending = json_integer_value(json_object_get(reply.body, "pending"));

	harness_reply_clear(&reply);
	return pending;
}

/* Starts a proxy at ALIAS, a second address of entry 0, and has entry 1 read it from the store and
 * tell entry 0 of it. */
static void add_alias(struct platform_cluster *cluster, const char *alias)
{
	char *route = g_strdup_printf("--route=alias:%s:%d:127.0.0.2:%d", alias, cluster->peer_port,
				      cluster->peer_port);
	char *address = g_strdup_printf("%s:%d", alias, cluster->peer_port);
	const char *argv[] = {GG_BUILD_DIR "/test/standin/standin_proxy", route, NULL};

	harness_wait_listening(harness_spawn(cluster->harness, "alias", argv));
	add_address(cluster, address);
	restart(cluster, cluster->entries[1]);
	HARNESS_WAIT(PLATFORM_READY_TIMEOUT_MS, platform_entry_is_ready(cluster, 1));
	g_usleep(SETTLE_MS * US_PER_MS);
	g_free(address);
	g_free(route);
}

/* Guards against queued jobs that are counted twice because an entry is listed under a second
 * address, at which it also reaches itself. */
static void test_second_address(void)
{
	struct platform_submission submissions[QUEUED_JOBS];
	GThread *threads[QUEUED_JOBS];
	struct platform_cluster cluster;
	int64_t highest = 0;

	platform_start(&cluster);
	add_alias(&cluster, "127.0.0.20");
	platform_control(&cluster, "{\"run_ms\":400}");
	for (unsigned i = 0; i < QUEUED_JOBS; i++) {
		submissions[i] = (struct platform_submission){
			.cluster = &cluster, .number = i + 1, .tasks = MANY_TASKS};
		threads[i] = g_thread_new("client", platform_run_submission, &submissions[i]);
	}
	for (unsigned i = 0; i < PENDING_SAMPLES; i++) {
		for (unsigned j = 0; j < PLATFORM_ENTRIES; j++)
			highest = MAX(highest, pending_jobs(&cluster, j));
		g_usleep(HARNESS_POLL_US);
	}
	for (unsigned i = 0; i < QUEUED_JOBS; i++) {
		g_thread_join(threads[i]);
		harness_reply_clear(&submissions[i].reply);
	}
	g_test_message("at most %d jobs reported as queued", (int)highest);
	g_assert_cmpint(highest, >, 0);
	g_assert_cmpint(highest, <=, QUEUED_JOBS);
	platform_stop(&cluster);
}

/* Guards against a configuration that takes effect late or never because of other records in its
 * topic. An entry that starts then reads the list of newest records, and runs alone so that it
 * cannot ask another one. */
static void test_records_beside_config(void)
{
	struct platform_cluster cluster;
	int version = 10;

	platform_start(&cluster);
	for (size_t i = 0; i < G_N_ELEMENTS(odd_records); i++) {
		char *prefix = g_strdup_printf("/n%d/", version);

		g_test_message("record %zu", i);
		add_record(&cluster, CONFIG_TOPIC, odd_records[i].bytes, odd_records[i].length);
		platform_publish_config(&cluster, version, prefix);
		for (unsigned j = 0; j < PLATFORM_ENTRIES; j++)
			wait_for_route(&cluster, j, prefix);
		g_free(prefix);
		version++;
	}
	/* "log service unavailable": a whole answer was dropped. */
	for (unsigned i = 0; i < PLATFORM_ENTRIES; i++)
		g_assert_false(platform_log_contains(cluster.entries[i], "\"event\":1502"));
	for (size_t i = 0; i < G_N_ELEMENTS(odd_items); i++)
		add_item(&cluster, CONFIG_TOPIC, odd_items[i]);
	platform_publish_config(&cluster, version, "/last/");
	for (unsigned i = 0; i < PLATFORM_ENTRIES; i++)
		wait_for_route(&cluster, i, "/last/");
	check_all_running(&cluster);
	for (unsigned i = 0; i < PLATFORM_ENTRIES; i++)
		harness_kill(cluster.entries[i]);
	harness_restart(cluster.harness, cluster.entries[1]);
	wait_for_route(&cluster, 1, "/last/");
	platform_stop(&cluster);
}

/* Heartbeats. NESTED is replaced as in odd_items. */
static const char *const odd_heartbeats[] = {
	"@",
	"{\"service\":\"svc\",\"state\":@}",
	"{\"service\":\"svc\",\"addr\":\"127.0.0.1:1\",\"zone\":\"a\",\"state\":\"ready\",\"seq\":"
	"99999999999999999999}",
	"{\"service\":\"svc\",\"addr\":\"127.0.0.1:1\",\"zone\":\"a\",\"state\":\"ready\",\"seq\":"
	"1e999}",
	"{\"service\":\"svc\",\"addr\":\"127.0.0.1:99999\"",
	"{\"service\":\"svc\",\"addr\":\"127.0.0.1:99999\",\"zone\":\"a\",\"state\":\"asleep\","
	"\"capacity\":{\"cpu\":64000,\"memMb\":65536},\"seq\":99}",
	"{\"service\":{},\"addr\":[],\"zone\":7,\"state\":null}",
	"{\"service\":\"\xff\"}",
	"[]",
	"",
};

/* Guards against heartbeats and jobs that end a process, or whose repetition keeps those of others
 * from being handled. */
static void test_odd_bodies(void)
{
	struct job_stream streams[JOB_THREADS];
	struct platform_cluster cluster;
	char *nested = nested_value();

	platform_start(&cluster);
	start_jobs(&cluster, streams);
	for (size_t i = 0; i < G_N_ELEMENTS(odd_heartbeats); i++) {
		char **parts = g_strsplit(odd_heartbeats[i], NESTED, -1);
		char *body = g_strjoinv(nested, parts);
		char *url = g_strdup_printf("http://127.0.0.1:%d", cluster.control_ports[0]);

		for (unsigned j = 0; j < ODD_MESSAGE_REPETITIONS; j++) {
			long status = harness_status(
				"POST", url, "/greengagefront/instances/i-other/heartbeat", body);

			if (status != 400 && status != 413)
				g_error("%s: status %ld", odd_heartbeats[i], status);
		}
		g_free(url);
		g_free(body);
		g_strfreev(parts);
	}
	nested[8000] = '\0'; /* below the limit for bodies */
	for (unsigned i = 0; i < ODD_MESSAGE_REPETITIONS; i++)
		g_assert_cmpint(harness_status("POST", cluster.client_urls[0],
					       "/q/0000000000000001", nested),
				==, 400);
	stop_jobs(streams);
	check_all_running(&cluster);
	g_assert_cmpint(platform_counter(&cluster, "heartbeats_refused"), ==, 0);
	g_free(nested);
	platform_stop(&cluster);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/odd_messages/item_hides_entries", test_item_hides_entries);
	g_test_add_func("/odd_messages/item_ends_page", test_item_ends_page);
	g_test_add_func("/odd_messages/long_list", test_long_list);
	g_test_add_func("/odd_messages/addresses", test_odd_addresses);
	g_test_add_func("/odd_messages/unused_addresses", test_unused_addresses);
	g_test_add_func("/odd_messages/second_address", test_second_address);
	g_test_add_func("/odd_messages/records_beside_config", test_records_beside_config);
	g_test_add_func("/odd_messages/bodies", test_odd_bodies);
	return g_test_run();
}
