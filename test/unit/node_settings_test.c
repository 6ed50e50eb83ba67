#include <glib.h>
#include <glib/gstdio.h>
#include <string.h>
#include <unistd.h>

#include "node_settings.h"

#define COMMON_JSON                                                                                \
	"\"mode\":\"platform\",\"name\":\"n\",\"zone\":\"z\",\"store\":{\"address\":\"10.0.0.9:"   \
	"1\"}"
#define PEERS_JSON ",\"peers\":{\"ip\":\"10.0.0.1\",\"port\":7720,\"seeds\":[\"10.0.0.2:1\"]}"
#define ENTRY_JSON                                                                                 \
	"{" COMMON_JSON PEERS_JSON ",\"role\":\"entry\",\"listen\":{\"clients\":\"10.0.0.1:1\","   \
	"\"readiness\":\"10.0.0.1:2\"}"
#define AGENT_JSON                                                                                 \
	"{" COMMON_JSON PEERS_JSON ",\"role\":\"agent\",\"listen\":{\"control\":\"10.0.0.1:1\"},"  \
	"\"server\":{\"address\":\"10.0.0.1:3\"}"

static enum status load(const char *text, struct node_settings *settings, struct error *err)
{
	char *name = NULL;
	int fd = g_file_open_tmp("node_settings_XXXXXX.json", &name, NULL);
	enum status status;

	g_assert_cmpint(fd, >=, 0);
	close(fd);
	g_assert_true(g_file_set_contents(name, text, -1, NULL));
	status = node_settings_load(name, settings, err);
	g_unlink(name);
	g_free(name);
	return status;
}

/* Settings with only the required members of each role must be accepted. */
static void test_roles(void)
{
	struct node_settings settings;
	struct error err;

	g_assert_cmpint(load(ENTRY_JSON "}", &settings, &err), ==, STATUS_OK);
	g_assert_cmpint(settings.peer_port, ==, 7720);
	g_assert_false(settings.local_zone);
	node_settings_free(&settings);
	g_assert_cmpint(load(ENTRY_JSON ",\"policy\":{\"local_zone\":true}}", &settings, &err), ==,
			STATUS_OK);
	g_assert_true(settings.local_zone);
	node_settings_free(&settings);
	g_assert_cmpint(load(AGENT_JSON "}", &settings, &err), ==, STATUS_OK);
	node_settings_free(&settings);
}

/* A client sends an unanswered job again after resend_ms. If the silence timeout, the lease (with a
 * clock drift of 2 %) and stop_ms together took longer, a run of an unreachable owner (the entry
 * that ordered it) could still exist by then, and the job could run twice at the same time. */
static void test_lease_ends_before_resend(void)
{
	static const char *const limits[] = {
		"}",
		",\"limits\":{\"resend_ms\":1300,\"lease_ms\":1000,\"stop_ms\":50}}",
		",\"limits\":{\"resend_ms\":2600.5,\"lease_ms\":4000,\"stop_ms\":100}}",
	};
	struct node_settings settings;
	struct error err;

	for (size_t i = 0; i < G_N_ELEMENTS(limits); i++) {
		char *text = g_strdup_printf(ENTRY_JSON "%s", limits[i]);

		g_assert_cmpint(load(text, &settings, &err), ==, STATUS_OK);
		g_assert_cmpfloat((double)node_settings_silence_timeout_ms(&settings) +
					  NODE_STOP_WAIT_MS +
					  1.02 * (double)node_settings_run_lease_ms(&settings) +
					  settings.stop_ms,
				  <, settings.resend_ms);
		g_assert_cmpfloat((double)node_settings_run_lease_ms(&settings), <=,
				  settings.lease_ms);
		node_settings_free(&settings);
		g_free(text);
	}
}

static const struct {
	const char *text;
	const char *message_part; /* part of the error message */
} invalid_files[] = {
	{"{", "line 1"},
	{ENTRY_JSON ",\"surprise\":1}", "surprise"},
	{ENTRY_JSON ",\"policy\":{\"off\":[\"late_last\",\"luck\"]}}", "luck"},
	{"{" COMMON_JSON PEERS_JSON ",\"role\":\"entry\"}", "listen.clients"},
	{"{" COMMON_JSON PEERS_JSON ",\"role\":\"entry\",\"listen\":{\"clients\":\"10.0.0.1:1\"}}",
	 "listen.readiness"},
	{"{" COMMON_JSON PEERS_JSON ",\"role\":\"agent\"}", "listen.control"},
	{"{" COMMON_JSON PEERS_JSON ",\"role\":\"agent\",\"listen\":{\"control\":\"10.0.0.1:1\"}}",
	 "server.address"},
	{"{" COMMON_JSON ",\"role\":\"entry\"}", "peers.ip"},
	{ENTRY_JSON ",\"policy\":{\"local_zone\":\"z\"}}", "policy.local_zone"},
	{ENTRY_JSON ",\"limits\":{\"grace_s\":\"6\"}}", "limits.grace_s"},
	{ENTRY_JSON ",\"limits\":{\"resend_ms\":500}}", "limits.resend_ms"},
	{ENTRY_JSON ",\"limits\":{\"lease_ms\":-1}}", "limits.lease_ms"},
};

/* An error message that does not name the setting would not tell the operator what to correct. */
static void test_invalid_files(void)
{
	struct node_settings settings;
	struct error err;

	for (size_t i = 0; i < G_N_ELEMENTS(invalid_files); i++) {
		g_assert_cmpint(load(invalid_files[i].text, &settings, &err), ==,
				STATUS_INVALID_SETTINGS);
		g_test_message("%s", err.message);
		g_assert_nonnull(strstr(err.message, invalid_files[i].message_part));
	}
}

/* If the deploy template contained a key that the daemon does not accept, the daemon would refuse
 * every rendered file. The array keys must match the settings that node_settings.c reads. */
static void test_template_keys(void)
{
	static const char *const keys[] = {"mode",	"role",	     "name",
					   "zone",	"listen",    "clients",
					   "readiness", "control",   "peers",
					   "ip",	"port",	     "seeds",
					   "store",	"address",   "server",
					   "limits",	"lease_ms",  "stop_ms",
					   "resend_ms", "grace_s",   "config_apply_ms",
					   "policy",	"local_zone"};
	GRegex *regex = g_regex_new("\"([a-z_]+)\":", 0, 0, NULL);
	GMatchInfo *match;
	char *text;

	g_assert_true(
		g_file_get_contents(GG_SOURCE_DIR "/deploy/settings.json.tmpl", &text, NULL, NULL));
	g_regex_match(regex, text, 0, &match);
	while (g_match_info_matches(match)) {
		char *key = g_match_info_fetch(match, 1);
		bool known = false;

		for (size_t i = 0; i < G_N_ELEMENTS(keys); i++)
			known = known || strcmp(keys[i], key) == 0;
		if (!known)
			g_test_fail_printf("unknown key in the template: %s", key);
		g_free(key);
		g_match_info_next(match, NULL);
	}
	g_match_info_free(match);
	g_regex_unref(regex);
	g_free(text);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/node_settings/roles", test_roles);
	g_test_add_func("/node_settings/lease_ends_before_resend", test_lease_ends_before_resend);
	g_test_add_func("/node_settings/bad", test_invalid_files);
	g_test_add_func("/node_settings/template_keys", test_template_keys);
	return g_test_run();
}
