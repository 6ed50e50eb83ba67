/* Tests the pages of a list of newest records. One item of another writer must not hide the others,
 * whatever it contains. */
#include <string.h>

#include "store_page.h"

enum {
	NESTING_LEVELS = 100000
};

static bool parse(const char *body, struct store_page *page)
{
	return store_page_parse(body, strlen(body), page);
}

static const struct store_page_item *item_at(const struct store_page *page, guint index)
{
	return &g_array_index(page->items, struct store_page_item, index);
}

static void test_page(void)
{
	struct store_page page;

	g_assert_true(parse(" {\"items\" : [ {\"key\":\"a\\\"]\",\"value\":\"aGVsbG8=\",\"offset\":"
			    "3}, {\"key\":\"b\"} ], \"hasMore\" : true , \"endOffset\" : 12 } ",
			    &page));
	g_assert_cmpuint(page.items->len, ==, 1);
	g_assert_cmpstr(item_at(&page, 0)->key, ==, "a\"]");
	g_assert_cmpmem(item_at(&page, 0)->value, item_at(&page, 0)->value_length, "hello", 5);
	g_assert_cmpstr(page.last_key, ==, "b");
	g_assert_true(page.has_more);
	g_assert_cmpuint(page.end_offset, ==, 12);
	g_assert_cmpuint(page.unreadable, ==, 0);
	store_page_clear(&page);
}

/* Items that the JSON parser refuses or that are no records. */
static const char *const unreadable_items[] = {
	"{\"key\":\"x\",\"offset\":99999999999999999999}",
	"{\"key\":\"x\",\"offset\":1e999}",
	"{\"key\":\"x\",\"value\":1}",
	"{\"key\":\"x\",\"value\":{\"a\":[\"]}\"]}}",
	"{\"key\":\"\\udc80\"}",
	"{\"key\":\"\xff\"}",
	"{\"key\":\"x\",\"\\u0000\":1}",
	"{\"key\":7}",
	"{\"key\":tru}",
	"{}",
	"[]",
	"[[],{}]",
	"7",
	"-",
	"null",
	"\"key\"",
};

static void check_left_out(const char *item)
{
	static const char *const formats[] = {
		"{\"items\":[%s,{\"key\":\"a\",\"value\":\"\"},{\"key\":\"b\",\"value\":\"\"}],"
		"\"endOffset\":5}",
		"{\"items\":[{\"key\":\"a\",\"value\":\"\"},%s,{\"key\":\"b\",\"value\":\"\"}],"
		"\"endOffset\":5}",
		"{\"endOffset\":5,\"items\":[{\"key\":\"a\",\"value\":\"\"},{\"key\":\"b\","
		"\"value\":"
		"\"\"},%s]}",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(formats); i++) {
		char **parts = g_strsplit(formats[i], "%s", 2);
		char *body = g_strconcat(parts[0], item, parts[1], NULL);
		struct store_page page;

		g_assert_true(parse(body, &page));
		g_assert_cmpuint(page.items->len, ==, 2);
		g_assert_cmpstr(item_at(&page, 0)->key, ==, "a");
		g_assert_cmpstr(item_at(&page, 1)->key, ==, "b");
		g_assert_cmpstr(page.last_key, ==, "b");
		g_assert_cmpuint(page.unreadable, ==, 1);
		g_assert_cmpuint(page.end_offset, ==, 5);
		g_assert_nonnull(page.reason);
		g_assert_true(g_str_is_ascii(page.first_unreadable));
		store_page_clear(&page);
		g_free(body);
		g_strfreev(parts);
	}
}

static void test_unreadable_items(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(unreadable_items); i++) {
		g_test_message("%s", unreadable_items[i]);
		check_left_out(unreadable_items[i]);
	}
}

/* Returns the key of the only unreadable value of a page with ITEM, or NULL. The caller frees it.
 */
static char *unreadable_key(const char *item)
{
	char *body = g_strdup_printf("{\"items\":[%s]}", item);
	struct store_page page;
	char *key = NULL;

	g_assert_true(parse(body, &page));
	g_assert_cmpuint(page.items->len, ==, 0);
	g_assert_cmpuint(page.unreadable, ==, 1);
	g_assert_cmpuint(page.unreadable_values->len, <=, 1);
	if (page.unreadable_values->len == 1)
		key = g_strdup(
			g_array_index(page.unreadable_values, struct store_page_item, 0).key);
	store_page_clear(&page);
	g_free(body);
	return key;
}

