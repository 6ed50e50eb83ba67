#include "config.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "calendar.h"

static struct ident make_id(uint8_t number)
{
	return (struct ident){.bytes = {number, (uint8_t)1}};
}

/* Folds a patch with id NUMBER, base BASE and the JSON text PATCH. */
static enum config_effect fold(struct config_replica *fold, uint64_t offset, uint8_t number,
			       uint64_t base, const char *patch, struct error *err)
{
	struct ident id = make_id(number);
	struct ident seen;
	json_t *json = json_loads(patch, JSON_DECODE_ANY, NULL);
	char *record = config_patch_record(&id, base, json, "op", 1000);
	enum config_effect effect =
		config_replica_apply(fold, offset, record, strlen(record), &seen, err);

	json_decref(json);
	free(record);
	return effect;
}

static enum config_effect fold_text(struct config_replica *fold, uint64_t offset, const char *text)
{
	struct ident id;

	return config_replica_apply(fold, offset, text, strlen(text), &id, NULL);
}

static void assert_refused(const char *text, const char *message)
{
	json_t *document = json_loads(text, 0, NULL);
	struct error err;

	g_assert_nonnull(document);
	g_assert_cmpint(config_validate(document, &err), ==, STATUS_INVALID_CONFIG);
	if (!strstr(err.message, message))
		g_error("%s: message \"%s\" lacks \"%s\"", text, err.message, message);
	json_decref(document);
}

/* An operator must learn which value is wrong and what would be right. */
static void test_messages_name_the_path(void)
{
	assert_refused("{\"clases\": {}}", "clases: unknown key, accepted: one of classes, teams");
	assert_refused("{\"classes\": {\"renewal\": {\"run_ms\": 0}}}",
		       "classes.renewal.run_ms: accepted: integer from 1 to 3600000");
	assert_refused("{\"classes\": {\"renewal\": {\"zones\": [\"a\", 1]}}}",
		       "classes.renewal.zones[1]: accepted: a name");
	assert_refused("{\"teams\": {\"t\": {\"weight\": \"1\"}}}",
		       "teams.t.weight: accepted: number from 0.01 to 1000");
	assert_refused("{\"capacity\": [{\"slots\": 1}]}", "capacity[0].match: required");
	assert_refused("{\"capacity\": [{\"match\": {}}]}", "capacity[0]: accepted: a rule with");
	assert_refused("{\"capacity\": [{\"match\": {}, \"calendar\": {\"time_zone\": \"UTC\", "
		       "\"weekly\": [{\"days\": [\"mon\"], \"from\": \"7:00\", \"to\": "
		       "\"24:01\"}]}}]}",
		       "capacity[0].calendar.weekly[0].from: accepted: a time");
	assert_refused("{\"drain\": {\"hosts\": [\"\"]}}", "drain.hosts[0]: accepted: a name");
	assert_refused("{\"slo\": {\"objective\": 1}}", "slo.objective: accepted: number");
	assert_refused("{\"teams\": {\"\": {}}}", "accepted: keys of 1 to 63 bytes");
}

/* The examples of RFC 7396, appendix A, that differ in kind: a wrong merge changes documents
 * silently. */
