#include <stdio.h>
#include <string.h>
#include <time.h>

#include "ctl.h"
#include "ident.h"

enum {
	MAX_REQUEST_WAIT_MS = 10000, /* entries limit it to http.wait_max_ms */
	CANCEL_WAIT_MS = 0,
	UUID_TEXT_BYTES = 37
};

/* Writes a new UUIDv7 (RFC 9562) to TEXT: 48 bits of Unix time in ms, version, variant and random
 * bits. */
static void generate_key(char text[UUID_TEXT_BYTES])
{
	struct ident id = ident_random();
	uint64_t now_ms = (uint64_t)(g_get_real_time() / 1000);
	char hex[IDENT_HEX_BYTES];

	for (int i = 0; i < 6; i++)
		id.bytes[i] = (uint8_t)(now_ms >> (8 * (5 - i)));
	id.bytes[6] = (uint8_t)((id.bytes[6] & 0x0f) | 0x70);
	id.bytes[8] = (uint8_t)((id.bytes[8] & 0x3f) | 0x80);
	ident_format(&id, hex);
	g_snprintf(text, UUID_TEXT_BYTES, "%.8s-%.4s-%.4s-%.4s-%.12s", hex, hex + 8, hex + 12,
		   hex + 16, hex + 20);
}

/* Returns the path and query of a job: /v1/sessions/SESSION/jobs/KEY or, if SESSION is NULL,
 * /v1/jobs/KEY, with the parameter wait_ms. */
static char *build_job_path(const char *session, const char *key, int64_t wait_ms)
{
	char *escaped_key = g_uri_escape_string(key, NULL, FALSE);
	char *escaped_session = session ? g_uri_escape_string(session, NULL, FALSE) : NULL;
	char *path;

	if (escaped_session)
		path = g_strdup_printf("/v1/sessions/%s/jobs/%s?wait_ms=%lld", escaped_session,
				       escaped_key, (long long)wait_ms);
	else
		path = g_strdup_printf("/v1/jobs/%s?wait_ms=%lld", escaped_key, (long long)wait_ms);
	g_free(escaped_key);
	g_free(escaped_session);
	return path;
}

enum ctl_exit cmd_session_open(const struct ctl_options *options, char **args)
{
	struct ctl_response response;
	bool opened = ctl_fetch(options, "POST", "/v1/sessions", NULL, 0, &response);

	if (opened && options->json)
		ctl_print_json(options, response.body);
	else if (opened)
		printf("%s\n", ctl_json_string(response.body, "session"));
	ctl_response_clear(&response);
	return opened ? CTL_EXIT_OK : CTL_EXIT_FAILED;
}

enum ctl_exit cmd_session_close(const struct ctl_options *options, char **args)
{
	char *escaped_session = g_uri_escape_string(args[0], NULL, FALSE);
	char *path = g_strconcat("/v1/sessions/", escaped_session, NULL);
	struct ctl_response response;
	bool closed = ctl_fetch(options, "DELETE", path, NULL, 0, &response);

	ctl_response_clear(&response);
	g_free(escaped_session);
	g_free(path);
	return closed ? CTL_EXIT_OK : CTL_EXIT_FAILED;
}

static bool has_state(const json_t *body, const char *state)
{
	return strcmp(ctl_json_string(body, "state"), state) == 0;
}

/* Prints the result of a finished job, or otherwise its state or the error in RESPONSE. Returns the
 * exit code. */
static enum ctl_exit report_job_state(const struct ctl_options *options,
				      const struct ctl_response *response)
{
	bool failed_or_cancelled =
		has_state(response->body, "failed") || has_state(response->body, "cancelled");

	if (response->body && (options->json || has_state(response->body, "done")))
		ctl_print_json(options, response->body);
	if (has_state(response->body, "done"))
		return CTL_EXIT_OK;
	if (failed_or_cancelled) {
		fprintf(stderr, "greengagectl: job %s\n", ctl_json_string(response->body, "state"));
		ctl_print_response_error(response);
		return CTL_EXIT_JOB_FAILED;
	}
	if (response->http_code / 100 == 2)
		fprintf(stderr, "greengagectl: job not finished: %s\n",
			ctl_json_string(response->body, "state"));
	else
		ctl_print_response_error(response);
	return CTL_EXIT_FAILED;
}

