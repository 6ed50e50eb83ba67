/* One HTTP request by libcurl that is sent at most once. */
#ifndef GG_TRANSFER_H
#define GG_TRANSFER_H

#include <curl/curl.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct transfer {
	CURL *easy;
	struct curl_slist *headers;
	GString *body; /* of the answer */
	void *owner;
	int send_attempts; /* times that libcurl was about to send the request */
	bool is_post;
	bool too_large;
};

/* Prepares a GET of URL for OWNER. */
struct transfer *transfer_new(const char *url, void *owner);
/* Makes it a POST of LENGTH bytes at DATA, which must outlive it. */
void transfer_set_post(struct transfer *transfer, const char *data, size_t length);
/* Sets the limits on connecting and on the whole, in ms. */
void transfer_set_timeouts(struct transfer *transfer, int64_t connect_ms, int64_t total_ms);
/* Keeps it from using a connection that another request has left. */
void transfer_use_new_connection(struct transfer *transfer);
void transfer_start(struct transfer *transfer, CURLM *multi);
/* Takes it off MULTI, also when it is under way, and frees it. */
void transfer_free(struct transfer *transfer, CURLM *multi);

/* Returns the transfer that EASY belongs to. */
struct transfer *transfer_from_handle(CURL *easy);
bool transfer_is_post(const struct transfer *transfer);
/* Returns whether any part of the request may have been sent. */
bool transfer_was_sent(const struct transfer *transfer);
/* Returns whether the answer was longer than is accepted. */
bool transfer_too_large(const struct transfer *transfer);
long transfer_http_code(const struct transfer *transfer);

#endif
