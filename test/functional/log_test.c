/* Tests configuration and claims when the log service fails, entries die or operators patch
 * concurrently. */
#include <signal.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>

#include "harness.h"

enum {
	SEED = 21,
	WAIT_MS = 20000,
	PROPAGATION_MS = 11000,	 /* limit to reach every process or notice an outage or its end */
	CLAIM_WAIT_MS = 3000,	 /* claims.wait_ms */
	FORWARD_LIMIT_MS = 5000, /* channel.forward_limit_ms */
	SCHEDULING_MARGIN_MS = 1000, /* allowed beyond a time limit on a busy machine */
	TASKS = 4,
	RACE_ROUNDS = 25,
	CLAIM_ROUNDS = 8,
	KEY_BYTES = 40,
	MIN_VERSION_READS = 50,
};

static json_int_t get_int(const json_t *object, const char *name)
{
	return json_integer_value(json_object_get(object, name));
}

static const char *error_field(const struct harness_reply *reply, const char *field)
{
	return json_string_value(json_object_get(json_object_get(reply->body, "error"), field));
}

static void check_error(struct harness_reply *reply, const char *type, const char *outcome)
{
	if (g_strcmp0(error_field(reply, "type"), type) != 0 ||
	    g_strcmp0(error_field(reply, "outcome"), outcome) != 0)
		g_error("not %s/%s: status %ld: %s", type, outcome, reply->status, reply->text);
	harness_reply_clear(reply);
}

static struct harness_reply call_entry(const char *method, const char *base, const char *path,
				       const char *body)
{
	char *url = g_strconcat(base, path, NULL);
	struct harness_reply reply = harness_http(method, url, body, HARNESS_CALL_TIMEOUT_MS);

	g_free(url);
	return reply;
}

/* Returns a new UUIDv7. */
static char *new_key(void)
{
	static atomic_uint count;
	guint64 now_ms = (guint64)(g_get_real_time() / 1000);

	return g_strdup_printf("%08x-%04x-7000-8000-%012x", (unsigned)(now_ms >> 16),
			       (unsigned)(now_ms & 0xffff), atomic_fetch_add(&count, 1));
}

static struct harness_reply submit_with_wait(const char *entry_url, const char *key,
					     const char *job, int wait_ms)
{
	char *path = g_strdup_printf("/v1/jobs/%s?wait_ms=%d", key, wait_ms);
	struct harness_reply reply = call_entry("PUT", entry_url, path, job);

	g_free(path);
	return reply;
}

static struct harness_reply submit_by_key(const char *entry_url, const char *key, const char *job)
{
	return submit_with_wait(entry_url, key, job, WAIT_MS);
}

/* A request sent in its own thread: a submission if KEY is set, else a configuration patch. */
struct request {
	const char *url;
	const char *key;
	const char *body;
	struct harness_reply reply;
	GThread *thread;
};

static void *send_request(void *context)
{
	struct request *request = context;

	request->reply = request->key
				 ? submit_by_key(request->url, request->key, request->body)
				 : call_entry("PATCH", request->url, "/v1/config", request->body);
	return NULL;
}

static void start_request(struct request *request)
{
	request->thread = g_thread_new("request", send_request, request);
}

static struct harness_reply patch_config(const char *entry_url, int64_t base, const char *patch)
{
	char *body =
		g_strdup_printf("{\"base\": %" G_GINT64_FORMAT ", \"patch\": %s}", base, patch);
	struct harness_reply reply = call_entry("PATCH", entry_url, "/v1/config", body);

	g_free(body);
	return reply;
}

static void apply_patch(const char *entry_url, int64_t base, const char *patch)
{
	struct harness_reply reply = patch_config(entry_url, base, patch);

	if (reply.status != 200)
		g_error("patch refused: status %ld: %s", reply.status, reply.text);
	g_assert_cmpint(get_int(reply.body, "version"), ==, base + 1);
	harness_reply_clear(&reply);
}

