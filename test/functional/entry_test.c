/* Tests entries that are paused, restarted or replaced, keys submitted through two entries, and the
 * errors for refused requests. */
#include <signal.h>
#include <string.h>

#include "harness.h"

enum {
	SEED = 11,
	WAIT_MS = 20000,
	TASKS = 40,
	AGENT_LOST_MS = 1500,	       /* channel.agent_lost_ms below */
	OWNER_KNOWN_TIMEOUT_MS = 1500, /* limit for all entries to learn of a restart */
};

static const char short_timeouts[] =
	"{\"channel\": {\"heartbeat_ms\": 200, \"heartbeat_limit_ms\": "
	"700, \"agent_lost_ms\": 1500}}";

static struct harness *start_cluster(void)
{
	return harness_start(&(struct harness_options){.entries = 2,
						       .agents = 2,
						       .entry_settings = short_timeouts,
						       .agent_settings = short_timeouts});
}

static void check_error(const struct harness_reply *reply, long status, const char *type,
			const char *outcome)
{
	const char *found_type = NULL;
	const char *found_outcome = NULL;

	g_assert_cmpint(json_unpack(reply->body, "{s:{s:s, s:s}}", "error", "type", &found_type,
				    "outcome", &found_outcome),
			==, 0);
	g_assert_cmpstr(found_type, ==, type);
	g_assert_cmpstr(found_outcome, ==, outcome);
	g_assert_cmpint(reply->status, ==, status);
}

static struct harness_reply get_job(const char *entry_url, const char *session, const char *key)
{
	char *url = g_strdup_printf("%s/v1/sessions/%s/jobs/%s?wait_ms=%d", entry_url, session, key,
				    WAIT_MS);
	struct harness_reply reply = harness_http("GET", url, NULL, HARNESS_CALL_TIMEOUT_MS);

	g_free(url);
	return reply;
}

/* Guards against an entry that, resumed after a pause longer than agent_lost_ms, declares its
 * agents lost before it reads their waiting messages, and so fails all running jobs. */
static void test_paused_entry_keeps_its_jobs(void)
{
	struct harness *harness = start_cluster();
	struct harness_entry *entry = &harness->entries[0];
	char *session = harness_open_session(entry->url);
	char *job = harness_job(TASKS, 200, 300, SEED);
	struct harness_reply reply = harness_submit(entry->url, session, "k", job, 0);

	g_assert_cmpint(reply.status, ==, 202);
	harness_reply_clear(&reply);
	HARNESS_WAIT(WAIT_MS, harness_metric(entry->url, "tasks_done_total") > 0);
	harness_signal(entry->process, SIGSTOP);
	/* A fixed sleep, because the length of the pause is what is tested. */
	g_usleep(2 * AGENT_LOST_MS * 1000);
	harness_signal(entry->process, SIGCONT);
	reply = get_job(entry->url, session, "k");
	harness_check_results(&reply, TASKS);
	g_assert_cmpuint(harness_count_starts(harness).repeated, ==, 0);
	harness_reply_clear(&reply);
	g_free(job);
	g_free(session);
	harness_stop(harness);
	harness_free(harness);
}

/* Submits again under a session whose owner was restarted, and returns whether the reply is
 * owner_lost. Until the entry knows the owner's new incarnation it reports
 * owner_unreachable; any other reply fails the test.
 */
static bool resubmission_reports_owner_lost(const char *entry_url, const char *session,
					    const char *job)
{
	struct harness_reply reply = harness_submit(entry_url, session, "k", job, WAIT_MS);
	bool lost = reply.status == 410;

	if (lost)
		check_error(&reply, 410, "owner_lost", "unknown");
	else
		check_error(&reply, 503, "owner_unreachable", "unknown");
	harness_reply_clear(&reply);
	return lost;
}

/* Guards against telling a client "not run", or running its job again, when the client resubmits
 * the job after the entry that owns its session was restarted. The client may resubmit through the
 * owner or another entry. */
