#include "harness_platform.h"

#include <string.h>

static void write_settings(struct platform_cluster *cluster, const char *name, const char *text)
{
	char *file = g_strdup_printf("%s/%s.json", cluster->harness->directory, name);

	g_assert_true(g_file_set_contents(file, text, -1, NULL));
	g_free(file);
}

static struct harness_process *spawn_daemon(struct platform_cluster *cluster, const char *name)
{
	char *file = g_strdup_printf("%s/%s.json", cluster->harness->directory, name);
	const char *argv[] = {GG_BUILD_DIR "/packages/greengaged/greengaged", "--settings", file,
			      NULL};
	struct harness_process *process = harness_spawn(cluster->harness, name, argv);

	g_free(file);
	return process;
}

void platform_publish_config(struct platform_cluster *cluster, int version, const char *prefix)
{
	char *document = g_strdup_printf(
		"{\"version\":%d,\"routes\":["
		"{\"name\":\"r2\",\"host\":\"127.0.0.2\",\"pathPrefix\":\"%s\",\"service\":\"svc\","
		"\"priority\":0,\"maxAttempts\":2,\"stretchFactor\":1.6,\"targetRuntimeMs\":2000,"
		"\"timeoutMs\":3000},"
		"{\"name\":\"r3\",\"host\":\"127.0.0.3\",\"pathPrefix\":\"%s\",\"service\":\"svc\","
		"\"priority\":0,\"maxAttempts\":2,\"stretchFactor\":1.6,\"targetRuntimeMs\":2000,"
		"\"timeoutMs\":3000},"
		"{\"name\":\"r4\",\"host\":\"127.0.0.4\",\"pathPrefix\":\"%s\",\"service\":\"svc\","
		"\"priority\":0,\"maxAttempts\":2,\"stretchFactor\":1.6,\"targetRuntimeMs\":2000,"
		"\"timeoutMs\":3000}],\"services\":[],\"limits\":{\"maxBodyBytes\":8192}}",
		version, prefix, prefix, prefix);

	g_assert_cmpint(harness_status("POST", cluster->platform_url, "/control/config", document),
			==, 200);
	g_free(document);
}

void platform_write_record(struct platform_cluster *cluster, const char *key, const char *value)
{
	char *path = g_strdup_printf("/control/operator?key=%s", key);

	g_assert_cmpint(harness_status("POST", cluster->platform_url, path, value ? value : ""), ==,
			200);
	g_free(path);
}

void platform_control(struct platform_cluster *cluster, const char *faults)
{
	g_assert_cmpint(harness_status("POST", cluster->platform_url, "/control", faults), ==, 200);
}

int64_t platform_counter(struct platform_cluster *cluster, const char *name)
{
	struct harness_reply reply = harness_call("GET", cluster->platform_url, "/control", NULL);
	int64_t value = json_integer_value(json_object_get(reply.body, name));

	harness_reply_clear(&reply);
	return value;
}

bool platform_entry_is_ready(struct platform_cluster *cluster, unsigned entry)
{
	return harness_status("GET", cluster->ready_urls[entry], "/greengagefront/readyz", NULL) ==
	       200;
}

static void write_all_settings(struct platform_cluster *cluster, int store_port, int peer_port,
			       const int *controls, const int *servers, const char *const *zones)
{
	for (unsigned i = 0; i < PLATFORM_ENTRIES + PLATFORM_SPARE_ENTRIES; i++) {
		char *name = g_strdup_printf("entry%u", i);
		int clients = harness_reserve_port();
		int readiness = harness_reserve_port();
		char *text = g_strdup_printf(
			"{\"mode\":\"platform\",\"role\":\"entry\",\"name\":\"%s\",\"zone\":\"a\","
			"\"listen\":{\"clients\":\"127.0.0.%u:%d\",\"readiness\":\"127.0.0.%u:%d\"}"
			","
			"\"peers\":{\"ip\":\"127.0.0.%u\",\"port\":%d,\"seeds\":[\"127.0.0.2:1\"]},"
			"\"store\":{\"address\":\"" PLATFORM_ENTRIES_STORE_IP
			":%d\"},\"limits\":{\"grace_s\":6.0}}",
			name, i + 2, clients, i + 2, readiness, i + 2, peer_port, store_port);

		write_settings(cluster, name, text);
		cluster->client_urls[i] = g_strdup_printf("http://127.0.0.%u:%d", i + 2, clients);
		cluster->ready_urls[i] = g_strdup_printf("http://127.0.0.%u:%d", i + 2, readiness);
		g_free(text);
		g_free(name);
	}
	for (unsigned i = 0; i < PLATFORM_AGENTS; i++) {
		char *name = g_strdup_printf("agent%u", i);
		char *text = g_strdup_printf(
			"{\"mode\":\"platform\",\"role\":\"agent\",\"name\":\"%s\",\"zone\":\"%s\","
			"\"listen\":{\"control\":\"127.0.0.1:%d\"},"
			"\"peers\":{\"ip\":\"127.0.0.1\",\"port\":%d,\"seeds\":[\"127.0.0.2:1\"]},"
			"\"server\":{\"address\":\"127.0.0.1:%d\"},"
			"\"store\":{\"address\":\"127.0.0.1:%d\"}}",
			name, zones[i], controls[i], peer_port, servers[i], store_port);

		write_settings(cluster, name, text);
		g_free(text);
		g_free(name);
	}
}

