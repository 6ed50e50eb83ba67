/* Settings of the daemon, in the roles of entry and agent. */
#ifndef GG_DAEMON_SETTINGS_H
#define GG_DAEMON_SETTINGS_H

#include <jansson.h>
#include <stdint.h>

#include "status.h"

/* Values from the settings file. The suffix of a field's name is its unit. docs/settings.md
 * describes every setting. */
struct daemon_settings {
	char *role; /* "entry" or "agent" */
	char *name;
	char *zone;
	char *host;
	char *log_level;

	char *http_address; /* for example "127.0.0.1:8080" */
	int64_t http_threads;
	int64_t http_header_max_bytes;
	int64_t http_body_max_bytes;
	int64_t http_body_limit_ms; /* limit on the time to receive a complete request */
	int64_t http_open_requests;
	int64_t http_wait_max_ms;

	int64_t heartbeat_ms;
	int64_t heartbeat_limit_ms;
	int64_t agent_lost_ms;	 /* silence after which an entry considers an agent lost */
	int64_t entry_forget_ms; /* silence after which an entry's state is discarded */
	int64_t start_by_ms;	 /* a start in transit this much longer than the fastest recent
				    one is refused */
	int64_t drain_grace_ms;	 /* entry: how long unfetched answers are kept */
	int64_t drain_limit_ms;

	/* Role entry; the agent also uses max_result_bytes. */
	char *channel_address; /* listens for agents and entries, e.g. "tcp://127.0.0.1:7000" */
	char **peers;	       /* channel addresses of other entries */
	char *log_url;	       /* log service; if NULL, claims and patches are refused */
	int64_t log_connect_ms;
	int64_t log_append_ms; /* limit on the time to append a record */
	int64_t log_poll_ms;
	int64_t log_retry_ms;
	int64_t log_retention_s;
	int64_t claim_wait_ms;
	int64_t claim_window_s;
	int64_t snapshot_interval_s;
	int64_t patch_wait_ms;
	int64_t max_tasks_per_job;
	int64_t max_queued_tasks;
	int64_t max_queued_bytes;
	int64_t max_jobs;
	int64_t max_result_bytes;
	int64_t max_answer_bytes; /* total size of the stored answers of finished jobs */
	int64_t session_lifetime_s;
	int64_t session_retain_s;
	int64_t max_sessions;
	int64_t max_keys;
	int64_t answer_retain_s; /* retention period of a finished job's answer */
	int64_t task_limit_ms;	 /* limit on the run time of a task at the backend server */
	int64_t forward_limit_ms;
	int64_t zone_penalty_us;
	int64_t ageing_divisor;
	int64_t seed; /* seed of the random choice between equally fast servers; 0: random */

	/* Role agent only. */
	char **entries; /* channel addresses of entries */
	json_t *labels;
	int64_t prefetch;
	int64_t fail_streak; /* consecutive failures that begin a quarantine */
	int64_t quarantine_first_ms;
	int64_t quarantine_longest_ms; /* limit of the exponential backoff */
	int64_t server_connect_ms;
};

/*
 * Reads and validates FILE. Returns STATUS_NOT_FOUND when it cannot be read, or
 * STATUS_INVALID_SETTINGS with a message that names the file, the path in it and the accepted
 * values. SETTINGS must be freed with daemon_settings_free after STATUS_OK only.
 */
enum status daemon_settings_load(const char *file, struct daemon_settings *settings,
				 struct error *err);

/* Returns the number of settings. */
size_t daemon_settings_count(void);

/* Returns the first columns of the row for setting INDEX in the table of docs/settings.md: path,
 * type, range and default. Free the string with g_free. */
char *daemon_settings_doc_row(size_t index);

/* Frees what daemon_settings_load allocated. */
void daemon_settings_free(struct daemon_settings *settings);

#endif
