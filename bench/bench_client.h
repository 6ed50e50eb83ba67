/* A client with a kept connection and readings of processes, for the benchmarks. */
#ifndef GG_BENCH_CLIENT_H
#define GG_BENCH_CLIENT_H

#include <curl/curl.h>

#include "harness.h"

enum {
	BENCH_TIMEOUT_MS = 30000,
	BENCH_URL_BYTES = 256,
};

/* A client with a kept connection. */
struct client {
	CURL *easy;
	struct curl_slist *headers;
	GString *response;
};

void client_init(struct client *client);
void client_clear(struct client *client);

/* Returns the time of one call in microseconds; any status but EXPECTED ends the run. */
int64_t client_request(struct client *client, const char *method, const char *url, const char *body,
		       long expected);

/* Submits JOB under SESSION and a key made of NAME and NUMBER; waits for the answer when WAIT_MS
 * is not 0. Returns the time of the call in microseconds. */
int64_t client_submit(struct client *client, const char *entry, const char *session,
		      const char *name, unsigned number, const char *job, int wait_ms);

/* Returns the processor time that a process has used so far, in microseconds. */
int64_t process_cpu_us(const struct harness_process *process);

/* Returns the resident memory of a process in bytes. */
int64_t process_rss_bytes(const struct harness_process *process);

#endif
