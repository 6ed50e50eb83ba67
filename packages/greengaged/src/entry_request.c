#include "entry_request.h"

#include <stdlib.h>
#include <string.h>
#include <time.h>

enum {
	MS_PER_S = 1000,
	NS_PER_MS = 1000000,
	NS_PER_S = 1000000000
};

struct request *entry_request_new(void)
{
	struct request *request = g_new0(struct request, 1);
	pthread_condattr_t attributes;

	atomic_init(&request->references, 1);
	pthread_mutex_init(&request->lock, NULL);
	pthread_condattr_init(&attributes);
	pthread_condattr_setclock(&attributes, CLOCK_MONOTONIC);
	pthread_cond_init(&request->delivered_cond, &attributes);
	pthread_condattr_destroy(&attributes);
	request->deliver = entry_request_wake_waiter;
	return request;
}

struct request *entry_request_ref(struct request *request)
{
	atomic_fetch_add(&request->references, 1);
	return request;
}

void entry_request_unref(struct request *request)
{
	if (atomic_fetch_sub(&request->references, 1) != 1)
		return;
	entry_body_free(request->body);
	json_decref(request->patch);
	free(request->text);
	g_free(request->path);
	if (request->reply.body)
		g_bytes_unref(request->reply.body);
	pthread_cond_destroy(&request->delivered_cond);
	pthread_mutex_destroy(&request->lock);
	g_free(request);
}

bool entry_request_wait(struct request *request, int64_t timeout_ms)
{
	struct timespec deadline;
	bool delivered;
	int rc = 0;

	clock_gettime(CLOCK_MONOTONIC, &deadline);
	deadline.tv_sec += timeout_ms / MS_PER_S;
	deadline.tv_nsec += timeout_ms % MS_PER_S * NS_PER_MS;
	if (deadline.tv_nsec >= NS_PER_S) {
		deadline.tv_sec++;
		deadline.tv_nsec -= NS_PER_S;
	}
	pthread_mutex_lock(&request->lock);
	while (!request->delivered && rc == 0)
		rc = pthread_cond_timedwait(&request->delivered_cond, &request->lock, &deadline);
	delivered = request->delivered;
	pthread_mutex_unlock(&request->lock);
	return delivered;
}

void entry_request_wake_waiter(struct request *request)
{
	pthread_mutex_lock(&request->lock);
	request->delivered = true;
	pthread_cond_signal(&request->delivered_cond);
	pthread_mutex_unlock(&request->lock);
}

void entry_request_finish(struct request *request, int http_status, GBytes *body)
{
	request->reply.http_status = http_status;
	request->reply.body = g_bytes_ref(body);
	request->deliver(request);
	entry_request_unref(request);
}

GBytes *entry_request_json_body(json_t *document)
{
	char *text = json_dumps(document, JSON_COMPACT);

	json_decref(document);
	return g_bytes_new_with_free_func(text, strlen(text), free, text);
}

void entry_request_finish_json(struct request *request, int http_status, json_t *document)
{
	GBytes *body = entry_request_json_body(document);

	entry_request_finish(request, http_status, body);
	g_bytes_unref(body);
}

json_t *entry_request_error_json(const struct error *err)
{
	/* A message truncated within a character is not valid UTF-8, which JSON requires. */
	char *message = g_utf8_make_valid(err->message, -1);
	json_t *error = json_pack("{s:s, s:s, s:s}", "type", status_name(err->status), "outcome",
				  outcome_name(err->outcome), "message", message);

	g_free(message);
	return error;
}

GBytes *entry_request_error_body(const struct error *err)
{
	return entry_request_json_body(json_pack("{s:o}", "error", entry_request_error_json(err)));
}

void entry_request_refuse(struct request *request, const struct error *err)
{
	GBytes *body = entry_request_error_body(err);

	entry_request_finish(request, status_http_code(err->status), body);
	g_bytes_unref(body);
}
