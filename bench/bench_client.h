/* HTTP client and process statistics for the benchmarks. */
#ifndef GG_BENCH_CLIENT_H
#define GG_BENCH_CLIENT_H

#include <curl/curl.h>

#include "harness.h"

enum {
	BENCH_TIMEOUT_MS = 30000,
	BENCH_URL_BYTES = 256,
};

/* HTTP client that reuses its connection and keeps the body of the last response. */
struct client {
	CURL *easy;
	struct curl_slist *headers;
	GString *response;
};

void client_init(struct client *client);
void client_clear(struct client *client);

/* Sends one request and returns its latency in microseconds. Aborts the benchmark when the request
 * fails or its status isn't EXPECTED. */
int64_t client_request(struct client *client, const char *method, const char *url, const char *body,
		       long expected);

/* Submits JOB in SESSION with the key NAME-NUMBER and waits up to WAIT_MS milliseconds for the
 * result; 0 doesn't wait. Returns the latency of the request in microseconds. */
int64_t client_submit(struct client *client, const char *entry, const char *session,
		      const char *name, unsigned number, const char *job, int wait_ms);

/* Returns the CPU time that a process has used so far, in microseconds. */
int64_t process_cpu_us(const struct harness_process *process);

/* Returns the resident memory of a process in bytes. */
int64_t process_rss_bytes(const struct harness_process *process);

#endif
