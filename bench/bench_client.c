#include "bench_client.h"

#include <stdlib.h>
#include <string.h>
#include <time.h>

enum {
	PATH_BYTES = 64,
	KIB = 1024,
};

static size_t append_response(char *data, size_t size, size_t count, void *context)
{
	g_string_append_len(context, data, (gssize)(size * count));
	return size * count;
}

void client_init(struct client *client)
{
	client->easy = curl_easy_init();
	client->response = g_string_new(NULL);
	client->headers = curl_slist_append(NULL, "Content-Type: application/json");
	client->headers = curl_slist_append(client->headers, "Expect:");
	curl_easy_setopt(client->easy, CURLOPT_HTTPHEADER, client->headers);
	curl_easy_setopt(client->easy, CURLOPT_NOPROXY, "*");
	curl_easy_setopt(client->easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(client->easy, CURLOPT_TIMEOUT_MS, (long)BENCH_TIMEOUT_MS);
	curl_easy_setopt(client->easy, CURLOPT_WRITEFUNCTION, append_response);
	curl_easy_setopt(client->easy, CURLOPT_WRITEDATA, client->response);
}

void client_clear(struct client *client)
{
	curl_easy_cleanup(client->easy);
	curl_slist_free_all(client->headers);
	g_string_free(client->response, TRUE);
}

int64_t client_request(struct client *client, const char *method, const char *url, const char *body,
		       long expected)
{
	int64_t begin_us = g_get_monotonic_time();
	long status = 0;
	CURLcode code;

	g_string_truncate(client->response, 0);
	curl_easy_setopt(client->easy, CURLOPT_URL, url);
	curl_easy_setopt(client->easy, CURLOPT_CUSTOMREQUEST, method);
	curl_easy_setopt(client->easy, CURLOPT_POSTFIELDS, body);
	code = curl_easy_perform(client->easy);
	curl_easy_getinfo(client->easy, CURLINFO_RESPONSE_CODE, &status);
	if (code != CURLE_OK || status != expected)
		g_error("%s %s: %s, status %ld: %s", method, url, curl_easy_strerror(code), status,
			client->response->str);
	return g_get_monotonic_time() - begin_us;
}

int64_t client_submit(struct client *client, const char *entry, const char *session,
		      const char *name, unsigned number, const char *job, int wait_ms)
{
	char url[BENCH_URL_BYTES];

	g_snprintf(url, sizeof(url), "%s/v1/sessions/%s/jobs/%s-%u?wait_ms=%d", entry, session,
		   name, number, wait_ms);
	return client_request(client, "PUT", url, job, wait_ms > 0 ? 200 : 202);
}

int64_t process_cpu_us(const struct harness_process *process)
{
	struct timespec used = {0};
	clockid_t clock;

	g_assert_cmpint(
		clock_getcpuclockid(atoi(g_subprocess_get_identifier(process->child)), &clock), ==,
		0);
	clock_gettime(clock, &used);
	return (int64_t)used.tv_sec * G_USEC_PER_SEC + used.tv_nsec / 1000;
}

int64_t process_rss_bytes(const struct harness_process *process)
{
	static const char field[] = "VmRSS:";
	char path[PATH_BYTES];
	char *text = NULL;
	char *found;
	int64_t value;

	g_snprintf(path, sizeof(path), "/proc/%s/status",
		   g_subprocess_get_identifier(process->child));
	g_assert_true(g_file_get_contents(path, &text, NULL, NULL));
	found = strstr(text, field);
	g_assert_nonnull(found);
	value = g_ascii_strtoll(found + strlen(field), NULL, 10) * KIB;
	g_free(text);
	return value;
}