static void test_merge_patch(void)
{
	static const char *const cases[][3] = {
		{"{\"a\":\"b\"}", "{\"a\":\"c\"}", "{\"a\":\"c\"}"},
		{"{\"a\":\"b\",\"b\":\"c\"}", "{\"a\":null}", "{\"b\":\"c\"}"},
		{"{\"a\":[\"b\"]}", "{\"a\":\"c\"}", "{\"a\":\"c\"}"},
		{"{\"a\":{\"b\":\"c\"}}", "{\"a\":{\"b\":\"d\",\"c\":null}}",
		 "{\"a\":{\"b\":\"d\"}}"},
		{"{\"a\":\"foo\"}", "null", "null"},
		{"{\"e\":null}", "{\"a\":1}", "{\"e\":null,\"a\":1}"},
		{"[1,2]", "{\"a\":\"b\",\"c\":null}", "{\"a\":\"b\"}"},
		{"{}", "{\"a\":{\"bb\":{\"ccc\":null}}}", "{\"a\":{\"bb\":{}}}"},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		json_t *target = json_loads(cases[i][0], 0, NULL);
		json_t *before = json_deep_copy(target);
		json_t *patch = json_loads(cases[i][1], JSON_DECODE_ANY, NULL);
		json_t *wanted = json_loads(cases[i][2], JSON_DECODE_ANY, NULL);
		json_t *result = config_merge(target, patch);

		g_assert_true(json_equal(result, wanted));
		g_assert_true(json_equal(target, before));
		json_decref(target);
		json_decref(before);
		json_decref(patch);
		json_decref(wanted);
		json_decref(result);
	}
}

/* Two operators patch one version: exactly one may win, and the other must learn why it lost. */
static void test_racing_patches(void)
{
	struct config_replica *state = config_replica_new();
	struct config_change changes[CONFIG_HISTORY_LENGTH];
	struct error err;

	g_assert_cmpint(fold(state, 0, 1, 0, "{\"teams\":{\"a\":{}}}", &err), ==,
			CONFIG_EFFECT_APPLIED);
	g_assert_cmpint(fold(state, 1, 2, 0, "{\"teams\":{\"b\":{}}}", &err), ==,
			CONFIG_EFFECT_REJECTED);
	g_assert_cmpint(err.status, ==, STATUS_VERSION_CONFLICT);
	g_assert_cmpint(fold(state, 2, 3, 1, "{\"teams\":7}", &err), ==, CONFIG_EFFECT_REJECTED);
	g_assert_cmpint(err.status, ==, STATUS_INVALID_CONFIG);
	g_assert_cmpuint(config_version(state), ==, 1);
	g_assert_cmpuint(config_history(state, changes, CONFIG_HISTORY_LENGTH), ==, 3);
	g_assert_cmpint(changes[0].status, ==, STATUS_INVALID_CONFIG);
	g_assert_true(changes[2].accepted);
	g_assert_cmpstr(changes[2].author, ==, "op");
	config_replica_free(state);
}

/* A repeated append must not turn an accepted patch into a rejected one in the history. */
static void test_repeated_record(void)
{
	struct config_replica *state = config_replica_new();
	struct config_change change;
	struct ident id = make_id(1);

	fold(state, 0, 1, 0, "{\"teams\":{}}", NULL);
	g_assert_cmpint(fold(state, 1, 1, 0, "{\"teams\":{}}", NULL), ==, CONFIG_EFFECT_NONE);
	g_assert_true(config_find_change(state, &id, &change));
	g_assert_true(change.accepted);
	g_assert_cmpuint(config_version(state), ==, 1);
	config_replica_free(state);
}

/* A reader that starts from a late snapshot must know the ids that it carries and fold what lies
 * between the offset it represents and its own. */
static void test_late_snapshot(void)
{
	struct config_replica *full = config_replica_new();
	struct config_replica *late = config_replica_new();
	char *snapshot;

	fold(full, 0, 1, 0, "{\"teams\":{}}", NULL);
	fold(full, 1, 2, 5, "{\"slo\":{}}", NULL);
	snapshot = config_snapshot_record(full, 1);
	for (int i = 0; i < 2; i++) {
		struct config_replica *state = i == 0 ? full : late;

		config_replica_truncated(state, 2);
		fold(state, 2, 3, 1, "{\"drain\":{}}", NULL);
		/* Id 2 was rejected before; its base would fit by now. */
		fold(state, 3, 4, 2, "{\"slo\":{}}", NULL);
		fold(state, 4, 5, 3, "{\"slo\":{}}", NULL);
		fold(state, 5, 6, 4, "{\"slo\":{}}", NULL);
		fold(state, 6, 2, 5, "{\"slo\":{}}", NULL);
		g_assert_cmpint(config_is_synced(state), ==, i == 0);
		g_assert_cmpint(fold_text(state, 7, snapshot), ==, CONFIG_EFFECT_SNAPSHOT);
		g_assert_cmpuint(config_version(state), ==, 5);
	}
	g_assert_true(json_equal(config_document(full), config_document(late)));
	free(snapshot);
	config_replica_free(full);
	config_replica_free(late);
}

