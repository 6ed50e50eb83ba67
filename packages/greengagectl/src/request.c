#include <curl/curl.h>
#include <stdlib.h>
#include <string.h>

#include "ctl.h"

enum {
	CONNECT_TIMEOUT_MS = 2000,
	MAX_RESPONSE_BYTES = 256 << 20
};

/* State of an HTTP transfer. */
struct transfer {
	GString *response_body;
	char *renewed_session; /* value of the header Greengage-Session, or NULL */
	int send_attempts;
};

static size_t on_body_data(char *data, size_t size, size_t count, void *context)
{
	struct transfer *transfer = context;

	if (transfer->response_body->len + size * count > MAX_RESPONSE_BYTES)
		return 0;
	g_string_append_len(transfer->response_body, data, (gssize)(size * count));
	return size * count;
}

static size_t on_header(char *data, size_t size, size_t count, void *context)
{
	static const char name[] = "greengage-session:";
	struct transfer *transfer = context;
	size_t length = size * count;

	if (length > strlen(name) && g_ascii_strncasecmp(data, name, strlen(name)) == 0) {
		g_free(transfer->renewed_session);
		transfer->renewed_session = g_strndup(data + strlen(name), length - strlen(name));
		g_strstrip(transfer->renewed_session);
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

static CURLcode perform_transfer(CURL *curl, const char *url, const char *method,
				 const char *body_text, int64_t timeout_ms,
				 struct transfer *transfer)
{
	struct curl_slist *headers = NULL;
	CURLcode code;

	/* An empty value removes the header "Expect: 100-continue", with which libcurl would wait
	 * for "100 Continue" before it sends a long body. */
	headers = curl_slist_append(headers, "Expect:");
	headers = curl_slist_append(headers, "Content-Type: application/json");
	curl_easy_setopt(curl, CURLOPT_URL, url);
	curl_easy_setopt(curl, CURLOPT_NOPROXY, "*");
	curl_easy_setopt(curl, CURLOPT_PROTOCOLS_STR, "http,https");
	curl_easy_setopt(curl, CURLOPT_CONNECTTIMEOUT_MS, (long)CONNECT_TIMEOUT_MS);
	curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, (long)timeout_ms);
	curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, on_body_data);
	curl_easy_setopt(curl, CURLOPT_WRITEDATA, transfer);
	curl_easy_setopt(curl, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(curl, CURLOPT_HEADERDATA, transfer);
	curl_easy_setopt(curl, CURLOPT_PREREQFUNCTION, on_before_send);
	curl_easy_setopt(curl, CURLOPT_PREREQDATA, transfer);
	if (body_text || strcmp(method, "POST") == 0)
		curl_easy_setopt(curl, CURLOPT_POSTFIELDS, body_text ? body_text : "");
	curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, method);
	code = curl_easy_perform(curl);
	curl_slist_free_all(headers);
	return code;
}

/* Sends the request to ENTRY. Returns STATUS_NETWORK if there is no complete response, with
 * OUTCOME_NOT_RUN if the request was certainly not sent. */
static enum status send_to_entry(const char *entry, const char *method, const char *path,
				 const char *body_text, int64_t timeout_ms,
				 struct ctl_response *response, struct error *err)
{
	size_t length = strlen(entry);
	char *url = g_strdup_printf("%.*s%s", (int)(length - g_str_has_suffix(entry, "/")), entry,
				    path);
	struct transfer transfer = {.response_body = g_string_new(NULL)};
	CURL *curl = curl_easy_init();
	CURLcode code = perform_transfer(curl, url, method, body_text, timeout_ms, &transfer);
	enum status status = STATUS_OK;

	if (code == CURLE_OK) {
		curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &response->http_code);
		response->body =
			json_loadb(transfer.response_body->str, transfer.response_body->len,
				   JSON_DECODE_ANY | JSON_ALLOW_NUL, NULL);
		response->renewed_session = g_steal_pointer(&transfer.renewed_session);
	} else if (transfer.send_attempts == 0) {
		status = error_set(err, STATUS_NETWORK, "%s: request not sent: %s", entry,
				   curl_easy_strerror(code));
	} else {
		status = error_set_unknown(err, STATUS_NETWORK, "%s: no response: %s", entry,
					   curl_easy_strerror(code));
	}
	curl_easy_cleanup(curl);
	g_string_free(transfer.response_body, TRUE);
	g_free(transfer.renewed_session);
	g_free(url);
	return status;
}

enum status ctl_request(const struct ctl_options *options, const char *method, const char *path,
			const json_t *body, int64_t wait_ms, struct ctl_response *response,
			struct error *err)
{
	char *body_text = body ? json_dumps(body, JSON_COMPACT | JSON_ENCODE_ANY) : NULL;
	enum status status = error_set(err, STATUS_NETWORK, "no entry given");

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
	g_free(response->renewed_session);
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
	ctl_print_response_error(response);
	if (options->json && response->body)
		ctl_print_json(options, response->body);
	return false;
}