/* Returns the whole configuration as text, to be freed. */
static char *config_text(const char *entry_url)
{
	struct harness_reply reply = call_entry("GET", entry_url, "/v1/config", NULL);
	char *text = json_dumps(reply.body, JSON_SORT_KEYS);

	g_assert_cmpint(reply.status, ==, 200);
	harness_reply_clear(&reply);
	return text;
}

/* Waits until every entry and agent has VERSION, and checks that the entries' documents agree. */
static void wait_for_version_everywhere(struct harness *harness, int64_t version)
{
	char *first;

	for (unsigned i = 0; i < harness->options.entries; i++)
		HARNESS_WAIT(PROPAGATION_MS,
			     harness_metric(harness->entries[i].url, "config_version") == version);
	for (unsigned i = 0; i < harness->options.agents; i++)
		HARNESS_WAIT(PROPAGATION_MS,
			     harness_metric(harness->agents[i].url, "config_version") == version);
	first = config_text(harness->entries[0].url);
	for (unsigned i = 1; i < harness->options.entries; i++) {
		char *other = config_text(harness->entries[i].url);

		g_assert_cmpstr(first, ==, other);
		free(other);
	}
	free(first);
}

static void stop_cluster(struct harness *harness)
{
	g_assert_cmpuint(harness_count_starts(harness).repeated, ==, 0);
	harness_stop(harness);
	harness_free(harness);
}

/* A thread that polls the configuration versions and fails the test if one decreases. */
struct version_monitor {
	struct harness *harness;
	atomic_bool stop;
	int reads;
	GThread *thread;
};

static void check_version(const char *url, int64_t *last)
{
	int64_t version = harness_metric(url, "config_version");

	g_assert_cmpint(version, >=, *last);
	*last = version;
}

static void *monitor_versions(void *context)
{
	struct version_monitor *monitor = context;
	const struct harness *harness = monitor->harness;
	int64_t last[HARNESS_MAX_ENTRIES + HARNESS_MAX_AGENTS] = {0};

	while (!monitor->stop) {
		for (unsigned i = 0; i < harness->options.entries; i++)
			check_version(harness->entries[i].url, &last[i]);
		for (unsigned i = 0; i < harness->options.agents; i++)
			check_version(harness->agents[i].url, &last[HARNESS_MAX_ENTRIES + i]);
		monitor->reads++;
		g_usleep(HARNESS_POLL_US);
	}
	return NULL;
}

/* Sends two patches with base VERSION at once, one through each entry, and checks that exactly one
 * is accepted. */
static void patch_concurrently(struct harness *harness, int version)
{
	struct request requests[2];
	char *bodies[2];
	int accepted = 0;

	for (int i = 0; i < 2; i++) {
		bodies[i] = g_strdup_printf(
			"{\"base\": %d, \"patch\": {\"teams\": {\"t%d\": {\"max_queued\": %d}}}}",
			version, version % 5, 2 * version + i);
		requests[i] = (struct request){.url = harness->entries[i].url, .body = bodies[i]};
		start_request(&requests[i]);
	}
	for (int i = 0; i < 2; i++) {
		g_thread_join(requests[i].thread);
		g_free(bodies[i]);
		if (requests[i].reply.status == 200) {
			g_assert_cmpint(get_int(requests[i].reply.body, "version"), ==,
					version + 1);
			harness_reply_clear(&requests[i].reply);
			accepted++;
		} else {
			check_error(&requests[i].reply, "version_conflict", "not_run");
		}
	}
	g_assert_cmpint(accepted, ==, 1);
}

/* Guards against accepting two concurrent patches of one version, which would overwrite each other,
 * and against entries whose documents differ or whose version decreases, which would revert an
 * accepted patch. */
static void test_patch_race(void)
{
	struct harness *harness = harness_start(&(struct harness_options){0});
	struct version_monitor monitor = {.harness = harness};

	monitor.thread = g_thread_new("watch", monitor_versions, &monitor);
	for (int version = 0; version < RACE_ROUNDS; version++) {
		patch_concurrently(harness, version);
		wait_for_version_everywhere(harness, version + 1);
	}
	HARNESS_WAIT(WAIT_MS, monitor.reads >= MIN_VERSION_READS);
	monitor.stop = true;
	g_thread_join(monitor.thread);
	stop_cluster(harness);
}

