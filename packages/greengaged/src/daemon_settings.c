#include "daemon_settings.h"

#include <glib.h>
#include <string.h>

#include "settings.h"

enum {
	DAY_S = 86400,
	HOUR_MS = 3600000,
	MIB = 1 << 20,
	ADDRESS_MAX_BYTES = 200,
	NAME_MAX_BYTES = 63 /* longest name that packages/core stores: NAME_BYTES - 1 */
};

static const char *const role_choices[] = {"entry", "agent", NULL};
static const char *const log_level_choices[] = {"debug", "info", "warning", "error", NULL};

#define INT_FIELD(json_path, field, minimum, maximum, default_value)                               \
	{                                                                                          \
		.path = (json_path), .type = SETTINGS_INT,                                         \
		.offset = offsetof(struct daemon_settings, field), .min = (minimum),               \
		.max = (maximum), .default_number = (default_value)                                \
	}
#define STRING_FIELD(json_path, field, default_value, is_required)                                 \
	{                                                                                          \
		.path = (json_path), .type = SETTINGS_STRING,                                      \
		.offset = offsetof(struct daemon_settings, field), .min = 1,                       \
		.max = ADDRESS_MAX_BYTES, .default_text = (default_value),                         \
		.required = (is_required)                                                          \
	}
#define NAME_FIELD(json_path, field)                                                               \
	{                                                                                          \
		.path = (json_path), .type = SETTINGS_STRING,                                      \
		.offset = offsetof(struct daemon_settings, field), .min = 1,                       \
		.max = NAME_MAX_BYTES, .required = true                                            \
	}
#define ENUM_FIELD(json_path, field, accepted, default_value, is_required)                         \
	{                                                                                          \
		.path = (json_path), .type = SETTINGS_ENUM,                                        \
		.offset = offsetof(struct daemon_settings, field), .choices = (accepted),          \
		.default_text = (default_value), .required = (is_required)                         \
	}
#define LIST_FIELD(json_path, field, maximum)                                                      \
	{                                                                                          \
		.path = (json_path), .type = SETTINGS_STRING_LIST,                                 \
		.offset = offsetof(struct daemon_settings, field), .max = (maximum)                \
	}
#define MAP_FIELD(json_path, field)                                                                \
	{                                                                                          \
		.path = (json_path), .type = SETTINGS_MAP,                                         \
		.offset = offsetof(struct daemon_settings, field)                                  \
	}