/* A snapshot that needs expired records, or that lies about its offset, must not be loaded. */
static void test_unusable_snapshot(void)
{
	struct config_replica *state = config_replica_new();

	config_replica_truncated(state, 10);
	g_assert_cmpint(fold_text(state, 10,
				  "{\"type\":\"snapshot\",\"offset\":9,\"version\":4,"
				  "\"document\":{},\"history\":[],\"ids\":[]}"),
			==, CONFIG_EFFECT_NONE);
	g_assert_cmpint(fold_text(state, 11,
				  "{\"type\":\"snapshot\",\"offset\":12,\"version\":4,"
				  "\"document\":{},\"history\":[],\"ids\":[]}"),
			==, CONFIG_EFFECT_NONE);
	g_assert_false(config_is_synced(state));
	g_assert_null(config_snapshot_record(state, 1));
	g_assert_cmpint(fold_text(state, 12,
				  "{\"type\":\"snapshot\",\"offset\":12,\"version\":4,"
				  "\"document\":{},\"history\":[],\"ids\":[]}"),
			==, CONFIG_EFFECT_SNAPSHOT);
	g_assert_cmpuint(config_version(state), ==, 4);
	config_replica_free(state);
}

/* A peer may be ahead of the stream: catching up must neither lower the version nor show accepted
 * patches as rejected, and the next patch applies once. */
static void test_peer_ahead_of_stream(void)
{
	struct config_replica *state = config_replica_new();
	struct config_change changes[CONFIG_HISTORY_LENGTH];
	struct error err;

	g_assert_true(config_replica_adopt(state, 2, "{\"teams\":{\"b\":{}}}", &err));
	g_assert_false(config_replica_adopt(state, 2, "{}", &err));
	g_assert_false(config_replica_adopt(state, 3, "{\"x\":1}", &err));
	g_assert_cmpint(err.status, ==, STATUS_INVALID_CONFIG);
	fold(state, 0, 1, 0, "{\"teams\":{\"a\":{}}}", NULL);
	g_assert_cmpuint(config_version(state), ==, 2);
	g_assert_nonnull(json_object_get(json_object_get(config_document(state), "teams"), "b"));
	fold(state, 1, 2, 1, "{\"teams\":{\"a\":null,\"b\":{}}}", NULL);
	g_assert_cmpint(fold(state, 2, 3, 2, "{\"slo\":{}}", NULL), ==, CONFIG_EFFECT_APPLIED);
	g_assert_cmpuint(config_version(state), ==, 3);
	g_assert_cmpuint(config_history(state, changes, CONFIG_HISTORY_LENGTH), ==, 3);
	for (int i = 0; i < 3; i++)
		g_assert_true(changes[i].accepted);
	config_replica_free(state);
}

/* Records lost in the middle: the configuration in force must survive until a snapshot arrives. */
static void test_gap_keeps_state_in_force(void)
{
	struct config_replica *state = config_replica_new();

	fold(state, 0, 1, 0, "{\"slo\":{}}", NULL);
	config_replica_truncated(state, 5);
	g_assert_false(config_is_synced(state));
	g_assert_cmpuint(config_version(state), ==, 1);
	g_assert_cmpint(fold(state, 5, 2, 1, "{\"drain\":{}}", NULL), ==, CONFIG_EFFECT_NONE);
	g_assert_cmpuint(config_version(state), ==, 1);
	g_assert_nonnull(json_object_get(config_document(state), "slo"));
	config_replica_free(state);
}

