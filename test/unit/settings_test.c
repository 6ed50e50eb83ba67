#include <glib.h>
#include <glib/gstdio.h>
#include <string.h>
#include <unistd.h>

#include "daemon_settings.h"

#define ENTRY_MEMBERS_FORMAT                                                                       \
	"\"role\":\"entry\",\"name\":\"e\",\"zone\":\"z\",\"host\":\"h\","                         \
	"\"http\":{\"address\":\"127.0.0.1:1\"%s},\"channel\":{\"address\":\"tcp://"               \
	"127.0.0.1:2\"%s}"

static enum status load(const char *text, struct daemon_settings *settings, struct error *err)
{
	char *name = NULL;
	int fd = g_file_open_tmp("settings_test_XXXXXX.json", &name, NULL);
	enum status status;

	g_assert_cmpint(fd, >=, 0);
	close(fd);
	g_assert_true(g_file_set_contents(name, text, -1, NULL));
	status = daemon_settings_load(name, settings, err);
	if (status != STATUS_OK)
		g_assert_nonnull(strstr(err->message, name));
	g_unlink(name);
	g_free(name);
	return status;
}

/* Loads the settings of an entry with additional JSON members, each starting with a comma. */
static enum status load_entry(const char *http_members, const char *channel_members,
			      const char *more_members, struct daemon_settings *settings,
			      struct error *err)
{
	char *members = g_strdup_printf(ENTRY_MEMBERS_FORMAT, http_members, channel_members);
	char *text = g_strdup_printf("{%s%s}", members, more_members);
	enum status status = load(text, settings, err);

	g_free(members);
	g_free(text);
	return status;
}

/* Guards against defaults that are out of range or contradict each other, and against unintended
 * changes of three time limits. */
static void test_defaults_are_valid(void)
{
	struct daemon_settings settings;
	struct error err;

	g_assert_cmpint(load_entry("", "", "", &settings, &err), ==, STATUS_OK);
	g_assert_cmpint(settings.heartbeat_limit_ms, ==, 3000);
	g_assert_cmpint(settings.agent_lost_ms, ==, 10000);
	g_assert_cmpint(settings.drain_limit_ms, ==, 30000);
	daemon_settings_free(&settings);
}

static const struct {
	const char *http_members;
	const char *channel_members;
	const char *more_members;
	const char *path;     /* must be in the message */
	const char *accepted; /* what is accepted; must be in the message, empty if unchecked */
} invalid_settings[] = {
	{",\"threads\":1", "", "", "http.threads", "2"},
	{",\"threads\":\"8\"", "", "", "http.threads", "4096"},
	{",\"treads\":8", "", "", "http.treads", ""},
	{",\"threads\":10,\"open_requests\":10", "", "", "http.open_requests", "10"},
	{"", ",\"heartbeat_ms\":2000", "", "channel.heartbeat_limit_ms", "2000"},
	{"", ",\"peers\":\"x\"", "", "channel.peers", ""},
	{"", "",
	 ",\"claims\":{\"window_s\":86400},\"log\":{\"retention_s\":90000,"
	 "\"snapshot_interval_s\":100}",
	 "claims.window_s", "half"},
	{"", "", ",\"log\":{\"snapshot_interval_s\":604800}", "log.snapshot_interval_s", "third"},
	{"", "", ",\"limits\":{\"tasks_per_job\":0}", "limits.tasks_per_job", "100000"},
	{"", "", ",\"limits\":[]", "limits", ""},
	{"", "", ",\"extra\":1", "extra", ""},
};

/* Guards against error messages that do not tell the operator which value is wrong and what is
 * accepted. */
static void test_errors_name_path_and_range(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(invalid_settings); i++) {
		struct daemon_settings settings;
		struct error err;

		g_assert_cmpint(load_entry(invalid_settings[i].http_members,
					   invalid_settings[i].channel_members,
					   invalid_settings[i].more_members, &settings, &err),
				==, STATUS_INVALID_SETTINGS);
		g_test_message("%s", err.message);
		g_assert_nonnull(strstr(err.message, invalid_settings[i].path));
		g_assert_nonnull(strstr(err.message, invalid_settings[i].accepted));
	}
}

/* Guards against accepting a file without a setting that its role requires (the roles require
 * different ones), with an unknown role or with invalid JSON. */
static void test_settings_required_by_role(void)
{
	struct daemon_settings settings;
	struct error err;

	g_assert_cmpint(load("{\"role\":\"agent\",\"name\":\"a\",\"zone\":\"z\",\"host\":\"h\","
			     "\"http\":{\"address\":\"127.0.0.1:1\"}}",
			     &settings, &err),
			==, STATUS_INVALID_SETTINGS);
	g_assert_nonnull(strstr(err.message, "channel.entries"));
	g_assert_cmpint(load("{\"role\":\"entry\",\"name\":\"a\",\"zone\":\"z\",\"host\":\"h\","
			     "\"http\":{\"address\":\"127.0.0.1:1\"}}",
			     &settings, &err),
			==, STATUS_INVALID_SETTINGS);
	g_assert_nonnull(strstr(err.message, "channel.address"));
	g_assert_cmpint(load("{\"role\":\"both\"}", &settings, &err), ==, STATUS_INVALID_SETTINGS);
	g_assert_nonnull(strstr(err.message, "role"));
	g_assert_cmpint(load("{", &settings, &err), ==, STATUS_INVALID_SETTINGS);
}

/* Guards against accepting a wildcard as channel.address: other processes connect to the address
 * that an entry advertises, so they would fail to connect or reach the wrong host. */
static void test_wildcard_address_is_rejected(void)
{
	static const char *const wildcards[] = {"tcp://0.0.0.0:2", "tcp://*:2", "tcp://[::]:2"};
	struct daemon_settings settings;
	struct error err;

	for (size_t i = 0; i < G_N_ELEMENTS(wildcards); i++) {
		char *text = g_strdup_printf(
			"{\"role\":\"entry\",\"name\":\"e\",\"zone\":\"z\",\"host\":\"h\",\"http\":"
			"{\"address\":\"127.0.0.1:1\"},\"channel\":{\"address\":\"%s\"}}",
			wildcards[i]);

		g_assert_cmpint(load(text, &settings, &err), ==, STATUS_INVALID_SETTINGS);
		g_assert_nonnull(strstr(err.message, "channel.address"));
		g_free(text);
	}
}

/* Guards against a docs/settings.md that lacks a setting, lists one that does not exist, or gives a
 * wrong type, range or default. */
static void test_docs_match_settings(void)
{
	size_t count = daemon_settings_count();
	char **lines;
	char *text;
	size_t rows = 0;

	g_assert_true(g_file_get_contents(GG_SOURCE_DIR "/docs/settings.md", &text, NULL, NULL));
	for (size_t i = 0; i < count; i++) {
		char *row = daemon_settings_doc_row(i);

		if (!strstr(text, row))
			g_test_fail_printf("docs/settings.md lacks: %s", row);
		g_free(row);
	}
	lines = g_strsplit(text, "\n", -1);
	for (char **line = lines; *line; line++)
		rows += g_str_has_prefix(*line, "| `");
	g_assert_cmpuint(rows, ==, count);
	g_strfreev(lines);
	g_free(text);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/settings/defaults", test_defaults_are_valid);
	g_test_add_func("/settings/refusals", test_errors_name_path_and_range);
	g_test_add_func("/settings/roles", test_settings_required_by_role);
	g_test_add_func("/settings/documentation", test_docs_match_settings);
	g_test_add_func("/settings/wildcard-address", test_wildcard_address_is_rejected);
	return g_test_run();
}
