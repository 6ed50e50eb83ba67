#include "config.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "calendar.h"

static struct ident make_id(uint8_t number)
{
	return (struct ident){.bytes = {number, (uint8_t)1}};
}

/* Applies a patch record with id NUMBER, base version BASE and the JSON text PATCH. */
static enum config_effect apply_patch(struct config_replica *replica, uint64_t offset,
				      uint8_t number, uint64_t base, const char *patch,
				      struct error *err)
{
	struct ident id = make_id(number);
	struct ident record_id;
	json_t *json = json_loads(patch, JSON_DECODE_ANY, NULL);
	char *record = config_format_patch(&id, base, json, "op", 1000);
	enum config_effect effect =
		config_replica_apply(replica, offset, record, strlen(record), &record_id, err);

	json_decref(json);
	free(record);
	return effect;
}

static enum config_effect apply_text(struct config_replica *replica, uint64_t offset,
				     const char *text)
{
	struct ident id;

	return config_replica_apply(replica, offset, text, strlen(text), &id, NULL);
}

static void assert_invalid(const char *text, const char *message)
{
	json_t *document = json_loads(text, 0, NULL);
	struct error err;

	g_assert_nonnull(document);
	g_assert_cmpint(config_validate(document, &err), ==, STATUS_INVALID_CONFIG);
	if (!strstr(err.message, message))
		g_error("%s: message \"%s\" lacks \"%s\"", text, err.message, message);
	json_decref(document);
}

/* An error message must name the invalid value by its path and say which values are accepted, so
 * that an operator can correct it. */
static void test_messages_contain_path(void)
{
	assert_invalid("{\"clases\": {}}", "clases: unknown key, accepted: one of classes, teams");
	assert_invalid("{\"classes\": {\"renewal\": {\"run_ms\": 0}}}",
		       "classes.renewal.run_ms: accepted: integer from 1 to 3600000");
	assert_invalid("{\"classes\": {\"renewal\": {\"zones\": [\"a\", 1]}}}",
		       "classes.renewal.zones[1]: accepted: a name");
	assert_invalid("{\"teams\": {\"t\": {\"weight\": \"1\"}}}",
		       "teams.t.weight: accepted: number from 0.01 to 1000");
	assert_invalid("{\"capacity\": [{\"slots\": 1}]}", "capacity[0].match: required");
	assert_invalid("{\"capacity\": [{\"match\": {}}]}", "capacity[0]: accepted: a rule with");
	assert_invalid("{\"capacity\": [{\"match\": {}, \"calendar\": {\"time_zone\": \"UTC\", "
		       "\"weekly\": [{\"days\": [\"mon\"], \"from\": \"7:00\", \"to\": "
		       "\"24:01\"}]}}]}",
		       "capacity[0].calendar.weekly[0].from: accepted: a time");
	assert_invalid("{\"drain\": {\"hosts\": [\"\"]}}", "drain.hosts[0]: accepted: a name");
	assert_invalid("{\"slo\": {\"objective\": 1}}", "slo.objective: accepted: number");
	assert_invalid("{\"teams\": {\"\": {}}}", "accepted: keys of 1 to 63 bytes");
}

/* Examples from RFC 7396, appendix A, one for each branch of the merge. A wrong merge would
 * change documents without an error. */
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
		json_t *expected = json_loads(cases[i][2], JSON_DECODE_ANY, NULL);
		json_t *result = config_merge(target, patch);

		g_assert_true(json_equal(result, expected));
		g_assert_true(json_equal(target, before));
		json_decref(target);
		json_decref(before);
		json_decref(patch);
		json_decref(expected);
		json_decref(result);
	}
}

/* Of two patches based on the same version exactly one must be accepted; the other must be rejected
 * with a version conflict. Each rejection and its reason must be in the history. */
static void test_concurrent_patches(void)
{
	struct config_replica *replica = config_replica_new();
	struct config_change changes[CONFIG_HISTORY_LENGTH];
	struct error err;

	g_assert_cmpint(apply_patch(replica, 0, 1, 0, "{\"teams\":{\"a\":{}}}", &err), ==,
			CONFIG_EFFECT_APPLIED);
	g_assert_cmpint(apply_patch(replica, 1, 2, 0, "{\"teams\":{\"b\":{}}}", &err), ==,
			CONFIG_EFFECT_REJECTED);
	g_assert_cmpint(err.status, ==, STATUS_VERSION_CONFLICT);
	g_assert_cmpint(apply_patch(replica, 2, 3, 1, "{\"teams\":7}", &err), ==,
			CONFIG_EFFECT_REJECTED);
	g_assert_cmpint(err.status, ==, STATUS_INVALID_CONFIG);
	g_assert_cmpuint(config_version(replica), ==, 1);
	g_assert_cmpuint(config_history(replica, changes, CONFIG_HISTORY_LENGTH), ==, 3);
	g_assert_cmpint(changes[0].status, ==, STATUS_INVALID_CONFIG);
	g_assert_true(changes[2].accepted);
	g_assert_cmpstr(changes[2].author, ==, "op");
	config_replica_free(replica);
}