static const struct settings_field fields[] = {
	ENUM_FIELD("role", role, role_choices, NULL, true),
	NAME_FIELD("name", name),
	NAME_FIELD("zone", zone),
	NAME_FIELD("host", host),
	ENUM_FIELD("log_level", log_level, log_level_choices, "info", false),

	STRING_FIELD("http.address", http_address, NULL, true),
	INT_FIELD("http.threads", http_threads, 2, 4096, 256),
	INT_FIELD("http.header_max_bytes", http_header_max_bytes, 1024, 65536, 16384),
	INT_FIELD("http.body_max_bytes", http_body_max_bytes, 1024, 64 * MIB, 8 * MIB),
	INT_FIELD("http.body_limit_ms", http_body_limit_ms, 100, 600000, 10000),
	INT_FIELD("http.open_requests", http_open_requests, 1, 4096, 240),
	INT_FIELD("http.wait_max_ms", http_wait_max_ms, 0, HOUR_MS, 30000),

	INT_FIELD("channel.heartbeat_ms", heartbeat_ms, 10, 60000, 1000),
	INT_FIELD("channel.heartbeat_limit_ms", heartbeat_limit_ms, 50, 600000, 3000),
	INT_FIELD("channel.agent_lost_ms", agent_lost_ms, 100, 600000, 10000),
	INT_FIELD("channel.entry_forget_ms", entry_forget_ms, 1000, HOUR_MS, 60000),
	INT_FIELD("channel.start_by_ms", start_by_ms, 10, 60000, 2000),
	INT_FIELD("channel.forward_limit_ms", forward_limit_ms, 100, 600000, 5000),
	STRING_FIELD("channel.address", channel_address, NULL, false),
	LIST_FIELD("channel.peers", peers, 1000),
	LIST_FIELD("channel.entries", entries, 1000),

	INT_FIELD("drain.grace_ms", drain_grace_ms, 0, 600000, 2000),
	INT_FIELD("drain.limit_ms", drain_limit_ms, 100, HOUR_MS, 30000),

	STRING_FIELD("log.url", log_url, NULL, false),
	INT_FIELD("log.connect_ms", log_connect_ms, 10, 60000, 1000),
	INT_FIELD("log.append_ms", log_append_ms, 10, 60000, 2000),
	INT_FIELD("log.poll_ms", log_poll_ms, 10, 60000, 5000),
	INT_FIELD("log.retry_ms", log_retry_ms, 10, 60000, 100),
	INT_FIELD("log.retention_s", log_retention_s, 10, 3650 * DAY_S, 7 * DAY_S),
	INT_FIELD("log.snapshot_interval_s", snapshot_interval_s, 1, 365 * DAY_S, DAY_S),
	INT_FIELD("log.patch_wait_ms", patch_wait_ms, 100, 600000, 10000),

	INT_FIELD("claims.wait_ms", claim_wait_ms, 10, 600000, 3000),
	INT_FIELD("claims.window_s", claim_window_s, 1, 365 * DAY_S, DAY_S),

	INT_FIELD("limits.tasks_per_job", max_tasks_per_job, 1, 100000, 1000),
	INT_FIELD("limits.queued_tasks", max_queued_tasks, 1, 100000000, 1000000),
	INT_FIELD("limits.queued_bytes", max_queued_bytes, 1024, (int64_t)64 * 1024 * MIB,
		  256 * MIB),
	INT_FIELD("limits.jobs", max_jobs, 1, 10000000, 200000),
	INT_FIELD("limits.result_bytes", max_result_bytes, 64, 64 * MIB, MIB),
	INT_FIELD("limits.answer_bytes", max_answer_bytes, 1024, (int64_t)64 * 1024 * MIB,
		  256 * MIB),
	INT_FIELD("limits.sessions", max_sessions, 1, 10000000, 100000),
	INT_FIELD("limits.keys", max_keys, 1, 100000000, 2000000),
	INT_FIELD("limits.task_ms", task_limit_ms, 10, HOUR_MS, 60000),

	INT_FIELD("session.lifetime_s", session_lifetime_s, 1, 30 * DAY_S, 3600),
	INT_FIELD("session.retain_s", session_retain_s, 1, 30 * DAY_S, 3600),
	INT_FIELD("session.answer_retain_s", answer_retain_s, 1, 30 * DAY_S, 600),

	INT_FIELD("dispatch.zone_penalty_us", zone_penalty_us, 0, 10000000, 1000),
	INT_FIELD("dispatch.ageing_divisor", ageing_divisor, 1, 1000000, 10),
	INT_FIELD("dispatch.seed", seed, 0, INT64_MAX, 0),

	MAP_FIELD("agent.labels", labels),
	INT_FIELD("agent.prefetch", prefetch, 0, 1, 0),
	INT_FIELD("agent.fail_streak", fail_streak, 1, 1000, 5),
	INT_FIELD("agent.quarantine_first_ms", quarantine_first_ms, 10, HOUR_MS, 1000),
	INT_FIELD("agent.quarantine_longest_ms", quarantine_longest_ms, 10, 24 * HOUR_MS, 60000),
	INT_FIELD("agent.server_connect_ms", server_connect_ms, 10, 60000, 1000),
};

static bool is_wildcard(const char *address)
{
	return strstr(address, "//*:") || strstr(address, "//0.0.0.0:") ||
	       strstr(address, "//[::]:");
}

/* Checks the rules that involve several settings. */
static enum status check_related_settings(const char *file, const struct daemon_settings *settings,
					  struct error *err)
{
	bool is_entry = strcmp(settings->role, "entry") == 0;