/* Guards against a key that is lost because its value, or another member of its item, cannot be
 * read: some keys count whatever their value is. */
static void test_unreadable_values(void)
{
	static const struct {
		const char *item;
		const char *key;
	} cases[] = {
		{"{\"key\":\"x\",\"value\":1}", "x"},
		{"{\"key\":\"x\",\"value\":tru}", "x"},
		{"{\"value\":\"\xff\",\"offset\":1,\"key\":\"a\\\"b\"}", "a\"b"},
		{"{ \"key\" : \"x\" , \"value\" : {\"a\":[\"]}\"]} }", "x"},
		{"{\"key\":\"x\",\"value\":\"\",\"offset\":1e999}", "x"},
		/* Deleted, as far as it can be told. */
		{"{\"key\":\"x\",\"offset\":1e999}", NULL},
		{"{\"key\":tru,\"value\":\"\"}", NULL},
		{"{\"key\":7,\"value\":\"\"}", NULL},
		{"{\"key\":\"\xff\",\"value\":\"\"}", NULL},
		{"{\"a\":{\"key\":\"x\",\"value\":1}}", NULL},
		{"[\"key\",\"x\",\"value\",1]", NULL},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		char *key = unreadable_key(cases[i].item);

		g_test_message("%s", cases[i].item);
		g_assert_cmpstr(key, ==, cases[i].key);
		g_free(key);
	}
}

/* A nested value must not use up the stack either. */
static void test_nested_item(void)
{
	char *opened = g_strnfill(NESTING_LEVELS, '[');
	char *closed = g_strnfill(NESTING_LEVELS, ']');
	char *item = g_strconcat("{\"key\":\"x\",\"value\":", opened, closed, "}", NULL);

	check_left_out(item);
	g_free(item);
	g_free(closed);
	g_free(opened);
}

/* A key may contain a NUL byte, and the list continues after it. */
static void test_nul_in_key(void)
{
	struct store_page page;

	g_assert_true(parse("{\"items\":[{\"key\":\"a\\u0000b\",\"value\":\"\"}]}", &page));
	g_assert_cmpmem(item_at(&page, 0)->key, item_at(&page, 0)->key_length, "a\0b", 3);
	g_assert_cmpmem(page.last_key, page.last_key_length, "a\0b", 3);
	store_page_clear(&page);
}

/* An answer without a list must not count as an empty list, and none may be read beyond its end. */
static void test_no_list(void)
{
	static const char *const bodies[] = {"",
					     "{",
					     "{}",
					     "[]",
					     "null",
					     "{\"items\":",
					     "{\"items\":7}",
					     "{\"items\":[",
					     "{\"items\":[{\"key\":\"a\"",
					     "{\"items\":[{\"key\":\"a\\",
					     "{\"items\":[]",
					     "{\"items\" []}",
					     "{\"hasMore\":false}"};
	struct store_page page;

	for (size_t i = 0; i < G_N_ELEMENTS(bodies); i++) {
		size_t length = strlen(bodies[i]);
		char *copy = g_memdup2(bodies[i], length);

		g_test_message("%s", bodies[i]);
		g_assert_false(store_page_parse(copy, length, &page));
		store_page_clear(&page);
		g_free(copy);
	}
}

/* An end offset that is missing, negative or too large must not be continued from. */
static void test_end_offset(void)
{
	static const char *const offsets[] = {"-1", "99999999999999999999", "1e999", "\"7\"",
					      "null"};

	for (size_t i = 0; i < G_N_ELEMENTS(offsets); i++) {
		char *body = g_strdup_printf("{\"items\":[],\"endOffset\":%s}", offsets[i]);
		struct store_page page;

		g_assert_true(parse(body, &page));
		g_assert_cmpuint(page.end_offset, ==, 0);
		store_page_clear(&page);
		g_free(body);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/store_page/page", test_page);
	g_test_add_func("/store_page/unreadable_items", test_unreadable_items);
	g_test_add_func("/store_page/unreadable_values", test_unreadable_values);
	g_test_add_func("/store_page/nested_item", test_nested_item);
	g_test_add_func("/store_page/nul_in_key", test_nul_in_key);
	g_test_add_func("/store_page/no_list", test_no_list);
	g_test_add_func("/store_page/end_offset", test_end_offset);
	return g_test_run();
}