/*
 * Sends a METHOD request for a job, then polls the job with GET while it is queued or running,
 * until the wait time in OPTIONS is over. If an entry returns a renewed session token, replaces
 * *SESSION and prints it. *SESSION is NULL for a job submitted by key alone.
 */
static enum ctl_exit request_and_poll_job(const struct ctl_options *options, const char *method,
					  char **session, const char *key, const json_t *job)
{
	int64_t deadline_us = g_get_monotonic_time() + options->wait_ms * 1000;
	enum ctl_exit code;

	for (;;) {
		int64_t remaining_ms = MAX((deadline_us - g_get_monotonic_time()) / 1000, 0);
		int64_t wait_ms = MIN(remaining_ms, MAX_REQUEST_WAIT_MS);
		char *path = build_job_path(*session, key, wait_ms);
		struct ctl_response response;
		struct error err;
		enum status status =
			ctl_request(options, method, path, job, wait_ms, &response, &err);

		g_free(path);
		if (status != STATUS_OK) {
			ctl_print_error(&err);
			return CTL_EXIT_FAILED;
		}
		if (response.renewed_session && *session) {
			g_free(*session);
			*session = g_steal_pointer(&response.renewed_session);
			fprintf(stderr, "session: %s\n", *session);
		}
		if (response.http_code == 202 && remaining_ms > 0) {
			ctl_response_clear(&response);
			method = "GET";
			job = NULL;
			continue;
		}
		code = report_job_state(options, &response);
		ctl_response_clear(&response);
		return code;
	}
}

static char *open_session(const struct ctl_options *options)
{
	struct ctl_response response;
	char *session = NULL;

	if (ctl_fetch(options, "POST", "/v1/sessions", NULL, 0, &response))
		session = g_strdup(json_string_value(json_object_get(response.body, "session")));
	ctl_response_clear(&response);
	return session;
}

enum ctl_exit cmd_submit(const struct ctl_options *options, char **args)
{
	json_t *job = ctl_read_json(args[0] ? args[0] : "-");
	enum ctl_exit code = CTL_EXIT_FAILED;
	char generated_key[UUID_TEXT_BYTES];
	const char *key = options->key ? options->key : generated_key;
	char *session;

	if (!job)
		return CTL_EXIT_USAGE;
	generate_key(generated_key);
	session = g_strdup(options->session);
	if (!session && !options->claim)
		session = open_session(options);
	if (session || options->claim) {
		/* Printed before the job is sent: if the response is lost, a resubmission needs the
		 * key and, unless submitted by key alone, the session token. */
		if (session)
			fprintf(stderr, "session: %s\n", session);
		fprintf(stderr, "key: %s\n", key);
		code = request_and_poll_job(options, "PUT", &session, key, job);
	}
	json_decref(job);
	g_free(session);
	return code;
}

enum ctl_exit cmd_result(const struct ctl_options *options, char **args)
{
	char *session = g_strdup(options->session);
	enum ctl_exit code = request_and_poll_job(options, "GET", &session, args[0], NULL);

	g_free(session);
	return code;
}

enum ctl_exit cmd_cancel(const struct ctl_options *options, char **args)
{
	char *path = build_job_path(options->session, args[0], CANCEL_WAIT_MS);
	struct ctl_response response;
	struct error err;
	enum ctl_exit code = CTL_EXIT_FAILED;

	if (ctl_request(options, "DELETE", path, NULL, 0, &response, &err) != STATUS_OK) {
		ctl_print_error(&err);
	} else if (response.http_code / 100 == 2 || has_state(response.body, "cancelled")) {
		if (response.body)
			ctl_print_json(options, response.body);
		code = CTL_EXIT_OK;
	} else {
		ctl_print_response_error(&response);
	}
	ctl_response_clear(&response);
	g_free(path);
	return code;
}