void platform_start_entry(struct platform_cluster *cluster, unsigned entry)
{
	char *name = g_strdup_printf("entry%u", entry);

	cluster->entries[entry] = spawn_daemon(cluster, name);
	g_free(name);
}

void platform_start(struct platform_cluster *cluster)
{
	const char *zones[PLATFORM_AGENTS];

	for (unsigned i = 0; i < PLATFORM_AGENTS; i++)
		zones[i] = "a";
	platform_start_in_zones(cluster, zones);
}

void platform_start_in_zones(struct platform_cluster *cluster,
			     const char *const zones[PLATFORM_AGENTS])
{
	int store_port, peer_port, controls[PLATFORM_AGENTS], servers[PLATFORM_AGENTS];
	char *argv[PLATFORM_AGENTS + 3] = {GG_BUILD_DIR "/test/standin/standin_platform"};

	*cluster = (struct platform_cluster){.harness = harness_new()};
	store_port = harness_reserve_port();
	peer_port = harness_reserve_port();
	cluster->store_port = store_port;
	cluster->peer_port = peer_port;
	argv[1] = g_strdup_printf("127.0.0.1:%d," PLATFORM_ENTRIES_STORE_IP ":%d", store_port,
				  store_port);
	for (unsigned i = 0; i < PLATFORM_AGENTS; i++) {
		controls[i] = harness_reserve_port();
		cluster->control_ports[i] = controls[i];
		servers[i] = harness_reserve_port();
		argv[i + 2] = g_strdup_printf("127.0.0.1:%d=127.0.0.1:%d=%s", servers[i],
					      controls[i], zones[i]);
	}
	cluster->platform_url = g_strdup_printf("http://127.0.0.1:%d", store_port);
	write_all_settings(cluster, store_port, peer_port, controls, servers, zones);
	cluster->platform = harness_spawn(cluster->harness, "platform", (const char *const *)argv);
	for (unsigned i = 1; argv[i]; i++)
		g_free(argv[i]);
	HARNESS_WAIT(PLATFORM_READY_TIMEOUT_MS,
		     harness_status("GET", cluster->platform_url, "/control", NULL) == 200);
	platform_publish_config(cluster, 5, "/q/");
	for (unsigned i = 0; i < PLATFORM_ENTRIES; i++)
		platform_start_entry(cluster, i);
	for (unsigned i = 0; i < PLATFORM_AGENTS; i++) {
		char *name = g_strdup_printf("agent%u", i);

		cluster->agents[i] = spawn_daemon(cluster, name);
		g_free(name);
	}
	for (unsigned i = 0; i < PLATFORM_ENTRIES; i++)
		HARNESS_WAIT(PLATFORM_READY_TIMEOUT_MS, platform_entry_is_ready(cluster, i));
}

void platform_stop(struct platform_cluster *cluster)
{
	g_assert_cmpint(platform_counter(cluster, "overlaps"), ==, 0);
	for (unsigned i = 0; i < PLATFORM_ENTRIES + PLATFORM_SPARE_ENTRIES; i++) {
		g_free(cluster->client_urls[i]);
		g_free(cluster->ready_urls[i]);
	}
	g_free(cluster->platform_url);
	harness_free(cluster->harness);
}

static char *job_body(unsigned tasks, int estimate_ms)
{
	return g_strdup_printf("{\"spec\":\"s\",\"bestEffort\":true,\"phases\":[{\"count\":%u,"
			       "\"cpu\":1000,\"memMb\":64,\"estMs\":%d}]}",
			       tasks, estimate_ms);
}

struct harness_reply platform_submit(struct platform_cluster *cluster, unsigned entry,
				     unsigned number, unsigned tasks)
{
	char *path = g_strdup_printf("/q/%016x", number);
	char *body = job_body(tasks, 100);
	struct harness_reply reply = harness_call("POST", cluster->client_urls[entry], path, body);

	g_free(path);
	g_free(body);
	return reply;
}

bool platform_job_completes(struct platform_cluster *cluster, unsigned entry, unsigned number,
			    unsigned tasks)
{
	struct harness_reply reply = platform_submit(cluster, entry, number, tasks);
	const char *state = json_string_value(json_object_get(reply.body, "state"));
	bool completed = reply.status == 200 && state && strcmp(state, "completed") == 0;

	harness_reply_clear(&reply);
	return completed;
}

void *platform_run_submission(void *context)
{
	struct platform_submission *submission = context;

	submission->reply = platform_submit(submission->cluster, submission->entry,
					    submission->number, submission->tasks);
	return NULL;
}

bool platform_log_contains(const struct harness_process *process, const char *text)
{
	char *log = NULL;
	bool found =
		g_file_get_contents(process->stdout_file, &log, NULL, NULL) && strstr(log, text);

	g_free(log);
	return found;
}