/* Guards against reporting an append as failed, or applying its record twice, when the append took
 * effect but the response was lost. */
static void test_lost_append_answer(void)
{
	struct harness *harness = harness_start(&(struct harness_options){0});
	struct harness_reply reply;

	for (int version = 0; version < 5; version++) {
		harness_set_log_faults(harness, "{\"streams\": \"config\", \"lose_answers\": 1}");
		apply_patch(harness->entries[version % 2].url, version,
			    version % 2 ? "{\"slo\": {\"objective\": 0.9}}"
					: "{\"slo\": {\"objective\": 0.8}}");
		wait_for_version_everywhere(harness, version + 1);
	}
	for (int i = 0; i < 2; i++) {
		reply = call_entry("GET", harness->entries[i].url, "/v1/config/history", NULL);
		g_assert_cmpuint(json_array_size(json_object_get(reply.body, "history")), ==, 5);
		harness_reply_clear(&reply);
	}
	stop_cluster(harness);
}

static void run_session_job(const char *entry_url, const char *job)
{
	char *session = harness_open_session(entry_url);
	struct harness_reply reply = harness_submit(entry_url, session, "k", job, WAIT_MS);

	harness_check_results(&reply, TASKS);
	harness_reply_clear(&reply);
	g_free(session);
}

static void run_claimed_job(const char *entry_url, const char *key, const char *job)
{
	struct harness_reply reply = submit_by_key(entry_url, key, job);

	harness_check_results(&reply, TASKS);
	harness_reply_clear(&reply);
}

/* Submits under KEY until the log serves this entry again, so that the claim is accepted and its
 * job runs. The entries reconnect to the log at different times; until then a claim may be refused
 * only as log_unavailable.
 */
static void submit_until_claimed(const char *entry_url, const char *key, const char *job)
{
	struct harness_reply reply = {0};

	HARNESS_WAIT(PROPAGATION_MS,
		     (harness_reply_clear(&reply), reply = submit_by_key(entry_url, key, job),
		      g_strcmp0(error_field(&reply, "type"), "log_unavailable") != 0));
	harness_check_results(&reply, TASKS);
	harness_reply_clear(&reply);
}

/* Submits under KEY during an outage. The claim must be refused within CLAIM_WAIT_MS
 * plus a margin for a busy machine. */
static void expect_claim_refused(const char *entry_url, const char *key, const char *job,
				 const char *outcome)
{
	struct harness_reply reply = submit_by_key(entry_url, key, job);

	g_assert_cmpint(reply.elapsed_us, <,
			(CLAIM_WAIT_MS + SCHEDULING_MARGIN_MS) * INT64_C(1000));
	check_error(&reply, "log_unavailable", outcome);
}

/* Waits until the entry has noticed that the log is down. Polls with an empty patch of version 0:
 * if the configuration has a higher version, the entry refuses the patch as a conflict until it
 * notices the outage. */
static void wait_for_log_unavailable(const char *entry_url)
{
	struct harness_reply reply = {0};

	HARNESS_WAIT(PROPAGATION_MS,
		     (harness_reply_clear(&reply), reply = patch_config(entry_url, 0, "{}"),
		      g_strcmp0(error_field(&reply, "type"), "log_unavailable") == 0));
	harness_reply_clear(&reply);
}

/* Patches version BASE until the log serves this entry again and the patch is accepted. */
static void patch_until_accepted(const char *entry_url, int64_t base)
{
	struct harness_reply reply = {0};

	HARNESS_WAIT(PROPAGATION_MS,
		     (harness_reply_clear(&reply),
		      reply = patch_config(entry_url, base, "{\"slo\": {\"objective\": 0.7}}"),
		      reply.status == 200));
	g_assert_cmpint(get_int(reply.body, "version"), ==, base + 1);
	harness_reply_clear(&reply);
}

/* Checks requests while the log is down: claims under KEYS must be refused with OUTCOME, session
 * jobs must run and patches must be refused. OUTCOME is "unknown" if the entries cannot tell
 * whether the claims were appended. */
