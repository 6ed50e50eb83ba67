#include <glib.h>
#include <string.h>

#include "session.h"

enum {
	SECOND_US = 1000000,
	LIFETIME_US = 100 * SECOND_US,
	RETAIN_US = 50 * SECOND_US,
	MAX_KEYS = 5000,
};

static const struct ident incarnation = {{9}};
static const struct ident body_digest = {{1}};

static struct session_store *new_store(void)
{
	const struct session_limits limits = {LIFETIME_US, RETAIN_US, 3, MAX_KEYS};

	return session_store_new(&limits, &incarnation);
}

static enum status register_key(struct session_store *store, uint64_t serial, uint32_t key,
				int64_t now_us, struct error *err)
{
	enum session_key_state state;
	struct handle *job;
	char text[16];

	g_snprintf(text, sizeof(text), "%u", key);
	return session_register_key(store, serial, text, &body_digest, now_us, &state, &job, err);
}

static void open_with_keys(struct session_store *store, uint64_t serial, int64_t now_us)
{
	struct session_token token;

	g_assert_cmpint(session_open(store, serial, now_us, &token, NULL), ==, STATUS_OK);
	for (uint32_t i = 0; i < MAX_KEYS; i++)
		g_assert_cmpint(register_key(store, serial, i, now_us, NULL), ==, STATUS_OK);
}

/* A truncated, extended or corrupted token must be rejected, not parsed as the token of another
 * session. */
static void test_token_form(void)
{
	struct session_token token = {.incarnation = incarnation, .serial = 0xfedcba9876543210};
	struct session_token read;
	char text[SESSION_TOKEN_BYTES + 1];

	session_format_token(&token, text);
	g_assert_cmpint(session_parse_token(text, &read, NULL), ==, STATUS_OK);
	g_assert_true(read.serial == token.serial && ident_equal(&read.incarnation, &incarnation));
	memcpy(text + SESSION_TOKEN_BYTES - 1, "0", 2);
	g_assert_cmpint(session_parse_token(text, &read, NULL), ==, STATUS_INVALID_SESSION);
	for (size_t i = SESSION_TOKEN_BYTES - 1; i-- > 0;) {
		session_format_token(&token, text);
		text[i] = 'x';
		g_assert_cmpint(session_parse_token(text, &read, NULL), ==, STATUS_INVALID_SESSION);
		text[i] = '\0';
		g_assert_cmpint(session_parse_token(text, &read, NULL), ==, STATUS_INVALID_SESSION);
	}
}

/* Closing a session with many keys must not block the dispatcher. The keys must be unreachable at
 * once, and later calls must free the memory of the keys step by step. */
static void test_close_is_bounded(void)
{
	struct session_store *store = new_store();
	struct session_token token;

	open_with_keys(store, 1, 0);
	g_assert_cmpint(register_key(store, 1, MAX_KEYS, 0, NULL), ==, STATUS_TOO_MANY_REQUESTS);
	g_assert_cmpint(session_close(store, 1, NULL), ==, STATUS_OK);
	g_assert_cmpint(register_key(store, 1, 0, 0, NULL), ==, STATUS_SESSION_GONE);
	g_assert_cmpint(session_open(store, 2, 0, &token, NULL), ==, STATUS_OK);
	g_assert_cmpint(register_key(store, 2, 0, 0, NULL), ==, STATUS_OK);
	session_expire(store, 0, 100);
	g_assert_cmpuint(session_key_count(store), >=, MAX_KEYS - 110);
	session_expire(store, 0, MAX_KEYS + 1);
	g_assert_cmpuint(session_key_count(store), ==, 1);
	g_assert_cmpuint(session_count(store), ==, 1);
	session_store_free(store);
}

/* A key of an expired session must be refused even before the key is freed, and session_expire must
 * free the keys of expired sessions and keep valid sessions. */
static void test_expiry(void)
{
	struct session_store *store = new_store();
	struct session_token token;
	struct error err;

	open_with_keys(store, 1, 0);
	session_open(store, 2, SECOND_US, &token, NULL);
	g_assert_false(session_needs_renewal(store, 1, LIFETIME_US / 2 - 1));
	g_assert_true(session_needs_renewal(store, 1, LIFETIME_US / 2));
	g_assert_cmpint(register_key(store, 1, 0, LIFETIME_US, NULL), ==, STATUS_OK);
	g_assert_cmpint(register_key(store, 1, MAX_KEYS, LIFETIME_US, &err), ==,
			STATUS_SESSION_GONE);
	g_assert_cmpint(err.outcome, ==, OUTCOME_NOT_RUN);
	g_assert_cmpint(register_key(store, 1, 0, LIFETIME_US + RETAIN_US, &err), ==,
			STATUS_SESSION_GONE);
	g_assert_cmpint(err.outcome, ==, OUTCOME_UNKNOWN);
	session_expire(store, LIFETIME_US + RETAIN_US, 2 * MAX_KEYS);
	g_assert_cmpuint(session_key_count(store), ==, 0);
	g_assert_cmpuint(session_count(store), ==, 1);
	session_store_free(store);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/session/token-form", test_token_form);
	g_test_add_func("/session/close-is-bounded", test_close_is_bounded);
	g_test_add_func("/session/expiry", test_expiry);
	return g_test_run();
}
