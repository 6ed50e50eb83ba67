#include <string.h>

#include "store.h"

bool store_record_has_key(const struct store_record *record, const char *key)
{
	return record->value && record->key_length == strlen(key) &&
	       memcmp(record->key, key, record->key_length) == 0;
}

bool store_record_get_name(const struct store_record *record, const char *prefix, char *name,
			   size_t size, bool *valid)
{
	size_t prefix_length = strlen(prefix);
	size_t length;

	if (!record->key || record->key_length < prefix_length ||
	    memcmp(record->key, prefix, prefix_length) != 0)
		return false;
	length = record->key_length - prefix_length;
	*valid = length > 0 && length < size && !memchr(record->key + prefix_length, 0, length);
	g_strlcpy(name, "", size);
	if (*valid) {
		memcpy(name, record->key + prefix_length, length);
		name[length] = '\0';
	}
	return true;
}