static void check_requests_in_outage(struct harness *harness, char **keys, const char *job,
				     const char *outcome)
{
	uint64_t before = harness_count_starts(harness).total;
	struct harness_reply reply;

	for (int i = 0; i < 2; i++)
		expect_claim_refused(harness->entries[i].url, keys[i], job, outcome);
	g_assert_cmpuint(harness_count_starts(harness).total, ==, before);
	for (int i = 0; i < 2; i++) {
		run_session_job(harness->entries[i].url, job);
		reply = patch_config(harness->entries[i].url, 1, "{\"slo\": null}");
		g_assert_cmpstr(error_field(&reply, "type"), ==, "log_unavailable");
		harness_reply_clear(&reply);
	}
	g_assert_cmpuint(harness_count_starts(harness).total, ==, before + 2 * TASKS);
}

static void restart_entry(struct harness *harness, unsigned index)
{
	harness_restart(harness, harness->entries[index].process);
	harness_wait_ready(harness->entries[index].url);
}

/* Guards against session jobs that stop, or requests that hang, during an outage of the log. Also
 * guards against a job that starts after its claim was refused, because the claim's record appears
 * in the log only after the outage. CONTROL is the fault
 * command sent to the log stand-in. If WAIT_UNTIL_NOTICED is set, claims are sent only after the
 * entries have noticed the outage. */
static void check_serving_in_outage(const char *control, bool wait_until_noticed)
{
	struct harness *harness = harness_start(&(struct harness_options){0});
	char *job = harness_job(TASKS, 5, 10, SEED);
	char *keys[] = {new_key(), new_key(), new_key(), new_key()};
	uint64_t started;

	apply_patch(harness->entries[0].url, 0, "{\"slo\": {\"objective\": 0.9}}");
	wait_for_version_everywhere(harness, 1);
	harness_set_log_faults(harness, control);
	for (int i = 0; i < 2 && wait_until_noticed; i++)
		wait_for_log_unavailable(harness->entries[i].url);
	/* An entry that has not noticed the outage sends the append, which may or may not have
	 * taken effect, so the outcome is unknown. */
	check_requests_in_outage(harness, keys, job, wait_until_noticed ? "not_run" : "unknown");
	harness_set_log_faults(harness, "{\"down\": false, \"hang\": false}");
	patch_until_accepted(harness->entries[0].url, 1);
	wait_for_version_everywhere(harness, 2);
	started = harness_count_starts(harness).total;
	/* An entry's records keep their order in the log. Once an entry's claim below is accepted,
	 * any earlier record of that entry has been read too. */
	for (int i = 0; i < 2; i++)
		submit_until_claimed(harness->entries[i].url, keys[2 + i], job);
	g_assert_cmpuint(harness_count_starts(harness).total, ==, started + 2 * TASKS);
	for (int i = 0; i < 2; i++) {
		run_claimed_job(harness->entries[i].url, keys[i], job);
		run_claimed_job(harness->entries[1 - i].url, keys[i], job);
	}
	g_assert_cmpuint(harness_count_starts(harness).total, ==, started + 4 * TASKS);
	for (size_t i = 0; i < G_N_ELEMENTS(keys); i++)
		g_free(keys[i]);
	free(job);
	stop_cluster(harness);
}

static void test_log_down(void)
{
	check_serving_in_outage("{\"down\": true}", true);
}

/* Same as test_log_down, but the log accepts requests without responding, and claims are sent
 * before the entries have noticed the outage. */
static void test_log_hangs(void)
{
	check_serving_in_outage("{\"down\": true, \"hang\": true}", false);
}

/* Guards against an entry that starts with the empty configuration during an outage and so reverts
 * an accepted patch. The entry must take the configuration of its peers, or of the agents if all
 * entries were restarted. */
