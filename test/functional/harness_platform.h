/* Runs entries and agents as processes on the platform stand-in. Entry N listens on
 * 127.0.0.(N + 2). All entries use the same peer port, as on the real platform. The entries call
 * the store at PLATFORM_ENTRIES_STORE_IP and the agents at 127.0.0.1, so that it can refuse the
 * calls of the entries only. */
#ifndef GG_HARNESS_PLATFORM_H
#define GG_HARNESS_PLATFORM_H

#include "harness.h"

enum {
	PLATFORM_ENTRIES = 2,
	PLATFORM_SPARE_ENTRIES = 1, /* not started by platform_start */
	PLATFORM_AGENTS = 2,
	PLATFORM_READY_TIMEOUT_MS = 10000
};

#define PLATFORM_ENTRIES_STORE_IP "127.0.0.9"

struct platform_cluster {
	int store_port;
	int peer_port;
	struct harness *harness;
	struct harness_process *platform;
	struct harness_process *entries[PLATFORM_ENTRIES + PLATFORM_SPARE_ENTRIES];
	struct harness_process *agents[PLATFORM_AGENTS];
	int control_ports[PLATFORM_AGENTS];
	char *platform_url;
	char *client_urls[PLATFORM_ENTRIES + PLATFORM_SPARE_ENTRIES];
	char *ready_urls[PLATFORM_ENTRIES + PLATFORM_SPARE_ENTRIES];
};

/* A job submission that runs on a separate thread. */
struct platform_submission {
	struct platform_cluster *cluster;
	unsigned entry;
	unsigned number;
	unsigned tasks;
	struct harness_reply reply;
};

/* Starts the stand-in, the entries that are no spares and the agents, publishes version 5 of the
 * configuration with the prefix "/q/", and waits until the entries are ready. */
void platform_start(struct platform_cluster *cluster);

/* As platform_start. ZONES names the zone of each agent and its backend server, which is "a"
 * otherwise. */
void platform_start_in_zones(struct platform_cluster *cluster,
			     const char *const zones[PLATFORM_AGENTS]);

/* Starts the spare entry ENTRY. */
void platform_start_entry(struct platform_cluster *cluster, unsigned entry);

/* Checks that no two runs of one task overlapped, then stops the cluster. */
void platform_stop(struct platform_cluster *cluster);

/* Publishes a configuration in which each entry has a route for PREFIX. */
void platform_publish_config(struct platform_cluster *cluster, int version, const char *prefix);

/* Writes the operator's record KEY, or deletes it if VALUE is NULL. */
void platform_write_record(struct platform_cluster *cluster, const char *key, const char *value);

/* Sends FAULTS, a JSON object, to the stand-in. */
void platform_control(struct platform_cluster *cluster, const char *faults);
int64_t platform_counter(struct platform_cluster *cluster, const char *name);

bool platform_entry_is_ready(struct platform_cluster *cluster, unsigned entry);

/* Submits the job NUMBER of TASKS tasks to ENTRY and waits for the response. */
struct harness_reply platform_submit(struct platform_cluster *cluster, unsigned entry,
				     unsigned number, unsigned tasks);
bool platform_job_completes(struct platform_cluster *cluster, unsigned entry, unsigned number,
			    unsigned tasks);

/* Thread function that submits the job of CONTEXT, a struct platform_submission. */
void *platform_run_submission(void *context);

/* Returns whether PROCESS has logged TEXT. */
bool platform_log_contains(const struct harness_process *process, const char *text);

#endif