/* Record ids beyond the ring are forgotten; readers must forget alike, or they diverge. */
static void test_forgotten_ids_agree(void)
{
	struct config_replica *full = config_replica_new();
	struct config_replica *late = config_replica_new();
	json_t *patch = json_object();
	char *snapshot;
	uint64_t offset = 0;

	for (uint64_t i = 0; i < CONFIG_RECENT_IDS + 2; i++) {
		struct ident id = {.bytes = {(uint8_t)i, (uint8_t)(i >> 8)}};
		/* Id 0 asks for a version that is reached after it was forgotten. */
		char *record = config_patch_record(&id, i == 0 ? CONFIG_RECENT_IDS + 1 : i - 1,
						   patch, "", 0);

		config_replica_apply(full, offset++, record, strlen(record), &id, NULL);
		free(record);
	}
	snapshot = config_snapshot_record(full, 0);
	config_replica_truncated(late, offset);
	for (int i = 0; i < 2; i++) {
		struct config_replica *state = i == 0 ? full : late;
		struct ident id = {0};
		char *record = config_patch_record(&id, CONFIG_RECENT_IDS + 1, patch, "", 0);

		fold_text(state, offset, snapshot);
		config_replica_apply(state, offset + 1, record, strlen(record), &id, NULL);
		g_assert_cmpuint(config_version(state), ==, CONFIG_RECENT_IDS + 2);
		free(record);
	}
	free(snapshot);
	json_decref(patch);
	config_replica_free(full);
	config_replica_free(late);
}

/* Capacity that is drained, limited or switched off must not be offered, whatever else matches. */
static void test_capacity(void)
{
	json_t *document = json_loads(
		"{\"capacity\": [{\"match\": {}, \"slots\": 6},"
		" {\"match\": {\"zone\": \"z1\", \"labels\": {\"gpu\": \"yes\"}}, \"slots\": 4},"
		" {\"match\": {\"host\": \"h2\"}, \"calendar\": {\"time_zone\": \"UTC\","
		"  \"weekly\": []}}],"
		" \"drain\": {\"zones\": [\"z9\"]}}",
		0, NULL);
	json_t *labels = json_pack("{ss}", "gpu", "yes");
	struct config_agent subject = {
		.server = "s1", .host = "h1", .zone = "z1", .labels = labels};
	bool drained;

	g_assert_cmpint(config_validate(document, NULL), ==, STATUS_OK);
	g_assert_cmpuint(config_capacity(document, &subject, 8, 0, &drained), ==, 4);
	g_assert_false(drained);
	subject.labels = NULL;
	g_assert_cmpuint(config_capacity(document, &subject, 8, 0, NULL), ==, 6);
	g_assert_cmpuint(config_capacity(document, &subject, 3, 0, NULL), ==, 3);
	subject.host = "h2";
	g_assert_cmpuint(config_capacity(document, &subject, 8, 0, &drained), ==, 0);
	g_assert_false(drained);
	subject.host = "h1";
	subject.zone = "z9";
	g_assert_cmpuint(config_capacity(document, &subject, 8, 0, &drained), ==, 0);
	g_assert_true(drained);
	json_decref(labels);
	json_decref(document);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/config/messages", test_messages_name_the_path);
	g_test_add_func("/config/merge-patch", test_merge_patch);
	g_test_add_func("/config/racing-patches", test_racing_patches);
	g_test_add_func("/config/repeated-record", test_repeated_record);
	g_test_add_func("/config/late-snapshot", test_late_snapshot);
	g_test_add_func("/config/unusable-snapshot", test_unusable_snapshot);
	g_test_add_func("/config/peer-ahead", test_peer_ahead_of_stream);
	g_test_add_func("/config/gap", test_gap_keeps_state_in_force);
	g_test_add_func("/config/forgotten-ids", test_forgotten_ids_agree);
	g_test_add_func("/config/capacity", test_capacity);
	return g_test_run();
}
