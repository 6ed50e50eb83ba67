/* Random 128-bit identifiers, their hex form, and 128-bit digests of keys and bodies. */
#ifndef GG_IDENT_H
#define GG_IDENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum {
	IDENT_BYTES = 16,
	IDENT_HEX_BYTES = 33
};

struct ident {
	uint8_t bytes[IDENT_BYTES];
};

/* Returns a random identifier from the system's random source. */
struct ident ident_random(void);

/* Returns the 128-bit digest of LENGTH bytes at DATA. Not meant to resist an attacker who chooses
 * both inputs. */
struct ident ident_digest(const void *data, size_t length);

/* Writes the lower-case hex form with its terminating zero to TEXT and returns TEXT. */
char *ident_format(const struct ident *id, char text[IDENT_HEX_BYTES]);

/* Reads 32 hex digits at TEXT (more may follow) into ID. Returns false when they are not hex
 * digits. */
bool ident_parse(const char *text, struct ident *id);

/* Returns whether the two are the same. */
bool ident_equal(const struct ident *a, const struct ident *b);

/* Hash and equality over pointers to struct ident, in the form that GHashTable takes. */
unsigned int ident_hash(const void *id);
int ident_equal_func(const void *a, const void *b);

#endif
