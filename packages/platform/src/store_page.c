#include "store_page.h"

#include <jansson.h>
#include <string.h>

enum {
	PRINTABLE_BYTES = 80 /* longest part of a message that is logged */
};

/* A part of a JSON text. */
struct text {
	const char *at;
	const char *end;
};

static bool is_one_of(char character, const char *set)
{
	return character != '\0' && strchr(set, character) != NULL;
}

static void skip_space(struct text *text)
{
	while (text->at < text->end && is_one_of(*text->at, " \t\r\n"))
		text->at++;
}

/* Skips spaces and, if it comes next, CHARACTER. Returns whether it did. */
static bool skip(struct text *text, char character)
{
	skip_space(text);
	if (text->at == text->end || *text->at != character)
		return false;
	text->at++;
	return true;
}

/* Moves behind the string that begins at TEXT. */
static bool skip_string(struct text *text)
{
	for (text->at++; text->at < text->end; text->at++) {
		if (*text->at == '"') {
			text->at++;
			return true;
		}
		if (*text->at == '\\')
			text->at++;
	}
	text->at = text->end;
	return false;
}

/* Moves behind the value that begins at TEXT. The contents are not checked, and any number of
 * levels is accepted. Returns false when the text ends first. */
static bool skip_value(struct text *text)
{
	size_t depth = 0;

	do {
		if (text->at == text->end)
			return false;
		if (*text->at == '"') {
			if (!skip_string(text))
				return false;
			continue;
		}
		if (is_one_of(*text->at, "[{"))
			depth++;
		else if (depth > 0 && is_one_of(*text->at, "]}"))
			depth--;
		text->at++;
	} while (depth > 0);
	/* The rest of a number or a literal. */
	while (text->at < text->end && !is_one_of(*text->at, ",:]} \t\r\n"))
		text->at++;
	return true;
}

/* Returns the next value of TEXT in VALUE and moves behind it. */
static bool next_value(struct text *text, struct text *value)
{
	skip_space(text);
	value->at = text->at;
	if (!skip_value(text))
		return false;
	value->end = text->at;
	return true;
}

static bool text_equals(const struct text *text, const char *expected)
{
	size_t length = (size_t)(text->end - text->at);

	return length == strlen(expected) && memcmp(text->at, expected, length) == 0;
}

char *store_printable(const char *text, size_t length)
{
	char *start = g_strndup(text, MIN(length, PRINTABLE_BYTES));
	char *printable = g_strescape(start, NULL);

	g_free(start);
	return printable;
}

static void add_item(struct store_page *page, const json_t *key, const json_t *value)
{
	struct store_page_item item = {
		.key_length = json_string_length(key),
	};

	g_free(page->last_key);
	page->last_key = g_memdup2(json_string_value(key), item.key_length + 1);
	page->last_key_length = item.key_length;
	if (!value)
		return;
	item.key = g_memdup2(json_string_value(key), item.key_length + 1);
	item.value = (char *)g_base64_decode(json_string_value(value), &item.value_length);
	g_array_append_val(page->items, item);
}

/* Returns the first member of the object at TEXT whose name is written as NAME, with its quotes, in
 * VALUE. The rest of the object is not checked. */
static bool find_member(struct text text, const char *name, struct text *value)
{
	struct text member;

	if (!skip(&text, '{'))
		return false;
	while (!skip(&text, '}')) {
		if (!next_value(&text, &member) || !skip(&text, ':') || !next_value(&text, value))
			return false;
		if (text_equals(&member, name))
			return true;
		skip(&text, ',');
	}
	return false;
}

/* Keeps the key of the unreadable item TEXT if it has a value and the key can be read. */
static void keep_key(struct store_page *page, const struct text *text)
{
	struct text value, key_text;
	struct store_page_item item = {0};
	json_t *key;

	if (!find_member(*text, "\"value\"", &value) || !find_member(*text, "\"key\"", &key_text))
		return;
	key = json_loadb(key_text.at, (size_t)(key_text.end - key_text.at),
			 JSON_ALLOW_NUL | JSON_DECODE_ANY, NULL);
	if (json_is_string(key)) {
		item.key_length = json_string_length(key);
		item.key = g_memdup2(json_string_value(key), item.key_length + 1);
		g_array_append_val(page->unreadable_values, item);
	}
	json_decref(key);
}

static void leave_out(struct store_page *page, const struct text *text, const char *reason)
{
	keep_key(page, text);
	if (page->unreadable++ > 0)
		return;
	page->first_unreadable = store_printable(text->at, (size_t)(text->end - text->at));
	page->reason = store_printable(reason, strlen(reason));
}

static void parse_item(struct store_page *page, const struct text *text)
{
	json_error_t json_error;
	json_t *item = json_loadb(text->at, (size_t)(text->end - text->at),
				  JSON_ALLOW_NUL | JSON_DECODE_ANY, &json_error);
	const json_t *key = json_object_get(item, "key");
	const json_t *value = json_object_get(item, "value");

	if (!item)
		leave_out(page, text, json_error.text);
	else if (!json_is_string(key))
		leave_out(page, text, "an item without a key");
	else if (value && !json_is_string(value))
		leave_out(page, text, "a value that is not a string");
	else
		add_item(page, key, value);
	json_decref(item);
}

static bool parse_items(struct store_page *page, struct text text)
{
	struct text item;

	if (!skip(&text, '['))
		return false;
	while (!skip(&text, ']')) {
		if (!next_value(&text, &item))
			return false;
		parse_item(page, &item);
		skip(&text, ',');
	}
	return true;
}

static uint64_t parse_offset(const struct text *text)
{
	json_t *number =
		json_loadb(text->at, (size_t)(text->end - text->at), JSON_DECODE_ANY, NULL);
	json_int_t offset = json_integer_value(number);

	json_decref(number);
	return offset > 0 ? (uint64_t)offset : 0;
}

bool store_page_parse(const char *body, size_t length, struct store_page *page)
{
	struct text text = {.at = body, .end = body + length};
	struct text name, value;
	bool has_items = false;

	*page = (struct store_page){
		.items = g_array_new(FALSE, FALSE, sizeof(struct store_page_item)),
		.unreadable_values = g_array_new(FALSE, FALSE, sizeof(struct store_page_item)),
	};
	if (!skip(&text, '{'))
		return false;
	while (!skip(&text, '}')) {
		if (!next_value(&text, &name) || !skip(&text, ':') || !next_value(&text, &value))
			return false;
		if (text_equals(&name, "\"items\""))
			has_items = parse_items(page, value);
		else if (text_equals(&name, "\"hasMore\""))
			page->has_more = text_equals(&value, "true");
		else if (text_equals(&name, "\"endOffset\""))
			page->end_offset = parse_offset(&value);
		skip(&text, ',');
	}
	return has_items;
}

static void free_items(GArray *items)
{
	for (guint i = 0; i < items->len; i++) {
		struct store_page_item *item = &g_array_index(items, struct store_page_item, i);

		g_free(item->key);
		g_free(item->value);
	}
	g_array_free(items, TRUE);
}

void store_page_clear(struct store_page *page)
{
	free_items(page->items);
	free_items(page->unreadable_values);
	g_free(page->last_key);
	g_free(page->first_unreadable);
	g_free(page->reason);
	*page = (struct store_page){0};
}
