#include "logclient.h"

#include <curl/curl.h>
#include <gio/gio.h>
#include <pthread.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

enum {
	WAIT_LIMIT_S = 10, /* limit on every wait, far above the duration of a successful one */
	MAX_APPENDS = 100
};

/* What the callbacks reported. LOCK protects the other fields. */
struct reports {
	pthread_mutex_t lock;
	pthread_cond_t changed;
	GString *records;	  /* "offset=data " each */
	uint64_t truncated_first; /* first offset kept by the last truncation */
	int caught_up_count;
	int available; /* last reported value; -1 before the first report */
	int appended_count;
	uint64_t offsets[MAX_APPENDS];
	struct error errors[MAX_APPENDS];
};

struct fixture {
	GSubprocess *service;
	char *url;
	struct reports reports;
	struct log_client *client;
};

static void on_record(void *context, const char *stream, const struct log_record *record)
{
	struct reports *reports = context;

	pthread_mutex_lock(&reports->lock);
	g_string_append_printf(reports->records, "%llu=%.*s ", (unsigned long long)record->offset,
			       (int)record->length, record->data);
	pthread_cond_broadcast(&reports->changed);
	pthread_mutex_unlock(&reports->lock);
}

static void on_truncated(void *context, const char *stream, uint64_t first)
{
	struct reports *reports = context;

	pthread_mutex_lock(&reports->lock);
	reports->truncated_first = first;
	pthread_mutex_unlock(&reports->lock);
}

static void on_appended(void *context, uint64_t request, uint64_t offset, const struct error *err)
{
	struct reports *reports = context;

	pthread_mutex_lock(&reports->lock);
	g_assert_cmpuint(request, <, MAX_APPENDS);
	reports->offsets[request] = offset;
	reports->errors[request] = *err;
	reports->appended_count++;
	pthread_cond_broadcast(&reports->changed);
	pthread_mutex_unlock(&reports->lock);
}

static void on_caught_up(void *context, const char *stream, uint64_t next)
{
	struct reports *reports = context;

	pthread_mutex_lock(&reports->lock);
	reports->caught_up_count++;
	pthread_cond_broadcast(&reports->changed);
	pthread_mutex_unlock(&reports->lock);
}

static void on_availability(void *context, bool available)
{
	struct reports *reports = context;

	pthread_mutex_lock(&reports->lock);
	reports->available = available;
	pthread_cond_broadcast(&reports->changed);
	pthread_mutex_unlock(&reports->lock);
}

static struct timespec wait_deadline(void)
{
	struct timespec until;

	clock_gettime(CLOCK_MONOTONIC, &until);
	until.tv_sec += WAIT_LIMIT_S;
	return until;
}

/* Waits until *VALUE is EXPECTED. Fails after WAIT_LIMIT_S. */
static void wait_for(struct reports *reports, const int *value, int expected)
{
	struct timespec until = wait_deadline();

	pthread_mutex_lock(&reports->lock);
	while (*value != expected) {
		if (pthread_cond_clockwait(&reports->changed, &reports->lock, CLOCK_MONOTONIC,
					   &until))
			g_error("waited %d s for %d, last value %d", WAIT_LIMIT_S, expected,
				*value);
	}
	pthread_mutex_unlock(&reports->lock);
}

static void wait_for_records(struct reports *reports, const char *expected)
{
	struct timespec until = wait_deadline();

	pthread_mutex_lock(&reports->lock);
	while (strcmp(reports->records->str, expected) != 0) {
		if (pthread_cond_clockwait(&reports->changed, &reports->lock, CLOCK_MONOTONIC,
					   &until))
			g_error("waited %d s for \"%s\", got \"%s\"", WAIT_LIMIT_S, expected,
				reports->records->str);
	}
	pthread_mutex_unlock(&reports->lock);
}

/* Posts BODY to PATH of the log service, /control or the records of stream "s", bypassing the log
 * client under test. */
static void post(struct fixture *fixture, const char *path, const char *body)
{
	char *url = g_strconcat(fixture->url, path, NULL);
	CURL *easy = curl_easy_init();
	FILE *answer = tmpfile();

	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_NOPROXY, "*");
	curl_easy_setopt(easy, CURLOPT_POSTFIELDS, body);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, answer);
	g_assert_cmpint(curl_easy_perform(easy), ==, CURLE_OK);
	curl_easy_cleanup(easy);
	fclose(answer);
	g_free(url);
}

