#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "claims.h"

enum {
	WINDOW_MS = 3600000
};

/* The first 48 bits are the time in ms, 0x018f00000000. */
static const char key_text[] = "018f0000-0000-7abc-8def-0123456789ab";
static const int64_t key_ms = 0x018f00000000;

static const struct ident own = {{1}};
static const struct ident other = {{2}};

static void count_decided(void *context, const struct ident *key_digest, bool won,
			  const struct ident *owner)
{
	(*(int *)context) += won ? 1 : 100;
}

/* Applies a record and returns the sum of 1 for each key won and 100 for each key lost. */
static int apply_record(struct claims *claims, uint64_t offset, const char *record)
{
	int decided = 0;

	claims_apply_record(claims, offset, record, strlen(record), key_ms, count_decided, &decided,
			    NULL);
	return decided;
}

/* A key accepted outside its time bounds could run a second time after its claim has expired. */
static void test_key_bounds(void)
{
	static const char *const invalid[] = {
		"",
		"018f0000-0000-4abc-8def-0123456789ab",
		"018f0000-0000-7abc-cdef-0123456789ab",
		"018f0000-0000-7abc-8def-0123456789a",
		"018f0000-0000-7abc-8def-0123456789abc",
		"018f000000000-7abc-8def-0123456789ab",
		"018f0000-0000-7abc-8def-0123456789ag",
	};
	struct error err;

	for (size_t i = 0; i < G_N_ELEMENTS(invalid); i++)
		g_assert_cmpint(claims_check_key(invalid[i], key_ms, WINDOW_MS, NULL), ==,
				STATUS_INVALID_KEY);
	g_assert_cmpint(claims_check_key(key_text, key_ms - CLAIM_FUTURE_LIMIT_MS, WINDOW_MS, NULL),
			==, STATUS_OK);
	claims_check_key(key_text, key_ms - CLAIM_FUTURE_LIMIT_MS - 1, WINDOW_MS, &err);
	g_assert_true(err.status == STATUS_INVALID_KEY && err.outcome == OUTCOME_NOT_RUN);
	g_assert_cmpint(claims_check_key(key_text, key_ms + WINDOW_MS - 1, WINDOW_MS, NULL), ==,
			STATUS_OK);
	claims_check_key(key_text, key_ms + WINDOW_MS, WINDOW_MS, &err);
	g_assert_true(err.status == STATUS_KEY_EXPIRED && err.outcome == OUTCOME_UNKNOWN);
}

/* The same UUID in upper case would run a second time if it had another digest. */
static void test_letter_case_is_ignored(void)
{
	char *upper = g_ascii_strup(key_text, -1);
	struct ident a = claims_key_digest(key_text);
	struct ident b = claims_key_digest(upper);

	g_assert_true(ident_equal(&a, &b));
	g_free(upper);
}

/* A reader that applied part of a malformed record, or a record of an unknown version, would
 * determine another owner than the other readers. */
static void test_unknown_records_are_ignored(void)
{
	static const char *const records[] = {
		"",
		"[]",
		"{\"version\":2,\"owner\":\"02000000000000000000000000000000\","
		"\"keys\":[\"03000000000000000000000000000000\"]}",
		"{\"version\":\"1\",\"owner\":\"02000000000000000000000000000000\","
		"\"keys\":[\"03000000000000000000000000000000\"]}",
		"{\"version\":1,\"owner\":\"02000000000000000000000000000000\","
		"\"keys\":[\"03000000000000000000000000000000\",\"03\"]}",
		"{\"version\":1,\"owner\":\"0200\",\"keys\":[\"03000000000000000000000000000000\"]"
		"}",
	};
	struct claims *claims = claims_new(&own, WINDOW_MS);
	struct ident key = {{3}};

	for (uint64_t i = 0; i < G_N_ELEMENTS(records); i++)
		g_assert_cmpint(claims_apply_record(claims, i, records[i], strlen(records[i]),
						    key_ms, NULL, NULL, NULL),
				==, STATUS_INVALID_MESSAGE);
	g_assert_cmpint(claims_find(claims, &key, NULL), ==, CLAIM_NONE);
	claims_free(claims);
}

/* If a record that is appended or read twice decided its keys twice, their jobs would be started
 * twice. */
static void test_repeated_record_changes_nothing(void)
{
	struct claims *claims = claims_new(&own, WINDOW_MS);
	struct claims *other_claims = claims_new(&other, WINDOW_MS);
	struct ident key = claims_key_digest(key_text);
	struct ident owner;
	char *record;

	g_assert_true(claims_request(claims, &key));
	g_assert_false(claims_request(claims, &key));
	g_assert_true(claims_request(other_claims, &key));
	record = claims_take_batch(claims);
	g_assert_null(claims_take_batch(claims));
	g_assert_cmpint(apply_record(claims, 4, record), ==, 1);
	g_assert_cmpint(apply_record(claims, 4, record) + apply_record(claims, 5, record), ==, 0);
	g_assert_cmpint(apply_record(other_claims, 4, record) +
				apply_record(other_claims, 5, record),
			==, 100);
	g_assert_cmpint(claims_find(other_claims, &key, &owner), ==, CLAIM_OWNED_BY_OTHER);
	g_assert_true(ident_equal(&owner, &own));
	g_assert_null(claims_take_batch(other_claims));
	free(record);
	claims_free(claims);
	claims_free(other_claims);
}

/* A record with too many keys would exceed the log's size limit. When a burst of requests is split
 * over several records, no key may be lost. */
static void test_batches_are_bounded(void)
{
	struct claims *claims = claims_new(&own, WINDOW_MS);
	uint32_t records = 0;
	char *record;

	for (uint32_t i = 0; i < CLAIM_BATCH_MAX_KEYS * 2 + 1; i++) {
		struct ident key = ident_digest(&i, sizeof(i));

		claims_request(claims, &key);
	}
	while ((record = claims_take_batch(claims))) {
		g_assert_cmpint(apply_record(claims, records++, record), <=, CLAIM_BATCH_MAX_KEYS);
		free(record);
	}
	g_assert_cmpuint(records, ==, 3);
	g_assert_cmpuint(claims_count(claims), ==, CLAIM_BATCH_MAX_KEYS * 2 + 1);
	claims_free(claims);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/claims/key-bounds", test_key_bounds);
	g_test_add_func("/claims/case-does-not-matter", test_letter_case_is_ignored);
	g_test_add_func("/claims/unknown-records-are-ignored", test_unknown_records_are_ignored);
	g_test_add_func("/claims/repeated-record-changes-nothing",
			test_repeated_record_changes_nothing);
	g_test_add_func("/claims/batches-are-bounded", test_batches_are_bounded);
	return g_test_run();
}