static void test_owner_lost_after_restart(void)
{
	struct harness *harness = start_cluster();
	struct harness_entry *owner = &harness->entries[0];
	const char *other_url = harness->entries[1].url;
	char *session = harness_open_session(owner->url);
	char *job = harness_job(4, 5, 10, SEED);
	struct harness_reply reply = harness_submit(other_url, session, "k", job, WAIT_MS);

	harness_check_results(&reply, 4);
	harness_reply_clear(&reply);
	harness_kill(owner->process);
	reply = harness_submit(other_url, session, "k", job, WAIT_MS);
	check_error(&reply, 503, "owner_unreachable", "unknown");
	harness_reply_clear(&reply);
	harness_restart(harness, owner->process);
	harness_wait_ready(owner->url);
	for (int i = 0; i < 2; i++)
		HARNESS_WAIT(
			OWNER_KNOWN_TIMEOUT_MS,
			resubmission_reports_owner_lost(harness->entries[i].url, session, job));
	g_assert_cmpuint(harness_count_starts(harness).total, ==, 4);
	g_free(job);
	g_free(session);
	harness_stop(harness);
	harness_free(harness);
}

/* Guards against an agent that continues the counters of the old channel when an entry dies and a
 * new one is started at the same address. The agent would then refuse the new entry's starts, whose
 * sequence numbers are lower, and the entry could not use credits until their number exceeded that
 * of the old channel.
 */
static void test_replaced_entry_serves(void)
{
	struct harness *harness = start_cluster();
	struct harness_entry *entry = &harness->entries[0];
	char *job = harness_job(TASKS, 5, 10, SEED);
	struct harness_reply reply;
	char *session;

	for (int round = 0; round < 3; round++) {
		session = harness_open_session(entry->url);
		reply = harness_submit(entry->url, session, "k", job, WAIT_MS);
		harness_check_results(&reply, TASKS);
		harness_reply_clear(&reply);
		g_free(session);
		g_assert_cmpfloat(harness_metric(entry->url, "results_repeated_total"), ==, 0);
		harness_kill(entry->process);
		harness_restart(harness, entry->process);
		harness_wait_ready(entry->url);
	}
	g_free(job);
	harness_stop(harness);
	harness_free(harness);
}

static struct harness_reply submit_by_key(const char *entry_url, const char *key, const char *job)
{
	char *url = g_strdup_printf("%s/v1/jobs/%s?wait_ms=%d", entry_url, key, WAIT_MS);
	struct harness_reply reply = harness_http("PUT", url, job, HARNESS_CALL_TIMEOUT_MS);

	g_free(url);
	return reply;
}

struct keyed_submission {
	const char *url;
	const char *key;
	const char *job;
	struct harness_reply reply;
};

static void *submit_in_thread(void *data)
{
	struct keyed_submission *submission = data;

	submission->reply = submit_by_key(submission->url, submission->key, submission->job);
	return NULL;
}

/* Guards against running a job twice, or giving its clients different answers, when one key is
 * submitted through two entries at the same time. */
static void test_key_through_two_entries(void)
{
	struct harness *harness = start_cluster();
	char *job = harness_job(6, 5, 10, SEED);

	for (int round = 0; round < 10; round++) {
		char *key = g_strdup_printf("%08" G_GINT64_MODIFIER "x-%04x-7000-8000-%012x",
					    (guint64)(g_get_real_time() / 1000) >> 16,
					    (unsigned)(g_get_real_time() / 1000 & 0xffff), round);
		struct keyed_submission first = {harness->entries[0].url, key, job, {0}};
		struct keyed_submission second = {harness->entries[1].url, key, job, {0}};
		GThread *thread = g_thread_new("claim", submit_in_thread, &first);

		submit_in_thread(&second);
		g_thread_join(thread);
		harness_check_results(&first.reply, 6);
		g_assert_cmpstr(first.reply.text, ==, second.reply.text);
		harness_reply_clear(&first.reply);
		harness_reply_clear(&second.reply);
		g_free(key);
	}
	g_assert_cmpuint(harness_count_starts(harness).total, ==, 60);
	g_free(job);
	harness_stop(harness);
	harness_free(harness);
}

/* Guards against a wrong error for a request that exceeds a limit or is not JSON. Limits on the
 * body are also checked through an entry that does not own the session. */