/* Sets the faults that the stand-in log service simulates. */
static void control_service(struct fixture *fixture, const char *body)
{
	post(fixture, "/control", body);
}

static void start_service(struct fixture *fixture)
{
	GDataInputStream *output;
	char *line;

	fixture->service =
		g_subprocess_new(G_SUBPROCESS_FLAGS_STDOUT_PIPE, NULL,
				 GG_BUILD_DIR "/test/standin/standin_log", "--port", "0", NULL);
	g_assert_nonnull(fixture->service);
	output = g_data_input_stream_new(g_subprocess_get_stdout_pipe(fixture->service));
	line = g_data_input_stream_read_line(output, NULL, NULL, NULL);
	g_assert_true(line && g_str_has_prefix(line, "listening "));
	fixture->url = g_strconcat("http://127.0.0.1:", line + strlen("listening "), NULL);
	g_free(line);
	g_object_unref(output);
}

static void set_up(struct fixture *fixture, gconstpointer data)
{
	const struct log_limits limits = {
		.connect_ms = 1000, .append_ms = 1000, .poll_ms = 2000, .retry_ms = 10};
	const struct log_callbacks callbacks = {
		.context = &fixture->reports,
		.on_record = on_record,
		.on_truncated = on_truncated,
		.on_appended = on_appended,
		.on_caught_up = on_caught_up,
		.on_availability_changed = on_availability,
	};

	start_service(fixture);
	pthread_mutex_init(&fixture->reports.lock, NULL);
	pthread_cond_init(&fixture->reports.changed, NULL);
	fixture->reports.records = g_string_new(NULL);
	fixture->reports.available = -1;
	g_assert_cmpint(logclient_new(fixture->url, &limits, &callbacks, &fixture->client, NULL),
			==, STATUS_OK);
}

static void stop_service(struct fixture *fixture)
{
	g_subprocess_send_signal(fixture->service, SIGTERM);
	g_assert_true(g_subprocess_wait_check(fixture->service, NULL, NULL));
}

static void tear_down(struct fixture *fixture, gconstpointer data)
{
	if (fixture->client)
		logclient_free(fixture->client);
	if (g_subprocess_get_identifier(fixture->service))
		stop_service(fixture);
	g_object_unref(fixture->service);
	g_string_free(fixture->reports.records, TRUE);
	g_free(fixture->url);
}

static void append(struct fixture *fixture, uint64_t request, const char *data)
{
	logclient_append(fixture->client, "s", data, strlen(data), request);
}

static void assert_outcome(const struct fixture *fixture, int request, enum outcome outcome)
{
	g_assert_cmpint(fixture->reports.errors[request].status, ==, STATUS_LOG_UNAVAILABLE);
	g_assert_cmpint(fixture->reports.errors[request].outcome, ==, outcome);
}

/* Records appended before and after the client begins to follow the stream must arrive once and in
 * order. The end of the stream must be reported without waiting for a long poll to end. */
static void test_follow(struct fixture *fixture, gconstpointer data)
{
	int64_t begin;

	post(fixture, "/streams/s/records", "a");
	begin = g_get_monotonic_time();
	logclient_follow(fixture->client, "s");
	wait_for(&fixture->reports, &fixture->reports.caught_up_count, 1);
	g_assert_cmpint(g_get_monotonic_time() - begin, <, G_USEC_PER_SEC);
	append(fixture, 1, "b");
	wait_for(&fixture->reports, &fixture->reports.appended_count, 1);
	g_assert_cmpint(fixture->reports.errors[1].status, ==, STATUS_OK);
	g_assert_cmpuint(fixture->reports.offsets[1], ==, 1);
	wait_for_records(&fixture->reports, "0=a 1=b ");
	g_assert_cmpint(fixture->reports.available, ==, 1);
	g_assert_cmpuint(fixture->reports.truncated_first, ==, 0);
}

/* An append whose answer was lost may have taken effect. It must not be reported as not run, nor be
 * sent again, which would append the record twice. */
static void test_lost_answer(struct fixture *fixture, gconstpointer data)
{
	logclient_follow(fixture->client, "s");
	append(fixture, 0, "a");
	wait_for(&fixture->reports, &fixture->reports.appended_count, 1);
	control_service(fixture, "{\"lose_answers\": 1}");
	append(fixture, 1, "b");
	wait_for(&fixture->reports, &fixture->reports.appended_count, 2);
	assert_outcome(fixture, 1, OUTCOME_UNKNOWN);
	append(fixture, 2, "c");
	wait_for_records(&fixture->reports, "0=a 1=b 2=c ");
}

