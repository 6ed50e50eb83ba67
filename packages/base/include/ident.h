/* Random 128-bit identifiers, their hex form, and 128-bit digests of keys and bodies. */
#ifndef GG_IDENT_H
#define GG_IDENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum {
	IDENT_BYTES = 16,
	IDENT_HEX_BYTES = 33 /* 32 digits and the terminating NUL byte */
};

struct ident {
	uint8_t bytes[IDENT_BYTES];
};

/* Returns a random identifier from the system's random source. */
struct ident ident_random(void);

/* Returns the XXH3 128-bit hash of LENGTH bytes at DATA. It is not collision-resistant against an
 * attacker who chooses both inputs. */
struct ident ident_digest(const void *data, size_t length);

/* Writes the lower-case hex form with a terminating NUL byte to TEXT and returns TEXT. */
char *ident_format(const struct ident *id, char text[IDENT_HEX_BYTES]);

/* Parses the first 32 characters of TEXT, which may be longer, as hex digits into ID. Returns false
 * if there are fewer or they are not hex digits; ID is unspecified then. */
bool ident_parse(const char *text, struct ident *id);

bool ident_equal(const struct ident *a, const struct ident *b);

/* GHashFunc and GEqualFunc for keys that point to a struct ident. */
unsigned int ident_hash(const void *id);
int ident_equal_func(const void *a, const void *b);

#endif