static void test_limits(void)
{
	struct harness *harness = harness_start(&(struct harness_options){
		.entries = 2,
		.agents = 1,
		.entry_settings = "{\"http\": {\"body_max_bytes\": 4096, \"header_max_bytes\": "
				  "2048}, \"limits\": {\"tasks_per_job\": 5}}"});
	char *session = harness_open_session(harness->entries[0].url);
	char *too_many_tasks = harness_job(6, 1, 1, SEED);
	char *oversized_body = g_strnfill(5000, ' ');
	char *long_query = g_strnfill(3000, 'x');
	char *url = g_strdup_printf("%s/v1/config?%s", harness->entries[0].url, long_query);
	struct harness_reply reply;

	for (int i = 0; i < 2; i++) {
		reply = harness_submit(harness->entries[i].url, session, "k", too_many_tasks, 0);
		check_error(&reply, 413, "too_many_tasks", "not_run");
		harness_reply_clear(&reply);
		reply = harness_submit(harness->entries[i].url, session, "k", oversized_body, 0);
		check_error(&reply, 413, "body_too_large", "not_run");
		harness_reply_clear(&reply);
		reply = harness_submit(harness->entries[i].url, session, "k", "{", 0);
		check_error(&reply, 400, "invalid_json", "not_run");
		harness_reply_clear(&reply);
	}
	reply = harness_http("GET", url, NULL, HARNESS_CALL_TIMEOUT_MS);
	check_error(&reply, 431, "header_too_large", "unknown");
	harness_reply_clear(&reply);
	g_free(url);
	g_free(long_query);
	g_free(oversized_body);
	g_free(too_many_tasks);
	g_free(session);
	harness_stop(harness);
	harness_free(harness);
}

struct pending_get {
	const char *url;
	const char *session;
	struct harness_reply reply;
};

static void *get_job_in_thread(void *context)
{
	struct pending_get *pending = context;

	pending->reply = get_job(pending->url, pending->session, "k");
	return NULL;
}

/* Guards against refusing a resubmission with outcome "not_run" while the job of its key runs. */
static void test_refused_resubmission_of_running_job(void)
{
	struct harness *harness = harness_start(&(struct harness_options){
		.entries = 2,
		.agents = 1,
		.entry_settings = "{\"http\": {\"body_max_bytes\": 4096, \"open_requests\": 1}}"});
	char *session = harness_open_session(harness->entries[0].url);
	char *job = harness_job(4, 500, 500, SEED);
	char *other_job = harness_job(5, 500, 500, SEED);
	char *oversized_body = g_strnfill(5000, ' ');
	struct harness_reply reply = harness_submit(harness->entries[0].url, session, "k", job, 0);
	struct pending_get pending = {harness->entries[0].url, session, {0}};
	GThread *thread;

	g_assert_cmpint(reply.status, ==, 202);
	harness_reply_clear(&reply);
	for (int i = 0; i < 2; i++) {
		reply = harness_submit(harness->entries[i].url, session, "k", oversized_body, 0);
		check_error(&reply, 413, "body_too_large", "unknown");
		harness_reply_clear(&reply);
		reply = harness_submit(harness->entries[i].url, session, "k", "{", 0);
		check_error(&reply, 400, "invalid_json", "unknown");
		harness_reply_clear(&reply);
		reply = harness_submit(harness->entries[i].url, session, "k", other_job, 0);
		check_error(&reply, 409, "key_conflict", "unknown");
		harness_reply_clear(&reply);
	}
	thread = g_thread_new("fetch", get_job_in_thread, &pending);
	HARNESS_WAIT(WAIT_MS, harness_metric(harness->entries[0].url, "http_open_requests") == 1);
	reply = harness_submit(harness->entries[0].url, session, "k", job, 0);
	check_error(&reply, 429, "too_many_requests", "unknown");
	harness_reply_clear(&reply);
	reply = harness_submit(harness->entries[0].url, session, "unused", job, 0);
	check_error(&reply, 429, "too_many_requests", "not_run");
	harness_reply_clear(&reply);
	g_thread_join(thread);
	harness_check_results(&pending.reply, 4);
	harness_reply_clear(&pending.reply);
	g_assert_cmpuint(harness_count_starts(harness).total, ==, 4);
	g_free(oversized_body);
	g_free(other_job);
	g_free(job);
	g_free(session);
	harness_stop(harness);
	harness_free(harness);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_message("seed %d", SEED);
	g_test_add_func("/entry/paused", test_paused_entry_keeps_its_jobs);
	g_test_add_func("/entry/owner_lost", test_owner_lost_after_restart);
	g_test_add_func("/entry/replaced", test_replaced_entry_serves);
	g_test_add_func("/entry/key_race", test_key_through_two_entries);
	g_test_add_func("/entry/limits", test_limits);
	g_test_add_func("/entry/refused_resubmission", test_refused_resubmission_of_running_job);
	return g_test_run();
}
