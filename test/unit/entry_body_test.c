#include <glib.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "entry_body.h"

enum {
	MAX_TASKS = 4
};

static enum status parse(const char *text, struct job_body **body, struct error *err)
{
	return entry_body_parse(strdup(text), strlen(text), MAX_TASKS, body, err);
}

static void check_task(const struct job_body *body, uint32_t task, const char *expected)
{
	char *value = g_strndup(body->text + body->tasks[task].offset, body->tasks[task].length);

	g_assert_cmpstr(value, ==, expected);
	g_free(value);
}

/* A task must reach the backend server byte for byte as the client wrote it. Brackets, quotes and
 * spaces in a value must not move the boundaries of a task. */
static void test_task_text_unchanged(void)
{
	struct job_body *body;
	struct error err;

	g_assert_cmpint(
		parse(" { \"run_ms\" : 5 , \"class\":\"c\",\"team\":\"t\" , \"tasks\" : [ "
		      "{\"a\":[1,\"x]\\\"}\"]} , 18446744073709551616,\"q,\\\\\" , null ] }",
		      &body, &err),
		==, STATUS_OK);
	g_assert_cmpuint(body->task_count, ==, 4);
	check_task(body, 0, "{\"a\":[1,\"x]\\\"}\"]}");
	check_task(body, 1, "18446744073709551616");
	check_task(body, 2, "\"q,\\\\\"");
	check_task(body, 3, "null");
	g_assert_cmpint(body->run_ms, ==, 5);
	entry_body_free(body);
}

/* JSON allows escapes in field names, so a search for the literal name "tasks" would miss the
 * field. The text of the tasks must not change either: an earlier version serialized the parsed
 * tasks again, which turned 1 into 1.0. */
static void test_escaped_field_name(void)
{
	struct job_body *body;
	struct error err;

	g_assert_cmpint(parse("{\"class\":\"c\",\"team\":\"t\",\"\\u0074asks\":[ [1, 2], 7 ]}",
			      &body, &err),
			==, STATUS_OK);
	check_task(body, 0, "[1, 2]");
	check_task(body, 1, "7");
	entry_body_free(body);
}

/* "tasks" inside a string value or inside a task must not be mistaken for the field of the body. */
static void test_field_name_in_values(void)
{
	struct job_body *body;
	struct error err;

	g_assert_cmpint(parse("{\"class\":\"\\\"tasks\\\":[9]\",\"team\":\"t\","
			      "\"tasks\":[{\"tasks\":[1]}]}",
			      &body, &err),
			==, STATUS_OK);
	check_task(body, 0, "{\"tasks\":[1]}");
	entry_body_free(body);
}

static const struct {
	const char *text;
	enum status status;
	const char *message_part;
} refusals[] = {
	{"", STATUS_INVALID_JSON, "line"},
	{"{\"class\":\"c\"", STATUS_INVALID_JSON, "line"},
	{"{\"class\":\"c\",\"class\":\"d\"}", STATUS_INVALID_JSON, "duplicate"},
	{"[]", STATUS_INVALID_REQUEST, "body"},
	{"{\"team\":\"t\",\"tasks\":[1]}", STATUS_INVALID_REQUEST, "class"},
	{"{\"class\":\"\",\"team\":\"t\",\"tasks\":[1]}", STATUS_INVALID_REQUEST, "class"},
	{"{\"class\":\"a\\u0000b\",\"team\":\"t\",\"tasks\":[1]}", STATUS_INVALID_REQUEST, "class"},
	{"{\"class\":\"c\",\"team\":7,\"tasks\":[1]}", STATUS_INVALID_REQUEST, "team"},
	{"{\"class\":\"c\",\"team\":\"t\"}", STATUS_INVALID_REQUEST, "tasks"},
	{"{\"class\":\"c\",\"team\":\"t\",\"tasks\":[]}", STATUS_INVALID_REQUEST, "tasks"},
	{"{\"class\":\"c\",\"team\":\"t\",\"tasks\":{}}", STATUS_INVALID_REQUEST, "tasks"},
	{"{\"class\":\"c\",\"team\":\"t\",\"tasks\":[1,2,3,4,5]}", STATUS_TOO_MANY_TASKS, "5"},
	{"{\"class\":\"c\",\"team\":\"t\",\"tasks\":[1],\"run_ms\":0}", STATUS_INVALID_REQUEST,
	 "run_ms"},
	{"{\"class\":\"c\",\"team\":\"t\",\"tasks\":[1],\"deadline_ms\":1.5}",
	 STATUS_INVALID_REQUEST, "deadline_ms"},
	{"{\"class\":\"c\",\"team\":\"t\",\"tasks\":[1],\"deadline\":1}", STATUS_INVALID_REQUEST,
	 "deadline"},
};

/* Each malformed body must be refused with the matching status, the outcome "not run" and a message
 * that names the invalid field, or the line if the text is not JSON. */
static void test_errors_name_field(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(refusals); i++) {
		struct job_body *body = NULL;
		struct error err = {0};

		g_assert_cmpint(parse(refusals[i].text, &body, &err), ==, refusals[i].status);
		g_assert_nonnull(strstr(err.message, refusals[i].message_part));
		g_assert_cmpint(err.outcome, ==, OUTCOME_NOT_RUN);
	}
}

/* A randomly corrupted body must be refused, or parsed into tasks that are valid JSON. The scan
 * must not read out of bounds. */
static void test_corrupted_bodies(void)
{
	static const char valid[] =
		"{\"class\":\"c\",\"team\":\"t\",\"run_ms\":9,\"tasks\":[{\"a\":"
		"\"\\u0041\\\\\"},[[]],\"]\",-1e9]}";
	GRand *rand = g_rand_new_with_seed(7);

	g_test_message("seed 7");
	for (int round = 0; round < 20000; round++) {
		char text[sizeof(valid)];
		struct job_body *body = NULL;
		struct error err;

		memcpy(text, valid, sizeof(valid));
		for (int edits = g_rand_int_range(rand, 1, 4); edits > 0; edits--)
			text[g_rand_int_range(rand, 0, sizeof(valid) - 1)] =
				"\"\\[]{},:x0 "[g_rand_int_range(rand, 0, 11)];
		if (parse(text, &body, &err) != STATUS_OK)
			continue;
		for (uint32_t i = 0; i < body->task_count; i++) {
			char *value = g_strndup(body->text + body->tasks[i].offset,
						body->tasks[i].length);
			json_t *task = json_loads(value, JSON_DECODE_ANY | JSON_ALLOW_NUL, NULL);

			g_assert_nonnull(task);
			json_decref(task);
			g_free(value);
		}
		entry_body_free(body);
	}
	g_rand_free(rand);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/entry_body/text", test_task_text_unchanged);
	g_test_add_func("/entry_body/escaped_name", test_escaped_field_name);
	g_test_add_func("/entry_body/name_in_value", test_field_name_in_values);
	g_test_add_func("/entry_body/refusals", test_errors_name_field);
	g_test_add_func("/entry_body/damaged", test_corrupted_bodies);
	return g_test_run();
}
