/* Helpers of capacity_bench: readings of processes, clients that submit, and least-squares fits. */
#ifndef GG_CAPACITY_H
#define GG_CAPACITY_H

#include "bench_client.h"

enum {
	CAPACITY_SIZE_COUNT = 4, /* sizes at which each figure is measured */
	CAPACITY_US_PER_MS = 1000,
	CAPACITY_KIB = 1024,
};

/* What a process has used or sent so far. */
struct usage_sample {
	int64_t sampled_us;
	int64_t cpu_us;
	int64_t messages_sent;
	int64_t messages_received;
	int64_t bytes_sent; /* over routes of the proxy */
	int64_t bytes_received;
};

/* Adds up the metrics of an entry or agent whose names begin with PREFIX. */
int64_t metric_sum(const char *url, const char *prefix);

/* Bytes that went over a route of the proxy towards its target and back are added to TO_TARGET and
 * BACK. */
void add_route_bytes(struct harness *harness, const char *route, int64_t *to_target,
		     int64_t *to_client);

/* Readings of an entry (its channels to agents and the log) and of an agent (its channels to
 * entries and the announcements). The harness runs with a proxy. */
struct usage_sample sample_entry(struct harness *harness, unsigned index);
struct usage_sample sample_agent(struct harness *harness, unsigned index);

/* Returns the appends to STREAM that the log stand-in has taken. */
int64_t log_appends(struct harness *harness, const char *stream);

/* One figure at each size. */
struct series {
	unsigned count;
	double size[CAPACITY_SIZE_COUNT];
	double value[CAPACITY_SIZE_COUNT];
};

void series_add(struct series *series, double size, double value);
double series_slope(const struct series *series);
/* Value at size 0 on the fitted line. */
double series_intercept(const struct series *series);
double series_mean(const struct series *series);

/* Writes each value as NAME_UNIT_SIZE, for example entry_idle_rss_kib_at_10. */
void series_report(json_t *summary, const char *name, const struct series *series);

void report_value(json_t *summary, const char *name, double value);

/* Starts CLIENTS threads that submit JOB one after the other until load_stop. */
struct load;
struct load *load_start(const char *entry, const char *job, unsigned clients);
void load_stop(struct load *load);

/* Runs COUNT calls of ITEM(context, client, number) in THREADS threads. */
typedef void (*capacity_request_fn)(void *context, struct client *client, unsigned number);
void run_parallel(unsigned threads, unsigned first, unsigned count, capacity_request_fn send,
		  void *context);

void measure_agents(json_t *summary);
void measure_entries(json_t *summary);
void measure_queue(json_t *summary);
void measure_open_requests(json_t *summary);
void measure_claims(json_t *summary);
void measure_sessions(json_t *summary);
void measure_teams(json_t *summary);
void measure_patches(json_t *summary);

#endif
