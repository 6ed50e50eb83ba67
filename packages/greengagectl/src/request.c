#include <curl/curl.h>
#include <stdlib.h>
#include <string.h>

#include "ctl.h"

enum {
	CONNECT_TIMEOUT_MS = 2000,
	RESPONSE_MAX_BYTES = 256 << 20
};

/* State of an HTTP transfer. */
struct transfer {
	GString *body;
	char *session; /* value of the header Greengage-Session, or NULL */
	int send_attempts;
};

static size_t on_body_data(char *data, size_t size, size_t count, void *context)
{
	struct transfer *transfer = context;

	if (transfer->body->len + size * count > RESPONSE_MAX_BYTES)
		return 0;
	g_string_append_len(transfer->body, data, (gssize)(size * count));
	return size * count;
}

static size_t on_header(char *data, size_t size, size_t count, void *context)
{
	static const char name[] = "greengage-session:";
	struct transfer *transfer = context;
	size_t length = size * count;

	if (length > strlen(name) && g_ascii_strncasecmp(data, name, strlen(name)) == 0) {
		g_free(transfer->session);
		transfer->session = g_strndup(data + strlen(name), length - strlen(name));
		g_strstrip(transfer->session);
	}
	return length;
}

/* Called by libcurl before each attempt to send the request. Aborts every attempt after the first,
 * so that libcurl never repeats a request by itself. */
static int on_before_send(void *context, char *remote_ip, char *local_ip, int remote_port,
			  int local_port)
{
	struct transfer *transfer = context;

	transfer->send_attempts++;
	return transfer->send_attempts > 1 ? CURL_PREREQFUNC_ABORT : CURL_PREREQFUNC_OK;
}

static CURLcode perform_transfer(CURL *easy, const char *url, const char *method,
				 const char *body_text, int64_t limit_ms, struct transfer *transfer)
{
	struct curl_slist *headers = NULL;
	CURLcode code;

	/* Without this header, libcurl waits for "100 Continue" before it sends a long body. */
	headers = curl_slist_append(headers, "Expect:");
	headers = curl_slist_append(headers, "Content-Type: application/json");
	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_NOPROXY, "*");
	curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http,https");
	curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, (long)CONNECT_TIMEOUT_MS);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, (long)limit_ms);
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_body_data);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, transfer);
	curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(easy, CURLOPT_HEADERDATA, transfer);
	curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, on_before_send);
	curl_easy_setopt(easy, CURLOPT_PREREQDATA, transfer);
	if (body_text || strcmp(method, "POST") == 0)
		curl_easy_setopt(easy, CURLOPT_POSTFIELDS, body_text ? body_text : "");
	curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, method);
	code = curl_easy_perform(easy);
	curl_slist_free_all(headers);
	return code;
}

/* Sends the request to ENTRY. Returns STATUS_NETWORK if there is no response, with OUTCOME_NOT_RUN
 * if the request was certainly not sent. */
static enum status send_to_entry(const char *entry, const char *method, const char *path,
				 const char *body_text, int64_t limit_ms,
				 struct ctl_response *response, struct error *err)
{
	size_t length = strlen(entry);
	char *url = g_strdup_printf("%.*s%s", (int)(length - g_str_has_suffix(entry, "/")), entry,
				    path);
	struct transfer transfer = {.body = g_string_new(NULL)};
	CURL *easy = curl_easy_init();
	CURLcode code = perform_transfer(easy, url, method, body_text, limit_ms, &transfer);
	enum status status = STATUS_OK;

	if (code == CURLE_OK) {
		curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &response->http_code);
		response->body = json_loadb(transfer.body->str, transfer.body->len,
					    JSON_DECODE_ANY | JSON_ALLOW_NUL, NULL);
		response->session = g_steal_pointer(&transfer.session);
	} else if (transfer.send_attempts == 0) {
		status = error_set(err, STATUS_NETWORK, "%s: request not sent: %s", entry,
				   curl_easy_strerror(code));
	} else {
		status = error_set_unknown(err, STATUS_NETWORK, "%s: no response: %s", entry,
					   curl_easy_strerror(code));
	}
	curl_easy_cleanup(easy);
	g_string_free(transfer.body, TRUE);
	g_free(transfer.session);
	g_free(url);
	return status;
}

enum status ctl_request(const struct ctl_options *options, const char *method, const char *path,
			const json_t *body, int64_t wait_ms, struct ctl_response *response,
			struct error *err)
{
	char *body_text = body ? json_dumps(body, JSON_COMPACT | JSON_ENCODE_ANY) : NULL;
	enum status status = error_set(err, STATUS_NETWORK, "no entry is configured");

	*response = (struct ctl_response){0};
	for (char **entry = options->entries; *entry; entry++) {
		status = send_to_entry(*entry, method, path, body_text,
				       options->timeout_ms + wait_ms, response, err);
		/* Only a request that was certainly not sent may be sent to the next entry. */
		if (status == STATUS_OK || err->outcome == OUTCOME_UNKNOWN)
			break;
	}
	free(body_text);
	return status;
}

void ctl_response_clear(struct ctl_response *response)
{
	json_decref(response->body);
	g_free(response->session);
	*response = (struct ctl_response){0};
}

bool ctl_fetch(const struct ctl_options *options, const char *method, const char *path,
	       const json_t *body, int64_t wait_ms, struct ctl_response *response)
{
	struct error err;

	if (ctl_request(options, method, path, body, wait_ms, response, &err) != STATUS_OK) {
		ctl_print_error(&err);
		return false;
	}
	if (response->http_code / 100 == 2 && (response->body || strcmp(method, "DELETE") == 0))
		return true;
	ctl_print_error_response(response);
	if (options->json && response->body)
		ctl_print_json(options, response->body);
	return false;
}