	if (is_entry && !settings->channel_address)
		return error_set(err, STATUS_INVALID_SETTINGS,
				 "%s: channel.address: required for the role entry", file);
	if (is_entry && is_wildcard(settings->channel_address))
		return error_set(err, STATUS_INVALID_SETTINGS,
				 "%s: channel.address: accepted: the address that other processes "
				 "connect to, not a wildcard",
				 file);
	if (!is_entry && settings->entries[0] == NULL)
		return error_set(err, STATUS_INVALID_SETTINGS,
				 "%s: channel.entries: at least one address is required for the "
				 "role agent",
				 file);
	if (settings->heartbeat_limit_ms < 2 * settings->heartbeat_ms)
		return error_set(err, STATUS_INVALID_SETTINGS,
				 "%s: channel.heartbeat_limit_ms: accepted: at least twice "
				 "channel.heartbeat_ms (%lld)",
				 file, (long long)settings->heartbeat_ms);
	if (settings->claim_window_s > settings->log_retention_s / 2)
		return error_set(
			err, STATUS_INVALID_SETTINGS,
			"%s: claims.window_s: accepted: at most half of log.retention_s (%lld)",
			file, (long long)settings->log_retention_s);
	if (settings->snapshot_interval_s > settings->log_retention_s / 3)
		return error_set(err, STATUS_INVALID_SETTINGS,
				 "%s: log.snapshot_interval_s: accepted: at most a third of "
				 "log.retention_s (%lld)",
				 file, (long long)settings->log_retention_s);
	if (settings->http_open_requests >= settings->http_threads)
		return error_set(err, STATUS_INVALID_SETTINGS,
				 "%s: http.open_requests: accepted: less than http.threads (%lld)",
				 file, (long long)settings->http_threads);
	return STATUS_OK;
}

enum status daemon_settings_load(const char *file, struct daemon_settings *settings,
				 struct error *err)
{
	enum status status;

	memset(settings, 0, sizeof(*settings));
	status = settings_load(file, fields, G_N_ELEMENTS(fields), settings, err);
	if (status == STATUS_OK)
		status = check_related_settings(file, settings, err);
	if (status != STATUS_OK)
		daemon_settings_free(settings);
	return status;
}

size_t daemon_settings_count(void)
{
	return G_N_ELEMENTS(fields);
}

static const char *type_name(enum settings_type type)
{
	static const char *const names[] = {
		[SETTINGS_INT] = "integer",
		[SETTINGS_BOOL] = "boolean",
		[SETTINGS_STRING] = "string",
		[SETTINGS_ENUM] = "choice",
		[SETTINGS_STRING_LIST] = "list of strings",
		[SETTINGS_MAP] = "object of strings",
	};

	return names[type];
}

static char *range_text(const struct settings_field *field)
{
	switch (field->type) {
	case SETTINGS_INT:
		return g_strdup_printf("%" G_GINT64_FORMAT " to %" G_GINT64_FORMAT, field->min,
				       field->max);
	case SETTINGS_STRING:
		return g_strdup_printf("%" G_GINT64_FORMAT " to %" G_GINT64_FORMAT " bytes",
				       field->min, field->max);
	case SETTINGS_ENUM:
		return g_strjoinv(", ", (char **)field->choices);
	case SETTINGS_STRING_LIST:
		return g_strdup_printf("up to %" G_GINT64_FORMAT " items", field->max);
	default:
		return g_strdup("any");
	}
}

static char *default_text(const struct settings_field *field)
{
	if (field->required)
		return g_strdup("required");
	if (field->type == SETTINGS_INT)
		return g_strdup_printf("%" G_GINT64_FORMAT, field->default_number);
	return g_strdup(field->default_text ? field->default_text : "none");
}

char *daemon_settings_doc_row(size_t index)
{
	const struct settings_field *field = &fields[index];
	char *range = range_text(field);
	char *default_value = default_text(field);
	char *row = g_strdup_printf("| `%s` | %s | %s | %s |", field->path, type_name(field->type),
				    range, default_value);

	g_free(range);
	g_free(default_value);
	return row;
}

void daemon_settings_free(struct daemon_settings *settings)
{
	settings_free(fields, G_N_ELEMENTS(fields), settings);
}