static void test_restart_in_outage(void)
{
	struct harness *harness = harness_start(&(struct harness_options){0});
	char *job = harness_job(TASKS, 5, 10, SEED);

	apply_patch(harness->entries[0].url, 0, "{\"slo\": {\"objective\": 0.9}}");
	wait_for_version_everywhere(harness, 1);
	harness_set_log_faults(harness, "{\"down\": true}");
	harness_kill(harness->entries[1].process);
	restart_entry(harness, 1);
	wait_for_version_everywhere(harness, 1);
	for (int i = 0; i < 2; i++)
		harness_kill(harness->entries[i].process);
	for (unsigned i = 0; i < 2; i++)
		restart_entry(harness, i);
	wait_for_version_everywhere(harness, 1);
	for (int i = 0; i < 2; i++)
		run_session_job(harness->entries[i].url, job);
	harness_set_log_faults(harness, "{\"down\": false}");
	patch_until_accepted(harness->entries[1].url, 1);
	wait_for_version_everywhere(harness, 2);
	free(job);
	stop_cluster(harness);
}

/* Guards against refusing every claim in an outage with outcome "unknown", which keeps clients from
 * sending the job elsewhere. If no entry has run the job, the outcome must be "not_run". The
 * outcome must be "unknown" if an entry that may have run the job is unreachable or was restarted.
 * A request for a key that another entry has claimed must get that entry's answer. */
static void test_claim_refusal_asks_peers(void)
{
	struct harness *harness = harness_start(&(struct harness_options){0});
	char *job = harness_job(TASKS, 5, 10, SEED);
	char *claimed_key = new_key();
	char *key = new_key();
	const char *url = harness->entries[0].url;

	run_claimed_job(harness->entries[1].url, claimed_key, job);
	harness_set_log_faults(harness, "{\"down\": true}");
	for (int i = 0; i < 2; i++) {
		wait_for_log_unavailable(harness->entries[i].url);
		expect_claim_refused(harness->entries[i].url, key, job, "not_run");
	}
	harness_signal(harness->entries[1].process, SIGSTOP);
	expect_claim_refused(url, key, job, "unknown");
	harness_signal(harness->entries[1].process, SIGCONT);
	harness_kill(harness->entries[0].process);
	restart_entry(harness, 0);
	/* The restarted entry has not read the claims in the log, which may include KEY, so it must
	 * answer "unknown". */
	HARNESS_WAIT(WAIT_MS, harness_metric(url, "agents") == 2);
	run_claimed_job(url, claimed_key, job);
	expect_claim_refused(url, key, job, "unknown");
	expect_claim_refused(harness->entries[1].url, key, job, "unknown");
	g_assert_cmpuint(harness_count_starts(harness).total, ==, TASKS);
	g_free(claimed_key);
	g_free(key);
	free(job);
	stop_cluster(harness);
}

/* Returns the offset of the first snapshot of VERSION in the log, or -1. */
static int64_t find_snapshot(struct harness *harness, int64_t version)
{
	char *url = g_strdup_printf("http://127.0.0.1:%d/streams/config/records?from=0",
				    harness->log_port);
	struct harness_reply reply = harness_http("GET", url, NULL, HARNESS_CALL_TIMEOUT_MS);
	int64_t offset = -1;
	size_t index;
	json_t *item;

	json_array_foreach (json_object_get(reply.body, "records"), index, item) {
		json_t *record =
			json_loads(json_string_value(json_object_get(item, "data")), 0, NULL);
		const char *type = json_string_value(json_object_get(record, "type"));

		if (offset < 0 && g_strcmp0(type, "snapshot") == 0 &&
		    get_int(record, "version") == version)
			offset = get_int(item, "offset");
		json_decref(record);
	}
	harness_reply_clear(&reply);
	g_free(url);
	return offset;
}

/* Guards against losing the configuration once the first patches have expired from the log: a
 * process without state must load it from a snapshot. All processes are killed first, so that no
 * peer can supply it. */
