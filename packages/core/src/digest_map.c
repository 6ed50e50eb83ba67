#include "digest_map.h"

#include <glib.h>
#include <string.h>

enum {
	CHUNK_ROWS = 1024,
	CHUNK_BUCKETS = 1024, /* also the initial number of buckets */
};

static uint32_t *bucket_at(const struct digest_map *map, uint32_t index)
{
	return &map->bucket_chunks[index / CHUNK_BUCKETS][index % CHUNK_BUCKETS];
}

static uint32_t bucket_index(const struct digest_map *map, const struct ident *digest)
{
	uint32_t hash;
	uint32_t index;

	memcpy(&hash, digest->bytes, sizeof(hash));
	index = hash & (map->level_buckets - 1);
	if (index < map->split_index)
		index = hash & (map->level_buckets * 2 - 1);
	return index;
}

/* Makes room for one more item in an array of COUNT items. The capacity is not stored: it is COUNT
 * rounded up to a power of two, so the array is full exactly when COUNT is 0 or a power of two.
 * Doubling it makes adding an item take amortized constant time. */
static void *grow_array(void *array, uint32_t count, size_t item_bytes)
{
	if (count != 0 && (count & (count - 1)) != 0)
		return array;
	return g_realloc_n(array, count ? (size_t)count * 2 : 1, item_bytes);
}

static void add_bucket_chunk(struct digest_map *map)
{
	map->bucket_chunks =
		grow_array(map->bucket_chunks, map->bucket_chunk_count, sizeof(uint32_t *));
	map->bucket_chunks[map->bucket_chunk_count++] = g_new0(uint32_t, CHUNK_BUCKETS);
}

static void add_row_chunk(struct digest_map *map)
{
	map->row_chunks = grow_array(map->row_chunks, map->row_chunk_count, sizeof(char *));
	map->row_chunks[map->row_chunk_count++] = g_malloc(CHUNK_ROWS * map->row_bytes);
}

static void insert_row(const struct digest_map *map, uint32_t number)
{
	struct digest_row *row = digest_map_row(map, number);
	uint32_t *head = bucket_at(map, bucket_index(map, &row->digest));

	row->chain_next = *head;
	*head = number;
}

/* Splits the bucket at split_index: distributes its rows between itself and a new bucket. */
static void split_bucket(struct digest_map *map)
{
	uint32_t old = map->split_index;
	uint32_t added = map->level_buckets + old;
	uint32_t number;

	if (added == map->bucket_chunk_count * CHUNK_BUCKETS)
		add_bucket_chunk(map);
	number = *bucket_at(map, old);
	*bucket_at(map, old) = 0;
	map->split_index++;
	while (number != 0) {
		uint32_t next = ((struct digest_row *)digest_map_row(map, number))->chain_next;

		insert_row(map, number);
		number = next;
	}
	if (map->split_index == map->level_buckets) {
		map->level_buckets *= 2;
		map->split_index = 0;
	}
}

void digest_map_init(struct digest_map *map, size_t row_bytes)
{
	*map = (struct digest_map){.row_bytes = row_bytes, .level_buckets = CHUNK_BUCKETS};
	add_bucket_chunk(map);
}

void digest_map_free(struct digest_map *map)
{
	for (uint32_t i = 0; i < map->row_chunk_count; i++)
		g_free(map->row_chunks[i]);
	for (uint32_t i = 0; i < map->bucket_chunk_count; i++)
		g_free(map->bucket_chunks[i]);
	g_free(map->row_chunks);
	g_free(map->bucket_chunks);
	*map = (struct digest_map){0};
}

void *digest_map_row(const struct digest_map *map, uint32_t number)
{
	uint32_t i = number - 1;

	return map->row_chunks[i / CHUNK_ROWS] + (size_t)(i % CHUNK_ROWS) * map->row_bytes;
}

static uint32_t allocate_row(struct digest_map *map)
{
	uint32_t number = map->first_free_row;

	if (number != 0) {
		map->first_free_row =
			((struct digest_row *)digest_map_row(map, number))->chain_next;
		return number;
	}
	if (map->allocated_rows == map->row_chunk_count * CHUNK_ROWS)
		add_row_chunk(map);
	return ++map->allocated_rows;
}

uint32_t digest_map_add(struct digest_map *map, const struct ident *digest)
{
	uint32_t number = allocate_row(map);
	struct digest_row *row = digest_map_row(map, number);

	memset(row, 0, map->row_bytes);
	row->digest = *digest;
	insert_row(map, number);
	map->count++;
	if (map->count > map->level_buckets + map->split_index)
		split_bucket(map);
	return number;
}

uint32_t digest_map_find(const struct digest_map *map, const struct ident *digest)
{
	uint32_t number = *bucket_at(map, bucket_index(map, digest));

	while (number != 0) {
		const struct digest_row *row = digest_map_row(map, number);

		if (ident_equal(&row->digest, digest))
			return number;
		number = row->chain_next;
	}
	return 0;
}

void digest_map_remove(struct digest_map *map, uint32_t number)
{
	struct digest_row *row = digest_map_row(map, number);
	uint32_t *link = bucket_at(map, bucket_index(map, &row->digest));

	while (*link != number)
		link = &((struct digest_row *)digest_map_row(map, *link))->chain_next;
	*link = row->chain_next;
	row->chain_next = map->first_free_row;
	map->first_free_row = number;
	map->count--;
}
