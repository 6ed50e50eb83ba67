#include "node_settings.h"

#include <glib.h>
#include <jansson.h>
#include <string.h>

#include "policy.h"
#include "settings.h"

enum {
	MAX_ADDRESS_BYTES = 64,
	MAX_NAME_BYTES = 63, /* longest name that packages/core stores */
	MAX_SEEDS = 64,
	MAX_POLICY_OFF = 32,
	MAX_PORT = 65535,
	HOUR_MS = 3600000,
	HOUR_S = 3600,
	RESEND_MARGIN_MS = 100,	      /* for messages in transit and differences between clocks */
	MIN_SILENCE_TIMEOUT_MS = 300, /* shorter pauses of a healthy peer are usual */
	PERCENT = 100,
	MAX_LOCAL_ZONE_SERVERS = 100000,
	/* With 2 to 4 servers in a zone, the preference cost callers more than it gained. */
	DEFAULT_LOCAL_ZONE_SERVERS = 16
};

static const char *const mode_choices[] = {"platform", NULL};
static const char *const role_choices[] = {"entry", "agent", NULL};
static const char *const level_choices[] = {"debug", "info", "warning", "error", NULL};

#define STRING(json_path, field, max_bytes, is_required)                                           \
	{                                                                                          \
		.path = (json_path), .type = SETTINGS_STRING,                                      \
		.offset = offsetof(struct node_settings, field), .min = 1, .max = (max_bytes),     \
		.required = (is_required)                                                          \
	}
#define ENUM(json_path, field, accepted, default_value, is_required)                               \
	{                                                                                          \
		.path = (json_path), .type = SETTINGS_ENUM,                                        \
		.offset = offsetof(struct node_settings, field), .choices = (accepted),            \
		.default_text = (default_value), .required = (is_required)                         \
	}
#define NUMBER(json_path, field, min_value, max_value, default_value)                              \
	{                                                                                          \
		.path = (json_path), .type = SETTINGS_NUMBER,                                      \
		.offset = offsetof(struct node_settings, field), .min = (min_value),               \
		.max = (max_value), .default_number = (default_value)                              \
	}

static const struct settings_field setting_fields[] = {
	ENUM("mode", mode, mode_choices, NULL, true),
	ENUM("role", role, role_choices, NULL, true),
	STRING("name", name, MAX_NAME_BYTES, true),
	STRING("zone", zone, MAX_NAME_BYTES, true),
	ENUM("log_level", log_level, level_choices, "info", false),
	STRING("listen.clients", client_address, MAX_ADDRESS_BYTES, false),
	STRING("listen.readiness", readiness_address, MAX_ADDRESS_BYTES, false),
	STRING("listen.control", control_address, MAX_ADDRESS_BYTES, false),
	STRING("peers.ip", host_ip, MAX_ADDRESS_BYTES, true),
	STRING("peers.advertised_ip", advertised_ip, MAX_ADDRESS_BYTES, false),
	{.path = "peers.port",
	 .type = SETTINGS_INT,
	 .offset = offsetof(struct node_settings, peer_port),
	 .min = 1,
	 .max = MAX_PORT,
	 .required = true},
	{.path = "peers.seeds",
	 .type = SETTINGS_STRING_LIST,
	 .offset = offsetof(struct node_settings, seeds),
	 .max = MAX_SEEDS},
	STRING("store.address", store_address, MAX_ADDRESS_BYTES, true),
	STRING("server.address", server_address, MAX_ADDRESS_BYTES, false),
	{.path = "policy.off",
	 .type = SETTINGS_STRING_LIST,
	 .offset = offsetof(struct node_settings, policy_off),
	 .max = MAX_POLICY_OFF},
	{.path = "policy.shed_by_share",
	 .type = SETTINGS_BOOL,
	 .offset = offsetof(struct node_settings, shed_by_share)},
	{.path = "policy.local_zone",
	 .type = SETTINGS_BOOL,
	 .offset = offsetof(struct node_settings, local_zone)},
	{.path = "policy.local_zone_servers",
	 .type = SETTINGS_INT,
	 .offset = offsetof(struct node_settings, local_zone_servers),
	 .min = 1,
	 .max = MAX_LOCAL_ZONE_SERVERS,
	 .default_number = DEFAULT_LOCAL_ZONE_SERVERS},
	NUMBER("limits.lease_ms", lease_ms, 50, HOUR_MS, 1000),
	NUMBER("limits.stop_ms", stop_ms, 0, HOUR_MS, 50),
	NUMBER("limits.resend_ms", resend_ms, 1, HOUR_MS, 1300),
	NUMBER("limits.grace_s", grace_s, 1, HOUR_S, 6),
	NUMBER("limits.config_apply_ms", config_apply_ms, 1, HOUR_MS, 2000),
};