static void test_retention(void)
{
	struct harness *harness = harness_start(&(struct harness_options){
		.entry_settings = "{\"log\": {\"retention_s\": 10, \"snapshot_interval_s\": 1}, "
				  "\"claims\": {\"window_s\": 5}}"});
	int64_t offset;
	char *control;
	char *before;
	char *after;

	apply_patch(harness->entries[0].url, 0, "{\"slo\": {\"objective\": 0.9}}");
	apply_patch(harness->entries[0].url, 1, "{\"teams\": {\"passes\": {\"weight\": 2}}}");
	before = config_text(harness->entries[0].url);
	HARNESS_WAIT(WAIT_MS, (offset = find_snapshot(harness, 2)) >= 0);
	for (int i = 0; i < 2; i++) {
		harness_kill(harness->entries[i].process);
		harness_kill(harness->agents[i].process);
	}
	control = g_strdup_printf("{\"expire_before\": %" G_GINT64_FORMAT "}", offset);
	harness_set_log_faults(harness, control);
	restart_entry(harness, 1);
	HARNESS_WAIT(PROPAGATION_MS,
		     harness_metric(harness->entries[1].url, "config_version") == 2);
	after = config_text(harness->entries[1].url);
	g_assert_cmpstr(after, ==, before);
	apply_patch(harness->entries[1].url, 2, "{\"slo\": null}");
	restart_entry(harness, 0);
	for (int i = 0; i < 2; i++)
		harness_restart(harness, harness->agents[i].process);
	wait_for_version_everywhere(harness, 3);
	g_free(control);
	free(before);
	free(after);
	harness_free(harness);
}

/* Submits one key through both entries at once; both must get the same complete answer. */
static void submit_concurrently(struct harness *harness, const char *job)
{
	char *key = new_key();
	struct request requests[2];

	for (int i = 0; i < 2; i++) {
		requests[i] =
			(struct request){.url = harness->entries[i].url, .key = key, .body = job};
		start_request(&requests[i]);
	}
	for (int i = 0; i < 2; i++) {
		g_thread_join(requests[i].thread);
		harness_check_results(&requests[i].reply, TASKS);
	}
	g_assert_cmpstr(requests[0].reply.text, ==, requests[1].reply.text);
	for (int i = 0; i < 2; i++)
		harness_reply_clear(&requests[i].reply);
	g_free(key);
}

/* Guards against both entries starting a job when the append of the job's claim is repeated, or the
 * claim's record is read late. */
static void test_claims_with_lost_answers(void)
{
	struct harness *harness = harness_start(&(struct harness_options){0});
	char *job = harness_job(TASKS, 5, 10, SEED);

	harness_set_log_faults(harness, "{\"streams\": \"claims\", \"lose_share\": 0.5}");
	for (int i = 0; i < CLAIM_ROUNDS; i++)
		submit_concurrently(harness, job);
	harness_set_log_faults(harness,
			       "{\"streams\": \"claims\", \"lose_share\": 0.5, \"delay_ms\": 300}");
	for (int i = 0; i < CLAIM_ROUNDS; i++)
		submit_concurrently(harness, job);
	g_assert_cmpuint(harness_count_starts(harness).total, ==, 2 * CLAIM_ROUNDS * TASKS);
	free(job);
	stop_cluster(harness);
}

/* Guards against a job that starts on its own, or twice after resubmission through both entries,
 * when a log slower than claims.wait_ms appends the claims after both clients were refused. */
static void test_claims_with_slow_log(void)
{
	struct harness *harness = harness_start(&(struct harness_options){0});
	char *job = harness_job(TASKS, 5, 10, SEED);
	char *key = new_key();
	struct request requests[2];

	harness_set_log_faults(harness, "{\"streams\": \"claims\", \"delay_ms\": 4000}");
	for (int i = 0; i < 2; i++) {
		requests[i] =
			(struct request){.url = harness->entries[i].url, .key = key, .body = job};
		start_request(&requests[i]);
	}
	for (int i = 0; i < 2; i++) {
		g_thread_join(requests[i].thread);
		check_error(&requests[i].reply, "log_unavailable", "unknown");
	}
	harness_set_log_faults(harness, "{\"streams\": \"claims\", \"delay_ms\": 0}");
	HARNESS_WAIT(WAIT_MS, harness_metric(harness->entries[0].url, "claims") > 0 &&
				      harness_metric(harness->entries[1].url, "claims") > 0);
	g_assert_cmpuint(harness_count_starts(harness).total, ==, 0);
	for (int i = 0; i < 2; i++)
		run_claimed_job(harness->entries[i].url, key, job);
	g_assert_cmpuint(harness_count_starts(harness).total, ==, TASKS);
	g_free(key);
	free(job);
	stop_cluster(harness);
}

