/* Helpers of capacity_bench: usage of processes, clients that submit jobs, and least-squares fits.
 */
#ifndef GG_CAPACITY_H
#define GG_CAPACITY_H

#include "bench_client.h"

enum {
	CAPACITY_SIZE_COUNT = 4, /* sizes at which each figure is measured */
	CAPACITY_US_PER_MS = 1000,
	CAPACITY_KIB = 1024,
};

/* Resources that a process has used and traffic that it has had since its start. */
struct usage_sample {
	int64_t sampled_us;
	int64_t cpu_us;
	int64_t messages_sent;
	int64_t messages_received;
	/* bytes_sent and bytes_received count only traffic through the proxy. */
	int64_t bytes_sent;
	int64_t bytes_received;
};

/* Returns the sum of all metrics of an entry or agent whose names begin with
 * greengage_PREFIX. */
int64_t metric_sum(const char *url, const char *prefix);

/* Adds the bytes that a route of the proxy has forwarded to its target to TO_TARGET, and those
 * forwarded to its client to TO_CLIENT. */
void add_route_bytes(struct harness *harness, const char *route, int64_t *to_target,
		     int64_t *to_client);

/* Return the usage of an entry or an agent. The bytes of an entry are those of its channels to
 * agents and, only if it is the single entry, of its connection to the log. The bytes of an agent
 * are those of its channels to entries and of its server's announcements. Both functions require a
 * harness with a proxy. */
struct usage_sample sample_entry(struct harness *harness, unsigned index);
struct usage_sample sample_agent(struct harness *harness, unsigned index);

/* Returns the number of appends to STREAM that the log stand-in has accepted. */
int64_t log_appends(struct harness *harness, const char *stream);

/* Values of one metric at several sizes, for example numbers of agents, queued tasks or clients. */
struct series {
	unsigned count;
	double size[CAPACITY_SIZE_COUNT];
	double value[CAPACITY_SIZE_COUNT];
};

void series_add(struct series *series, double size, double value);
double series_slope(const struct series *series);
/* Returns the value at size 0 on the fitted line. */
double series_intercept(const struct series *series);
double series_mean(const struct series *series);

/* Adds each value to SUMMARY as NAME_at_SIZE, for example entry_idle_rss_kib_at_10. */
void series_report(json_t *summary, const char *name, const struct series *series);

/* Adds VALUE to SUMMARY as NAME. */
void report_value(json_t *summary, const char *name, double value);

/* Starts CLIENTS threads, each of which submits JOB repeatedly and waits for its result, until
 * load_stop() is called. */
struct load;
struct load *load_start(const char *entry, const char *job, unsigned clients);
void load_stop(struct load *load);

/* Calls WORK with the numbers from FIRST to FIRST + COUNT - 1 in THREADS threads, each with a
 * client of its own. */
typedef void (*capacity_worker_fn)(void *context, struct client *client, unsigned number);
void run_parallel(unsigned threads, unsigned first, unsigned count, capacity_worker_fn work,
		  void *context);

/* Each function measures one aspect at CAPACITY_SIZE_COUNT sizes and adds its values to SUMMARY. */
void measure_entry_by_agents(json_t *summary);
void measure_agent_by_entries(json_t *summary);
void measure_queue(json_t *summary);
void measure_open_requests(json_t *summary);
void measure_claims(json_t *summary);
void measure_sessions(json_t *summary);
void measure_teams(json_t *summary);
void measure_patches(json_t *summary);

#endif
