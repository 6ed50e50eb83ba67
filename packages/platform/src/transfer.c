#include "transfer.h"

enum {
	RESPONSE_MAX_BYTES = 64 << 20
};

static size_t append_body(char *data, size_t size, size_t count, void *context)
{
	struct transfer *transfer = context;

	if (transfer->body->len + size * count > RESPONSE_MAX_BYTES) {
		transfer->response_too_large = true;
		return 0;
	}
	g_string_append_len(transfer->body, data, (gssize)(size * count));
	return size * count;
}

/* libcurl calls this when a connection is established and the request is about to be sent. Aborts
 * the repetition of a POST, since the first attempt may have taken effect. */
static int on_prerequest(void *context, char *remote_ip, char *local_ip, int remote_port,
			 int local_port)
{
	struct transfer *transfer = context;

	transfer->send_attempts++;
	if (transfer->is_post && transfer->send_attempts > 1)
		return CURL_PREREQFUNC_ABORT;
	return CURL_PREREQFUNC_OK;
}

struct transfer *transfer_new(const char *url, void *owner)
{
	struct transfer *transfer = g_new0(struct transfer, 1);

	transfer->easy = curl_easy_init();
	if (!transfer->easy)
		g_error("libcurl: no memory");
	transfer->body = g_string_new(NULL);
	transfer->owner = owner;
	curl_easy_setopt(transfer->easy, CURLOPT_URL, url);
	curl_easy_setopt(transfer->easy, CURLOPT_PRIVATE, transfer);
	curl_easy_setopt(transfer->easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(transfer->easy, CURLOPT_NOPROXY, "*");
	curl_easy_setopt(transfer->easy, CURLOPT_PROTOCOLS_STR, "http,https");
	curl_easy_setopt(transfer->easy, CURLOPT_HTTP_VERSION, (long)CURL_HTTP_VERSION_1_1);
	curl_easy_setopt(transfer->easy, CURLOPT_WRITEFUNCTION, append_body);
	curl_easy_setopt(transfer->easy, CURLOPT_WRITEDATA, transfer);
	curl_easy_setopt(transfer->easy, CURLOPT_PREREQFUNCTION, on_prerequest);
	curl_easy_setopt(transfer->easy, CURLOPT_PREREQDATA, transfer);
	return transfer;
}

void transfer_set_post(struct transfer *transfer, const char *data, size_t length)
{
	transfer->is_post = true;
	/* Without this empty header, libcurl waits for "100 Continue" before sending a long body.
	 */
	transfer->headers = curl_slist_append(transfer->headers, "Expect:");
	transfer->headers = curl_slist_append(transfer->headers, "Content-Type: application/json");
	curl_easy_setopt(transfer->easy, CURLOPT_HTTPHEADER, transfer->headers);
	curl_easy_setopt(transfer->easy, CURLOPT_POST, 1L);
	curl_easy_setopt(transfer->easy, CURLOPT_POSTFIELDS, data);
	curl_easy_setopt(transfer->easy, CURLOPT_POSTFIELDSIZE_LARGE, (curl_off_t)length);
}

void transfer_set_timeouts(struct transfer *transfer, int64_t connect_ms, int64_t total_ms)
{
	curl_easy_setopt(transfer->easy, CURLOPT_CONNECTTIMEOUT_MS, (long)connect_ms);
	curl_easy_setopt(transfer->easy, CURLOPT_TIMEOUT_MS, (long)total_ms);
}

void transfer_use_new_connection(struct transfer *transfer)
{
	curl_easy_setopt(transfer->easy, CURLOPT_FRESH_CONNECT, 1L);
	if (transfer->is_post)
		curl_easy_setopt(transfer->easy, CURLOPT_FORBID_REUSE, 1L);
}

void transfer_start(struct transfer *transfer, CURLM *multi)
{
	curl_multi_add_handle(multi, transfer->easy);
}

void transfer_free(struct transfer *transfer, CURLM *multi)
{
	curl_multi_remove_handle(multi, transfer->easy);
	curl_easy_cleanup(transfer->easy);
	curl_slist_free_all(transfer->headers);
	g_string_free(transfer->body, TRUE);
	g_free(transfer);
}

struct transfer *transfer_from_handle(CURL *easy)
{
	char *transfer = NULL;

	curl_easy_getinfo(easy, CURLINFO_PRIVATE, &transfer);
	return (struct transfer *)transfer;
}

bool transfer_is_post(const struct transfer *transfer)
{
	return transfer->is_post;
}

bool transfer_may_have_been_sent(const struct transfer *transfer)
{
	return transfer->send_attempts > 0;
}

bool transfer_response_too_large(const struct transfer *transfer)
{
	return transfer->response_too_large;
}

long transfer_http_code(const struct transfer *transfer)
{
	long code = 0;

	curl_easy_getinfo(transfer->easy, CURLINFO_RESPONSE_CODE, &code);
	return code;
}