/* An append may be reported as not run only when it was certainly not sent, as after a refused
 * connection. After an HTTP error or a timeout its outcome is unknown. */
static void test_outcomes(struct fixture *fixture, gconstpointer data)
{
	control_service(fixture, "{\"refuse_appends\": 1}");
	append(fixture, 0, "a");
	wait_for(&fixture->reports, &fixture->reports.appended_count, 1);
	assert_outcome(fixture, 0, OUTCOME_UNKNOWN);
	control_service(fixture, "{\"down\": true, \"hang\": true}");
	append(fixture, 1, "b");
	wait_for(&fixture->reports, &fixture->reports.appended_count, 2);
	assert_outcome(fixture, 1, OUTCOME_UNKNOWN);
	stop_service(fixture);
	append(fixture, 2, "c");
	wait_for(&fixture->reports, &fixture->reports.appended_count, 3);
	assert_outcome(fixture, 2, OUTCOME_NOT_RUN);
}

/* After an outage, the reader must continue at its offset, and report that the service is available
 * and that it has caught up again. */
static void test_outage(struct fixture *fixture, gconstpointer data)
{
	logclient_follow(fixture->client, "s");
	append(fixture, 0, "a");
	wait_for_records(&fixture->reports, "0=a ");
	wait_for(&fixture->reports, &fixture->reports.caught_up_count, 1);
	control_service(fixture, "{\"down\": true}");
	wait_for(&fixture->reports, &fixture->reports.available, 0);
	control_service(fixture, "{\"down\": false}");
	wait_for(&fixture->reports, &fixture->reports.available, 1);
	wait_for(&fixture->reports, &fixture->reports.caught_up_count, 2);
	append(fixture, 1, "b");
	wait_for_records(&fixture->reports, "0=a 1=b ");
}

/* A reader must report truncation before it delivers the records after the dropped ones. */
static void test_truncated(struct fixture *fixture, gconstpointer data)
{
	post(fixture, "/streams/s/records", "a");
	post(fixture, "/streams/s/records", "b");
	post(fixture, "/streams/s/records", "c");
	control_service(fixture, "{\"expire_before\": 2, \"streams\": \"s\"}");
	logclient_follow(fixture->client, "s");
	wait_for_records(&fixture->reports, "2=c ");
	g_assert_cmpuint(fixture->reports.truncated_first, ==, 2);
}

/* Stopping must not wait for a long poll, and must report the end of every append within its time
 * limit. */
static void test_bounded_stop(struct fixture *fixture, gconstpointer data)
{
	int64_t begin;

	logclient_follow(fixture->client, "s");
	wait_for(&fixture->reports, &fixture->reports.caught_up_count, 1);
	control_service(fixture, "{\"down\": true, \"hang\": true}");
	for (uint64_t i = 0; i < MAX_APPENDS; i++)
		append(fixture, i, "x");
	begin = g_get_monotonic_time();
	logclient_free(fixture->client);
	fixture->client = NULL;
	g_assert_cmpint(g_get_monotonic_time() - begin, <, 3 * G_USEC_PER_SEC);
	g_assert_cmpint(fixture->reports.appended_count, ==, MAX_APPENDS);
}

/* Requests to the log service must not go through a proxy that the environment configures. */
static void test_proxy_is_ignored(struct fixture *fixture, gconstpointer data)
{
	append(fixture, 0, "a");
	wait_for(&fixture->reports, &fixture->reports.appended_count, 1);
	g_assert_cmpint(fixture->reports.errors[0].status, ==, STATUS_OK);
}

int main(int argc, char **argv)
{
	/* Nothing listens at this address, so a request through the proxy fails. The variable is
	 * set before any thread starts, because g_setenv is not thread-safe. */
	g_setenv("http_proxy", "http://127.0.0.1:1", TRUE);
	g_test_init(&argc, &argv, NULL);
#define ADD(name, function)                                                                        \
	g_test_add("/logclient/" name, struct fixture, NULL, set_up, function, tear_down)
	ADD("follow", test_follow);
	ADD("lost-answer", test_lost_answer);
	ADD("outcomes", test_outcomes);
	ADD("outage", test_outage);
	ADD("truncated", test_truncated);
	ADD("bounded-stop", test_bounded_stop);
	ADD("proxy", test_proxy_is_ignored);
	return g_test_run();
}
