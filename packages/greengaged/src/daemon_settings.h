/* Settings of the daemon in either role. */
#ifndef GG_DAEMON_SETTINGS_H
#define GG_DAEMON_SETTINGS_H

#include <jansson.h>
#include <stdint.h>

#include "status.h"

/* Values as read from the settings file; each unit is in the field's name. docs/settings.md
 * describes every field. */
struct daemon_settings {
	char *role; /* "entry" or "agent" */
	char *name;
	char *zone;
	char *host;
	char *log_level;

	char *http_address; /* "127.0.0.1:8080" */
	int64_t http_threads;
	int64_t http_header_max_bytes;
	int64_t http_body_max_bytes;
	int64_t http_body_limit_ms; /* time to receive a whole request */
	int64_t http_open_requests;
	int64_t http_wait_max_ms;

	int64_t heartbeat_ms;
	int64_t heartbeat_limit_ms;
	int64_t agent_lost_ms;
	int64_t entry_forget_ms;
	int64_t start_by_ms;
	int64_t drain_grace_ms;
	int64_t drain_limit_ms;

	/* Entry. */
	char *channel_address; /* where agents and other entries connect, "tcp://127.0.0.1:7000" */
	char **peers;	       /* channel addresses of other entries */
	char *log_url;	       /* log service; without it claims and patches are refused */
	int64_t log_connect_ms;
	int64_t log_append_ms;
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
	int64_t max_answer_bytes; /* of all answers of ended jobs together */
	int64_t session_lifetime_s;
	int64_t session_retain_s;
	int64_t max_sessions;
	int64_t max_keys;
	int64_t answer_retain_s; /* how long a finished job's answer is kept */
	int64_t task_limit_ms;	 /* limit on one task at the backend server */
	int64_t forward_limit_ms;
	int64_t zone_penalty_us;
	int64_t ageing_divisor;
	int64_t seed; /* 0 takes a random one */

	/* Agent. */
	char **entries; /* channel addresses */
	json_t *labels;
	int64_t prefetch;
	int64_t fail_streak;
	int64_t quarantine_first_ms;
	int64_t quarantine_longest_ms;
	int64_t server_connect_ms;
};

/*
 * Reads and checks FILE. On STATUS_INVALID_SETTINGS or STATUS_NOT_FOUND the message names the file,
 * the path in it and the accepted values.
 */
enum status daemon_settings_load(const char *file, struct daemon_settings *settings,
				 struct error *err);

/* Returns the number of settings. */
size_t daemon_settings_count(void);

/* Returns the first columns of the row of setting INDEX in docs/settings.md: path, type, range and
 * default. The caller frees it with g_free. */
char *daemon_settings_doc_row(size_t index);

/* Frees what daemon_settings_load allocated. */
void daemon_settings_free(struct daemon_settings *settings);

#endif
