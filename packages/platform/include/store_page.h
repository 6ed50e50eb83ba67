/* One page of a list of the newest records of a topic, as the store answers it. */
#ifndef GG_STORE_PAGE_H
#define GG_STORE_PAGE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct store_page {
	GArray *items;	/* struct store_page_item */
	char *last_key; /* key of the last readable item, or NULL */
	gsize last_key_length;
	uint64_t end_offset; /* 0 if missing or invalid */
	bool has_more;
	unsigned unreadable; /* items left out because they cannot be read */
	/* struct store_page_item without a value: those of the unreadable items that have a value
	 * and a readable key. */
	GArray *unreadable_values;
	char *first_unreadable; /* beginning of the first of them as printable text, or NULL */
	char *reason;		/* why it cannot be read */
};

/* A record. Both pointers are owned by the page. */
struct store_page_item {
	char *key;
	gsize key_length;
	char *value;
	gsize value_length;
};

/*
 * Parses the page in BODY. Each item is parsed by itself: the JSON parser refuses a text as a whole
 * for a single string, number or nested value, and any writer may add an item. Returns false if
 * BODY holds no list of items. The caller clears PAGE in both cases.
 */
bool store_page_parse(const char *body, size_t length, struct store_page *page);

void store_page_clear(struct store_page *page);

/* Returns the first bytes of TEXT, of LENGTH bytes, as printable ASCII. The caller frees it. */
char *store_printable(const char *text, size_t length);

#endif
