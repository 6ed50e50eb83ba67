#include "ident.h"

#include <sodium.h>
#include <string.h>
#include <xxhash.h>

struct ident ident_random(void)
{
	struct ident id;

	randombytes_buf(id.bytes, sizeof(id.bytes));
	return id;
}

struct ident ident_digest(const void *data, size_t length)
{
	XXH128_canonical_t canonical;
	struct ident id;

	XXH128_canonicalFromHash(&canonical, XXH3_128bits(data, length));
	memcpy(id.bytes, canonical.digest, sizeof(id.bytes));
	return id;
}

char *ident_format(const struct ident *id, char text[IDENT_HEX_BYTES])
{
	return sodium_bin2hex(text, IDENT_HEX_BYTES, id->bytes, sizeof(id->bytes));
}

bool ident_parse(const char *text, struct ident *id)
{
	size_t length = strnlen(text, IDENT_HEX_BYTES - 1);
	size_t byte_count = 0;

	if (length < IDENT_HEX_BYTES - 1)
		return false;
	if (sodium_hex2bin(id->bytes, sizeof(id->bytes), text, length, NULL, &byte_count, NULL) !=
	    0)
		return false;
	return byte_count == sizeof(id->bytes);
}

bool ident_equal(const struct ident *a, const struct ident *b)
{
	return memcmp(a->bytes, b->bytes, sizeof(a->bytes)) == 0;
}

unsigned int ident_hash(const void *id)
{
	return (unsigned int)XXH3_64bits(id, IDENT_BYTES);
}

int ident_equal_func(const void *a, const void *b)
{
	return ident_equal(a, b);
}