static int64_t count_claim_appends(const struct harness *harness)
{
	char *url = g_strdup_printf("http://127.0.0.1:%d/control", harness->log_port);
	struct harness_reply reply = harness_http("GET", url, NULL, HARNESS_CALL_TIMEOUT_MS);
	const json_t *streams = json_object_get(reply.body, "streams");
	int64_t count = get_int(json_object_get(streams, "claims"), "appends");

	harness_reply_clear(&reply);
	g_free(url);
	return count;
}

/* Guards against starting a job again through another entry after the owner of its claim died, and
 * against starting the job at all if the owner died before it started the job. Also guards against
 * a reply with an outcome other than "unknown". STARTED says whether the job had started when the
 * owner died. */
static void check_owner_death(bool started)
{
	struct harness *harness = harness_start(&(struct harness_options){0});
	char *job = harness_job(TASKS, 500, 500, SEED);
	char *key = new_key();
	const char *other = harness->entries[1].url;
	struct request owner_request = {.url = harness->entries[0].url, .key = key, .body = job};
	uint64_t max_starts = started ? TASKS : 0;
	struct harness_reply reply;

	if (!started) /* delays reading the record, so that the entry dies before the start */
		harness_set_log_faults(harness, "{\"streams\": \"claims\", \"delay_ms\": 2000}");
	start_request(&owner_request);
	if (started)
		HARNESS_WAIT(WAIT_MS, harness_count_starts(harness).total > 0);
	else
		HARNESS_WAIT(WAIT_MS, count_claim_appends(harness) > 0);
	harness_kill(harness->entries[0].process);
	g_thread_join(owner_request.thread);
	g_assert_cmpint(owner_request.reply.status, ==, 0);
	harness_reply_clear(&owner_request.reply);
	harness_set_log_faults(harness, "{\"streams\": \"claims\", \"delay_ms\": 0}");
	reply = submit_with_wait(other, key, job, 0);
	/* The entry first looks for the key in the log, then forwards the request to the key's
	 * owner. */
	g_assert_cmpint(reply.elapsed_us, <,
			(CLAIM_WAIT_MS + FORWARD_LIMIT_MS + SCHEDULING_MARGIN_MS) * INT64_C(1000));
	check_error(&reply, "owner_unreachable", "unknown");
	restart_entry(harness, 0);
	for (int i = 0; i < 2; i++) {
		HARNESS_WAIT(WAIT_MS, (reply = submit_by_key(harness->entries[i].url, key, job),
				       g_strcmp0(error_field(&reply, "type"), "owner_lost") == 0 ||
					       (harness_reply_clear(&reply), false)));
		check_error(&reply, "owner_lost", "unknown");
	}
	g_assert_cmpuint(harness_count_starts(harness).total, <=, max_starts);
	g_free(key);
	free(job);
	stop_cluster(harness);
}

static void test_owner_dies_running(void)
{
	check_owner_death(true);
}

static void test_owner_dies_before_start(void)
{
	check_owner_death(false);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_message("seed %d", SEED);
	g_test_add_func("/log/patch_race", test_patch_race);
	g_test_add_func("/log/lost_append_answer", test_lost_append_answer);
	g_test_add_func("/log/down", test_log_down);
	g_test_add_func("/log/hangs", test_log_hangs);
	g_test_add_func("/log/restart_in_outage", test_restart_in_outage);
	g_test_add_func("/log/retention", test_retention);
	g_test_add_func("/claims/ask_others", test_claim_refusal_asks_peers);
	g_test_add_func("/claims/lost_answers", test_claims_with_lost_answers);
	g_test_add_func("/claims/slow_log", test_claims_with_slow_log);
	g_test_add_func("/claims/owner_dies_running", test_owner_dies_running);
	g_test_add_func("/claims/owner_dies_before_start", test_owner_dies_before_start);
	return g_test_run();
}