/* A record appended twice must be applied once. Otherwise the repeat, whose base is outdated, would
 * be added to the history as a rejection of an accepted patch. */
static void test_repeated_record(void)
{
	struct config_replica *replica = config_replica_new();
	struct config_change change;
	struct ident id = make_id(1);

	apply_patch(replica, 0, 1, 0, "{\"teams\":{}}", NULL);
	g_assert_cmpint(apply_patch(replica, 1, 1, 0, "{\"teams\":{}}", NULL), ==,
			CONFIG_EFFECT_NONE);
	g_assert_true(config_find_change(replica, &id, &change));
	g_assert_true(change.accepted);
	g_assert_cmpuint(config_version(replica), ==, 1);
	config_replica_free(replica);
}

/* A replica that starts from a snapshot appended late must load the ids in it and apply the
 * records from the snapshot's offset to its position in the log. */
static void test_late_snapshot(void)
{
	struct config_replica *full_replica = config_replica_new();
	struct config_replica *late_replica = config_replica_new();
	char *snapshot;

	apply_patch(full_replica, 0, 1, 0, "{\"teams\":{}}", NULL);
	apply_patch(full_replica, 1, 2, 5, "{\"slo\":{}}", NULL);
	snapshot = config_format_snapshot(full_replica, 1);
	for (int i = 0; i < 2; i++) {
		struct config_replica *replica = i == 0 ? full_replica : late_replica;

		config_replica_expire_below(replica, 2);
		apply_patch(replica, 2, 3, 1, "{\"drain\":{}}", NULL);
		apply_patch(replica, 3, 4, 2, "{\"slo\":{}}", NULL);
		apply_patch(replica, 4, 5, 3, "{\"slo\":{}}", NULL);
		apply_patch(replica, 5, 6, 4, "{\"slo\":{}}", NULL);
		/* Id 2 was rejected at offset 1. Its base matches now, but a repeated id must not
		 * be applied. */
		apply_patch(replica, 6, 2, 5, "{\"slo\":{}}", NULL);
		g_assert_cmpint(config_is_synced(replica), ==, i == 0);
		g_assert_cmpint(apply_text(replica, 7, snapshot), ==, CONFIG_EFFECT_SNAPSHOT);
		g_assert_cmpuint(config_version(replica), ==, 5);
	}
	g_assert_true(json_equal(config_document(full_replica), config_document(late_replica)));
	free(snapshot);
	config_replica_free(full_replica);
	config_replica_free(late_replica);
}

/* A snapshot that depends on expired records, or whose offset is beyond its own position in the
 * log, must not be loaded. */
static void test_unusable_snapshot(void)
{
	struct config_replica *replica = config_replica_new();

	config_replica_expire_below(replica, 10);
	g_assert_cmpint(apply_text(replica, 10,
				   "{\"type\":\"snapshot\",\"offset\":9,\"version\":4,"
				   "\"document\":{},\"history\":[],\"ids\":[]}"),
			==, CONFIG_EFFECT_NONE);
	g_assert_cmpint(apply_text(replica, 11,
				   "{\"type\":\"snapshot\",\"offset\":12,\"version\":4,"
				   "\"document\":{},\"history\":[],\"ids\":[]}"),
			==, CONFIG_EFFECT_NONE);
	g_assert_false(config_is_synced(replica));
	g_assert_null(config_format_snapshot(replica, 1));
	g_assert_cmpint(apply_text(replica, 12,
				   "{\"type\":\"snapshot\",\"offset\":12,\"version\":4,"
				   "\"document\":{},\"history\":[],\"ids\":[]}"),
			==, CONFIG_EFFECT_SNAPSHOT);
	g_assert_cmpuint(config_version(replica), ==, 4);
	config_replica_free(replica);
}

/*
 * A state adopted from a peer may be newer than the records read. Applying the records up to the
 * adopted version must neither lower the version nor show accepted patches as rejected, and the
 * next patch must be applied once.
 */
static void test_peer_ahead_of_stream(void)
{
	struct config_replica *replica = config_replica_new();
	struct config_change changes[CONFIG_HISTORY_LENGTH];
	struct error err;

	g_assert_true(config_replica_adopt(replica, 2, "{\"teams\":{\"b\":{}}}", &err));
	g_assert_false(config_replica_adopt(replica, 2, "{}", &err));
	g_assert_false(config_replica_adopt(replica, 3, "{\"x\":1}", &err));
	g_assert_cmpint(err.status, ==, STATUS_INVALID_CONFIG);
	apply_patch(replica, 0, 1, 0, "{\"teams\":{\"a\":{}}}", NULL);
	g_assert_cmpuint(config_version(replica), ==, 2);
	g_assert_nonnull(json_object_get(json_object_get(config_document(replica), "teams"), "b"));
	apply_patch(replica, 1, 2, 1, "{\"teams\":{\"a\":null,\"b\":{}}}", NULL);
	g_assert_cmpint(apply_patch(replica, 2, 3, 2, "{\"slo\":{}}", NULL), ==,
			CONFIG_EFFECT_APPLIED);
	g_assert_cmpuint(config_version(replica), ==, 3);
	g_assert_cmpuint(config_history(replica, changes, CONFIG_HISTORY_LENGTH), ==, 3);
	for (int i = 0; i < 3; i++)
		g_assert_true(changes[i].accepted);
	config_replica_free(replica);
}