bool node_settings_is_platform(const char *file)
{
	json_t *document = json_load_file(file, 0, NULL);
	const char *mode = json_string_value(json_object_get(document, "mode"));
	bool platform = mode && strcmp(mode, "platform") == 0;

	json_decref(document);
	return platform;
}

static enum status check_policy(const char *file, char *const *names, struct error *err)
{
	struct policy policy = {0};
	const char *unknown = policy_switch_off(&policy, names);

	if (!unknown)
		return STATUS_OK;
	return error_set(err, STATUS_INVALID_SETTINGS,
			 "%s: policy.off: there is no mechanism \"%s\"", file, unknown);
}

static enum status check_settings(const char *file, const struct node_settings *settings,
				  struct error *err)
{
	bool entry = strcmp(settings->role, "entry") == 0;

	if (entry && !settings->client_address)
		return error_set(err, STATUS_INVALID_SETTINGS,
				 "%s: listen.clients: required for the role entry", file);
	if (entry && !settings->readiness_address)
		return error_set(err, STATUS_INVALID_SETTINGS,
				 "%s: listen.readiness: required for the role entry", file);
	if (!entry && !settings->control_address)
		return error_set(err, STATUS_INVALID_SETTINGS,
				 "%s: listen.control: required for the role agent", file);
	if (!entry && !settings->server_address)
		return error_set(err, STATUS_INVALID_SETTINGS,
				 "%s: server.address: required for the role agent", file);
	if (node_settings_silence_timeout_ms(settings) < MIN_SILENCE_TIMEOUT_MS)
		return error_set(err, STATUS_INVALID_SETTINGS,
				 "%s: limits.resend_ms: accepted: at least %d ms more than "
				 "limits.stop_ms",
				 file, 2 * MIN_SILENCE_TIMEOUT_MS + RESEND_MARGIN_MS);
	return check_policy(file, settings->policy_off, err);
}

enum status node_settings_load(const char *file, struct node_settings *settings, struct error *err)
{
	enum status status;

	memset(settings, 0, sizeof(*settings));
	status = settings_load(file, setting_fields, G_N_ELEMENTS(setting_fields), settings, err);
	if (status == STATUS_OK)
		status = check_settings(file, settings, err);
	if (status != STATUS_OK)
		node_settings_free(settings);
	return status;
}

int64_t node_settings_silence_timeout_ms(const struct node_settings *settings)
{
	return (int64_t)((settings->resend_ms - settings->stop_ms - RESEND_MARGIN_MS) / 2);
}

int64_t node_settings_run_lease_ms(const struct node_settings *settings)
{
	int64_t remaining_ms = node_settings_silence_timeout_ms(settings) - NODE_STOP_WAIT_MS;

	return MIN((int64_t)settings->lease_ms,
		   remaining_ms * PERCENT / (PERCENT + NODE_CLOCK_DRIFT_PERCENT));
}

void node_settings_free(struct node_settings *settings)
{
	settings_free(setting_fields, G_N_ELEMENTS(setting_fields), settings);
}
