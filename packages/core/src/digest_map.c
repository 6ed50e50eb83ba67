#include "digest_map.h"

#include <glib.h>
#include <string.h>

enum {
	CHUNK_ROWS = 1024,
	CHUNK_BUCKETS = 1024, /* also the first number of buckets */
};

static uint32_t *bucket(const struct digest_map *map, uint32_t index)
{
	return &map->bucket_chunks[index / CHUNK_BUCKETS][index % CHUNK_BUCKETS];
}

static uint32_t bucket_of(const struct digest_map *map, const struct ident *digest)
{
	uint32_t hash;
	uint32_t index;

	memcpy(&hash, digest->bytes, sizeof(hash));
	index = hash & (map->level_buckets - 1);
	if (index < map->split)
		index = hash & (map->level_buckets * 2 - 1);
	return index;
}

/* Arrays of chunk pointers double, so that growth by a chunk costs constant time on average. */
static void *room_for(void *array, uint32_t count, size_t item_bytes)
{
	if (count != 0 && (count & (count - 1)) != 0)
		return array;
	return g_realloc_n(array, count ? (size_t)count * 2 : 1, item_bytes);
}

static void add_buckets(struct digest_map *map)
{
	map->bucket_chunks =
		room_for(map->bucket_chunks, map->bucket_chunk_count, sizeof(uint32_t *));
	map->bucket_chunks[map->bucket_chunk_count++] = g_new0(uint32_t, CHUNK_BUCKETS);
}

static void add_rows(struct digest_map *map)
{
	map->row_chunks = room_for(map->row_chunks, map->row_chunk_count, sizeof(char *));
	map->row_chunks[map->row_chunk_count++] = g_malloc(CHUNK_ROWS * map->row_bytes);
}

static void push(const struct digest_map *map, uint32_t number)
{
	struct digest_row *row = digest_map_row(map, number);
	uint32_t *head = bucket(map, bucket_of(map, &row->digest));

	row->chain = *head;
	*head = number;
}

/* Distributes the rows of the next bucket in turn over itself and a new one. */
static void split_bucket(struct digest_map *map)
{
	uint32_t old = map->split;
	uint32_t added = map->level_buckets + old;
	uint32_t number;

	if (added == map->bucket_chunk_count * CHUNK_BUCKETS)
		add_buckets(map);
	number = *bucket(map, old);
	*bucket(map, old) = 0;
	map->split++;
	while (number != 0) {
		uint32_t next = ((struct digest_row *)digest_map_row(map, number))->chain;

		push(map, number);
		number = next;
	}
	if (map->split == map->level_buckets) {
		map->level_buckets *= 2;
		map->split = 0;
	}
}

void digest_map_init(struct digest_map *map, size_t row_bytes)
{
	*map = (struct digest_map){.row_bytes = row_bytes, .level_buckets = CHUNK_BUCKETS};
	add_buckets(map);
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

static uint32_t take_row(struct digest_map *map)
{
	uint32_t number = map->free_row;

	if (number != 0) {
		map->free_row = ((struct digest_row *)digest_map_row(map, number))->chain;
		return number;
	}
	if (map->used == map->row_chunk_count * CHUNK_ROWS)
		add_rows(map);
	return ++map->used;
}

uint32_t digest_map_add(struct digest_map *map, const struct ident *digest)
{
	uint32_t number = take_row(map);
	struct digest_row *row = digest_map_row(map, number);

	memset(row, 0, map->row_bytes);
	row->digest = *digest;
	push(map, number);
	map->count++;
	if (map->count > map->level_buckets + map->split)
		split_bucket(map);
	return number;
}

uint32_t digest_map_find(const struct digest_map *map, const struct ident *digest)
{
	uint32_t number = *bucket(map, bucket_of(map, digest));

	while (number != 0) {
		const struct digest_row *row = digest_map_row(map, number);

		if (ident_equal(&row->digest, digest))
			return number;
		number = row->chain;
	}
	return 0;
}

void digest_map_remove(struct digest_map *map, uint32_t number)
{
	struct digest_row *row = digest_map_row(map, number);
	uint32_t *link = bucket(map, bucket_of(map, &row->digest));

	while (*link != number)
		link = &((struct digest_row *)digest_map_row(map, *link))->chain;
	*link = row->chain;
	row->chain = map->free_row;
	map->free_row = number;
	map->count--;
}