/* When records expire before they are read, the effective configuration must be kept until a
 * snapshot arrives. */
static void test_truncation_keeps_effective_state(void)
{
	struct config_replica *replica = config_replica_new();

	apply_patch(replica, 0, 1, 0, "{\"slo\":{}}", NULL);
	config_replica_expire_below(replica, 5);
	g_assert_false(config_is_synced(replica));
	g_assert_cmpuint(config_version(replica), ==, 1);
	g_assert_cmpint(apply_patch(replica, 5, 2, 1, "{\"drain\":{}}", NULL), ==,
			CONFIG_EFFECT_NONE);
	g_assert_cmpuint(config_version(replica), ==, 1);
	g_assert_nonnull(json_object_get(config_document(replica), "slo"));
	config_replica_free(replica);
}

/* Ids beyond CONFIG_RECENT_IDS are evicted, and a record with such an id can be applied again. A
 * replica started from a snapshot must evict the same ids, or the documents diverge. */
static void test_evicted_ids_agree(void)
{
	struct config_replica *full_replica = config_replica_new();
	struct config_replica *late_replica = config_replica_new();
	json_t *patch = json_object();
	char *snapshot;
	uint64_t offset = 0;

	for (uint64_t i = 0; i < CONFIG_RECENT_IDS + 2; i++) {
		struct ident id = {.bytes = {(uint8_t)i, (uint8_t)(i >> 8)}};
		/* The patch with id 0 is based on a version that is reached only after the id is
		 * evicted. */
		char *record = config_format_patch(&id, i == 0 ? CONFIG_RECENT_IDS + 1 : i - 1,
						   patch, "", 0);

		config_replica_apply(full_replica, offset++, record, strlen(record), &id, NULL);
		free(record);
	}
	snapshot = config_format_snapshot(full_replica, 0);
	config_replica_expire_below(late_replica, offset);
	for (int i = 0; i < 2; i++) {
		struct config_replica *replica = i == 0 ? full_replica : late_replica;
		struct ident id = {0};
		char *record = config_format_patch(&id, CONFIG_RECENT_IDS + 1, patch, "", 0);

		apply_text(replica, offset, snapshot);
		config_replica_apply(replica, offset + 1, record, strlen(record), &id, NULL);
		g_assert_cmpuint(config_version(replica), ==, CONFIG_RECENT_IDS + 2);
		free(record);
	}
	free(snapshot);
	json_decref(patch);
	config_replica_free(full_replica);
	config_replica_free(late_replica);
}

/* Slots that are drained, limited or switched off by a calendar must not be offered, even when
 * other matching rules allow them. */
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
	struct config_agent agent = {.server = "s1", .host = "h1", .zone = "z1", .labels = labels};
	bool drained;

	g_assert_cmpint(config_validate(document, NULL), ==, STATUS_OK);
	g_assert_cmpuint(config_capacity(document, &agent, 8, 0, &drained), ==, 4);
	g_assert_false(drained);
	agent.labels = NULL;
	g_assert_cmpuint(config_capacity(document, &agent, 8, 0, NULL), ==, 6);
	g_assert_cmpuint(config_capacity(document, &agent, 3, 0, NULL), ==, 3);
	agent.host = "h2";
	g_assert_cmpuint(config_capacity(document, &agent, 8, 0, &drained), ==, 0);
	g_assert_false(drained);
	agent.host = "h1";
	agent.zone = "z9";
	g_assert_cmpuint(config_capacity(document, &agent, 8, 0, &drained), ==, 0);
	g_assert_true(drained);
	json_decref(labels);
	json_decref(document);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/config/messages", test_messages_contain_path);
	g_test_add_func("/config/merge-patch", test_merge_patch);
	g_test_add_func("/config/racing-patches", test_concurrent_patches);
	g_test_add_func("/config/repeated-record", test_repeated_record);
	g_test_add_func("/config/late-snapshot", test_late_snapshot);
	g_test_add_func("/config/unusable-snapshot", test_unusable_snapshot);
	g_test_add_func("/config/peer-ahead", test_peer_ahead_of_stream);
	g_test_add_func("/config/gap", test_truncation_keeps_effective_state);
	g_test_add_func("/config/forgotten-ids", test_evicted_ids_agree);
	g_test_add_func("/config/capacity", test_capacity);
	return g_test_run();
}
