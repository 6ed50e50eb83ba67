/* An HTTP request made with libcurl. libcurl may repeat a GET, but a POST is sent at most once. */
#ifndef GG_TRANSFER_H
#define GG_TRANSFER_H

#include <curl/curl.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct transfer {
	CURL *easy;
	struct curl_slist *headers;
	GString *body;	   /* response body */
	void *owner;	   /* pointer passed to transfer_new */
	int send_attempts; /* times libcurl was about to send the request */
	bool is_post;
	bool response_too_large;
};

/* Creates a GET request for URL. OWNER is an arbitrary pointer of the caller. */
struct transfer *transfer_new(const char *url, void *owner);
/* Turns TRANSFER into a POST of LENGTH bytes at DATA, which must stay valid until TRANSFER is
 * freed. */
void transfer_set_post(struct transfer *transfer, const char *data, size_t length);
/* Limits the time to connect and the total time, in ms. */
void transfer_set_timeouts(struct transfer *transfer, int64_t connect_ms, int64_t total_ms);
/* Makes TRANSFER open a new connection. For a POST, also closes the connection afterwards; call
 * transfer_set_post first. */
void transfer_use_new_connection(struct transfer *transfer);
/* Adds TRANSFER to MULTI, which runs it. */
void transfer_start(struct transfer *transfer, CURLM *multi);
/* Removes TRANSFER from MULTI, even while it is in progress, and frees it. */
void transfer_free(struct transfer *transfer, CURLM *multi);

/* Returns the transfer to which the libcurl handle EASY belongs. */
struct transfer *transfer_from_handle(CURL *easy);
bool transfer_is_post(const struct transfer *transfer);
/* Returns whether any part of the request may have been sent. */
bool transfer_may_have_been_sent(const struct transfer *transfer);
/* Returns whether the transfer failed because the response exceeded the size limit. */
bool transfer_response_too_large(const struct transfer *transfer);
/* Returns the HTTP status code of the response, or 0 if none was received. */
long transfer_http_code(const struct transfer *transfer);

#endif
