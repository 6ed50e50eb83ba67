/* Hash table with rows keyed by a 128-bit digest. It uses linear hashing: a bucket is added
 * whenever the rows outnumber the buckets, which avoids long rehashes and keeps the memory per row
 * small. */
#ifndef GG_DIGEST_MAP_H
#define GG_DIGEST_MAP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "ident.h"

/* Header that must be the first member of every row. */
struct digest_row {
	struct ident digest;
	uint32_t chain_next; /* next row in the bucket or in the free list; 0 for none */
};

/* Rows are numbered from 1 and keep their address until they are removed. */
struct digest_map {
	size_t row_bytes;
	char **row_chunks;
	uint32_t **bucket_chunks;
	uint32_t row_chunk_count;
	uint32_t bucket_chunk_count;
	uint32_t allocated_rows; /* rows in use or in the free list */
	uint32_t first_free_row;
	uint32_t count;
	uint32_t level_buckets; /* buckets at the start of this round of splits; a power of two */
	uint32_t split_index;	/* next bucket to split */
};

void digest_map_init(struct digest_map *map, size_t row_bytes);
void digest_map_free(struct digest_map *map);

/* Adds a zeroed row under DIGEST, which must not be in the map, and returns its number. Digests
 * must be evenly distributed, since their first bytes serve as the hash. */
uint32_t digest_map_add(struct digest_map *map, const struct ident *digest);

/* Returns the number of the row of DIGEST, or 0 when there is none. */
uint32_t digest_map_find(const struct digest_map *map, const struct ident *digest);

/* Returns the row NUMBER, which must be in use. */
void *digest_map_row(const struct digest_map *map, uint32_t number);

/* Removes the row NUMBER, which must be in use. */
void digest_map_remove(struct digest_map *map, uint32_t number);

#endif
